"""Tests of the object stores: in memory and over HTTP."""

import curio
import pytest
from jacinthmount.errors import (
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
    ValueTooLarge,
)
from jacinthmount.ports import ABSENT, MAX_VALUE_BYTES
from jacinthmount.stores import MemoryStore, write_with_retry
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.object_api import HttpStore
from jacinthmount_standin.fleet import Fleet


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """A stand-in platform on the loopback interface."""
    made = Fleet(folder=tmp_path_factory.mktemp('store'), data_centres={})
    made.start_platform()
    yield made
    made.stop()


@pytest.fixture(params=['memory', 'http'])
def store(request, fleet):
    """An object store in memory, then one over HTTP."""
    if request.param == 'memory':
        return MemoryStore()
    address = f'127.0.0.1:{fleet.platform_port}'
    return HttpStore(addresses=[address], pool=ClientPool())


def test_create_read_update_delete(store, request):
    """Versions increase, and a change with a wrong version conflicts."""
    name = f'x/{request.node.name}'

    async def check():
        first = await store.write(name, 'one', ABSENT)
        second = await store.write(name, 'two', first)
        assert second > first
        stored = await store.read(name)
        assert (stored.body, stored.version) == ('two', second)
        with pytest.raises(StoreConflict) as caught:
            await store.write(name, 'three', first)
        assert caught.value.version == second
        with pytest.raises(StoreConflict):
            await store.write(name, 'three', ABSENT)
        await store.delete(name, second)
        assert await store.read(name) is None

    curio.run(check)


def test_listing_and_watch(store, request):
    """A listing has the existing objects, a watch also the deletions."""
    prefix = f'y/{request.node.name}/'

    async def check():
        first = await store.write(f'{prefix}a', 'a', ABSENT)
        second = await store.write(f'{prefix}b', 'b', ABSENT)
        await store.delete(f'{prefix}a', first)
        listing = await store.list_names(prefix)
        assert [stored.name for stored in listing.objects] == [f'{prefix}b']
        assert listing.revision > second
        changes = await store.watch(prefix, first, 1)
        assert [(change.name, change.body) for change in changes] == [
            (f'{prefix}b', 'b'),
            (f'{prefix}a', None),
        ]

    curio.run(check)


def test_large_value_is_refused(store):
    """A value over the size limit is rejected before it is sent."""
    with pytest.raises(ValueTooLarge):
        curio.run(store.write, 'z', 'x' * (MAX_VALUE_BYTES + 1), ABSENT)


class LosesAnswers(MemoryStore):
    """A store whose first writes take effect without an answer."""

    __slots__ = ('lost',)

    def __init__(self) -> None:
        """Creates a store that loses its first answer."""
        super().__init__()
        self.lost = 1

    async def write(self, name, body, expected):
        """Writes, then fails if the answer has to be lost."""
        version = await super().write(name, body, expected)
        if self.lost:
            self.lost -= 1
            raise StoreUnavailable(detail='lost')
        return version


def test_lost_answer_is_settled():
    """A retry detects that the first attempt wrote the body."""
    store = LosesAnswers()
    assert curio.run(write_with_retry, store, 'a', 'w1', ABSENT) == 1


class Overtaken(LosesAnswers):
    """A store in which another writer replaces the body after a lost answer."""

    __slots__ = ()

    async def write(self, name, body, expected):
        """Writes, and replaces the body if the answer was lost."""
        try:
            return await super().write(name, body, expected)
        except StoreUnavailable:
            self._current[name] = self._change(name, 'other')
            raise


def test_conflict_after_a_lost_answer_is_told():
    """A body of another writer is a conflict, not a success."""
    with pytest.raises(StoreConflict):
        curio.run(write_with_retry, Overtaken(), 'a', 'w1', ABSENT)


class _FailingStore(MemoryStore):
    """A store whose first writes fail with given errors."""

    __slots__ = ('_failures',)

    def __init__(self, *failures):
        """Creates a store.

        :param failures: errors of the first writes; None writes the object, and
            then fails as if the answer was lost.
        """
        super().__init__()
        self._failures = list(failures)

    async def write(self, name, body, expected):
        """Implements :meth:`~jacinthmount.ports.ObjectStore.write`."""
        if not self._failures:
            return await super().write(name, body, expected)
        failure = self._failures.pop(0)
        if failure is None:
            await super().write(name, body, expected)
            failure = StoreUnavailable(detail='answer lost')
        raise failure


def test_refused_writes_are_known_to_have_no_effect():
    """If all attempts were rejected, the error says that nothing is written."""
    refused = StoreRefused(detail='busy')
    store = _FailingStore(refused, refused, refused)
    with pytest.raises(StoreRefused):
        curio.run(write_with_retry, store, 'a', 'b', ABSENT)


def test_one_lost_answer_among_refusals_leaves_the_effect_open():
    """A write that may have taken effect is not reported as refused."""
    refused = StoreRefused(detail='busy')
    store = _FailingStore(None, refused, refused)
    with pytest.raises(StoreUnavailable) as caught:
        curio.run(write_with_retry, store, 'a', 'b', ABSENT)
    assert not isinstance(caught.value, StoreRefused)


def test_lost_answer_is_settled_by_the_repeat():
    """The retry finds the body of the first attempt and returns its version."""
    store = _FailingStore(None)
    assert curio.run(write_with_retry, store, 'a', 'b', ABSENT) == 1
