"""Store calls through a peer, and copies of immutable objects."""

import random
import time

import curio
import pytest
from jacinthmount.errors import (
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)
from jacinthmount.memory import ManualClock
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.stores import MemoryStore, write_with_retry
from jacinthmount_node.relay.batch_jobs import BatchJob, write_results
from jacinthmount_node.relay.batch_runner import RelayBatchRunner
from jacinthmount_node.relay.fallback_store import (
    FallbackStore,
    answer_copy_read,
    answer_store_call,
)
from jacinthmount_node.relay.messages import CopyRead, RelayHost, StoreFound
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import (
    make_manifest,
    make_relay_settings,
    make_segment,
)


class _RefusingStore(MemoryStore):
    """A store that refuses this host, or hangs, while the flag is set."""

    __slots__ = ('calls', 'hangs', 'refuses')

    def __init__(self):
        super().__init__()
        self.refuses = True
        self.hangs = False
        self.calls = 0

    async def read(self, name):
        await self._check()
        return await super().read(name)

    async def write(self, name, body, expected):
        await self._check()
        return await super().write(name, body, expected)

    async def _check(self):
        self.calls += 1
        if self.hangs:
            await curio.sleep(60)
        if self.refuses:
            raise StoreRefused(detail='turned away')


class _UnansweredStore(MemoryStore):
    """A store that performs calls but does not answer."""

    __slots__ = ('answers',)

    def __init__(self):
        super().__init__()
        self.answers = False

    async def read(self, name):
        self._expect_answer()
        return await super().read(name)

    async def write(self, name, body, expected):
        version = await super().write(name, body, expected)
        self._expect_answer()
        return version

    def _expect_answer(self):
        if not self.answers:
            raise StoreUnavailable(detail='no answer')


class _Peer:
    """Links to a peer that reaches the store."""

    def __init__(self, store):
        self.store = store
        self.copies = {}
        self.requests = []

    async def request_at(self, address, body, timeout_s):
        self.requests.append(type(body).__name__)
        if isinstance(body, CopyRead):
            return StoreFound(stored=self.copies.get(body.name))
        return await answer_store_call(self.store, body)


def make_state(store):
    """Builds the state of a front that knows one other host."""
    state = RelayState(
        settings=make_relay_settings(),
        store=store,
        clock=ManualClock(),
        rng=random.Random(1),
    )
    state.update_hosts([
        RelayHost(
            host='h2',
            incarnation='x',
            data_centre='east',
            peer_address='h2:1',
            runs_batches=False,
        ),
    ])
    return state


@pytest.fixture
def direct():
    """The store as this host reaches it; it refuses calls at first."""
    return _RefusingStore()


@pytest.fixture
def peer():
    """A peer that reaches a store."""
    return _Peer(MemoryStore())


@pytest.fixture
def store(direct, peer):
    """The store with a fallback to the peer."""
    state = make_state(direct)
    return FallbackStore(
        direct=direct,
        state=state,
        peer_requests=PeerRequests(state=state, links=peer),
    )


def test_refused_host_writes_and_reads_through_a_peer(store, peer):
    """A submission succeeds though the store refuses this host."""
    version = curio.run(write_with_retry, store, 'a/1', 'x', ABSENT)
    assert version == 1
    assert curio.run(store.read, 'a/1').body == 'x'
    with pytest.raises(StoreConflict):
        curio.run(store.write, 'a/1', 'y', ABSENT)


def test_direct_calls_resume_after_a_while(store, direct):
    """The store is called directly again after the back-off."""
    curio.run(store.read, 'a/1')
    before = direct.calls
    curio.run(store.read, 'a/1')
    assert direct.calls == before
    store._state.clock.advance(3)
    direct.refuses = False
    curio.run(store.read, 'a/1')
    assert direct.calls == before + 1


def test_refusal_at_the_peer_is_reported_as_refusal(store, direct, peer):
    """If both calls were refused, nothing was written."""
    peer.store = direct
    with pytest.raises(StoreRefused):
        curio.run(write_with_retry, store, 'a/1', 'x', ABSENT)


def test_read_that_nobody_answers_is_unavailable(store, direct, peer):
    """Absence is never concluded from a failure."""
    peer.store = direct
    with pytest.raises(StoreUnavailable):
        curio.run(store.read, 'a/1')


def test_copy_spares_the_store(store, direct, peer):
    """Immutable objects come from the runner that sends updates to this host.

    The store is not called.
    """
    store._state.note_update_source('runner:1', by_active=True)
    peer.copies['a/1'] = Stored(name='a/1', version=1, body='x')
    assert curio.run(store.read_immutable, 'a/1').body == 'x'
    assert not direct.calls


def test_absence_is_checked_in_the_store(store, direct, peer):
    """A runner without a copy does not mean that there is no object."""
    store._state.note_update_source('runner:1', by_active=True)
    direct.refuses = False
    curio.run(direct.write, 'a/1', 'x', ABSENT)
    assert curio.run(store.read_immutable, 'a/1').body == 'x'
    assert peer.requests == ['CopyRead']


class _Runner:
    """Links to a runner that reads the store for others."""

    def __init__(self, direct):
        self.store = FallbackStore(
            direct=direct,
            state=RelayState(
                settings=make_relay_settings(runs_batches=True),
                store=direct,
                clock=ManualClock(),
                rng=random.Random(1),
            ),
            peer_requests=None,
        )

    async def request_at(self, address, body, timeout_s):
        """Replies as the handler of a runner does."""
        return await answer_copy_read(self.store, body)


@pytest.fixture
def readable():
    """A store that answers."""
    found = _RefusingStore()
    found.refuses = False
    return found


def test_runner_reads_an_object_once_for_all_hosts(direct, readable):
    """Guards against 2,046 reads of results on a day with two kills of all.

    Every front had lost its copies and read each segment itself.
    """
    curio.run(readable.write, 'a/1', 'x', ABSENT)
    runner = _Runner(readable)
    before = readable.calls
    for _ in range(5):
        front = make_fed_front(direct, runner)
        assert curio.run(front.read_immutable, 'a/1').body == 'x'
    assert readable.calls == before + 1
    assert not direct.calls


def test_absence_that_a_runner_has_just_read_is_not_checked_again(
    direct, readable
):
    """It is read anew for each request, since the object may be written."""
    runner = _Runner(readable)
    front = make_fed_front(direct, runner)
    assert curio.run(front.read_immutable, 'a/1') is None
    curio.run(readable.write, 'a/1', 'x', ABSENT)
    assert curio.run(front.read_immutable, 'a/1').body == 'x'
    assert not direct.calls


def test_host_reads_the_store_if_the_runner_cannot(direct, readable):
    """A failure of the runner never means that an object does not exist."""
    runner = _Runner(_RefusingStore())
    curio.run(readable.write, 'a/1', 'x', ABSENT)
    front = make_fed_front(readable, runner)
    assert curio.run(front.read_immutable, 'a/1').body == 'x'


def make_fed_front(direct, links):
    """Builds the store of a front that a runner feeds."""
    state = make_state(direct)
    state.note_update_source('h2:1', by_active=True)
    return FallbackStore(
        direct=direct,
        state=state,
        peer_requests=PeerRequests(state=state, links=links),
    )


def test_recent_objects_stay_within_their_bytes():
    """The least recently used object is evicted."""
    recent = RecentObjects(limit_bytes=30)
    for name in 'abc':
        recent.put(Stored(name=name, version=1, body='x' * 9))
    recent.find('a')
    recent.put(Stored(name='d', version=1, body='x' * 9))
    assert recent.find('b') is None
    assert recent.find('a') is not None
    recent.put(Stored(name='e', version=1, body='x' * 99))
    assert recent.find('e') is None


class _Connectivity:
    """Connectivity with a given age of the last answer of the store."""

    def __init__(self, age_s):
        self.age_s = age_s

    def is_store_unavailable(self):
        """No outage is known."""
        return False

    def store_contact_age_s(self):
        return self.age_s


def make_runner(store, age_s):
    """Builds a runner with one open batch."""
    runner = RelayBatchRunner(
        state=make_state(store),
        rooms=None,
        item_runner=None,
        copies=RecentObjects(limit_bytes=0),
        connectivity=_Connectivity(age_s),
        config_view=None,
        announce=None,
    )
    job = BatchJob(key='k', manifest=make_manifest(), revision=1)
    job.ready = True
    runner._jobs['k'] = job
    return runner


@pytest.mark.parametrize(
    ('age_s', 'reported'),
    [(0.4, {'k': 0}), (1.1, {}), (float('inf'), {})],
)
def test_isolated_runner_reports_no_segments(direct, age_s, reported):
    """A runner without a recent answer of the store makes readers query it.

    Guards against a read in an isolated data centre that found no result at a
    position that had been read in another one.
    """
    runner = make_runner(direct, age_s)
    assert runner.open_segments() == reported


def test_runner_reports_no_segments_after_an_unconfirmed_write():
    """Readers may have seen a segment whose write was not answered."""
    store = _UnansweredStore()
    runner = make_runner(store, 0.1)
    job = runner._jobs['k']
    job.pending.append(make_segment('a').results[0])
    copies = RecentObjects(limit_bytes=10_000)
    with pytest.raises(StoreUnavailable):
        curio.run(write_results, store, job, copies)
    assert runner.open_segments() == {}
    store.answers = True
    curio.run(write_results, store, job, copies)
    assert runner.open_segments() == {'k': 1}


def test_refused_write_does_not_settle_an_earlier_unconfirmed_one(direct):
    """An earlier write without an answer may still have had an effect."""
    runner = make_runner(direct, 0.1)
    job = runner._jobs['k']
    job.has_unconfirmed_write = True
    job.pending.append(make_segment('a').results[0])
    with pytest.raises(StoreRefused):
        curio.run(write_results, direct, job, RecentObjects(limit_bytes=0))
    assert runner.open_segments() == {}


def test_refused_write_is_not_unconfirmed(direct):
    """Nothing was written, so no reader can have seen it."""
    runner = make_runner(direct, 0.1)
    job = runner._jobs['k']
    job.pending.append(make_segment('a').results[0])
    with pytest.raises(StoreRefused):
        curio.run(write_results, direct, job, RecentObjects(limit_bytes=0))
    assert runner.open_segments() == {'k': 0}


def test_store_known_to_be_unavailable_is_not_tried(store, direct):
    """After a watch detected the outage, calls don't wait for a timeout."""
    store.is_unavailable = lambda: True
    direct.refuses = False
    assert curio.run(store.write, 'a/1', 'x', ABSENT) == 1
    assert not direct.calls


def test_store_timeout_is_short_while_the_runner_is_unresponsive(store, direct):
    """A host that was just isolated still accepts a batch in time."""
    direct.hangs = True
    store._state.short_store_timeout_until = store._state.now() + 1
    started = time.monotonic()
    assert curio.run(write_with_retry, store, 'a/1', 'x', ABSENT) == 1
    assert time.monotonic() < started + 0.3
