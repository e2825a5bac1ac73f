"""Watches of a prefix: outages, lost history and stale states."""

import random

import curio
import pytest
from jacinthmount.errors import HistoryGone, StoreUnavailable
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.object_watch import (
    ObjectWatch,
    PrefixSnapshot,
    WatchDelays,
)
from jacinthmount_node.relay.outage_refresh import OutageRefresh

NAME = 'things/a'
# The end of a batch is in force by then.
END_S = 3.0


class _Store(MemoryStore):
    """A store whose watches wait, and that can be unavailable."""

    __slots__ = ('unavailable', 'calls', 'history_gone', 'hangs')

    def __init__(self):
        super().__init__()
        self.unavailable = False
        self.history_gone = False
        self.hangs = False
        self.calls = []

    async def list_names(self, prefix):
        """Lists the prefix unless the store hangs or is unavailable."""
        self.calls.append('list')
        if self.hangs:
            await curio.sleep(60)
        if self.unavailable:
            raise StoreUnavailable(detail='away')
        return await super().list_names(prefix)

    async def watch(self, prefix, after, wait_s):
        """Returns no changes, like a watch whose connection was cut."""
        self.calls.append('watch')
        if self.history_gone:
            self.history_gone = False
            raise HistoryGone(detail=prefix)
        await curio.sleep(wait_s)
        return []


@pytest.fixture
def store():
    """A store with one object."""
    found = _Store()
    curio.run(found.write, NAME, 'one', ABSENT)
    return found


def make_watch(store, reported, **changes):
    """Makes a watch that records the changes that it reports."""

    async def record(watch, changed):
        reported.extend((stored.name, stored.body) for stored in changed)

    return ObjectWatch(
        store=store,
        prefix='things/',
        on_change=record,
        rng=random.Random(1),
        **changes,
    )


async def run_for(watch, seconds, meanwhile=None):
    """Runs a watch for a time, and another function concurrently."""
    task = await curio.spawn(watch.run, daemon=True)
    await curio.sleep(0.05)
    if meanwhile is not None:
        await meanwhile()
    await curio.sleep(seconds)
    await task.cancel()


def test_refresh_shows_an_outage_that_a_waiting_watch_hides(store):
    """A host that the store refuses detects it while its watch still waits.

    Guards against an active runner that passes on an old configuration, which
    was five seconds old when this was first seen.
    """
    watch = make_watch(store, [])

    async def refuse():
        assert not watch.in_outage
        store.unavailable = True
        await watch.refresh()

    curio.run(run_for, watch, 0.05, refuse)
    assert watch.in_outage


def test_probe_treats_a_missing_reply_as_an_outage(store):
    """A store outage is detected before the watch call times out.

    Guards against a data centre that takes 4 s to detect that it is cut off,
    and meanwhile accepts batches that it cannot store.
    """
    watch = make_watch(store, [])

    async def play():
        store.hangs = True
        await watch.probe(0.1)
        assert watch.in_outage
        store.hangs = False
        await watch.probe(0.1)

    curio.run(play)
    assert not watch.in_outage


def test_refresh_brings_what_the_watch_missed(store):
    """A change is detected although the watch connection was cut."""
    reported = []
    watch = make_watch(store, reported)

    async def change():
        await store.write(NAME, 'two', 1)
        await watch.refresh()

    curio.run(run_for, watch, 0.05, change)
    assert reported[-1] == (NAME, 'two')


def test_outage_ends_with_a_listing(store):
    """After an outage the prefix is listed before it is watched again.

    Guards against a long watch call that delays for seconds the detection
    that the store is available again.
    """
    store.unavailable = True
    watch = make_watch(store, [])

    async def recover():
        assert watch.in_outage
        store.unavailable = False

    curio.run(run_for, watch, 1.0, recover)
    assert not watch.in_outage
    assert store.calls[-2:] == ['list', 'watch']


def test_prefix_is_listed_again_after_lost_history(store):
    """A watch whose history is gone starts again from a listing."""
    store.history_gone = True
    watch = make_watch(store, [])
    curio.run(run_for, watch, 0.1)
    assert store.calls == ['list', 'watch', 'list', 'watch']


def test_host_with_an_update_source_makes_no_calls(store):
    """While a peer sends updates to a host, it lists once and never watches."""
    watch = make_watch(store, [], has_update_source=lambda: True)
    curio.run(run_for, watch, 0.5)
    assert store.calls == ['list']


def test_state_of_a_peer_is_taken_only_if_newer(store):
    """Neither a stale peer nor a stale listing restores an older state."""
    reported = []
    watch = make_watch(store, reported)
    other = make_watch(store, [])

    async def play():
        await other.refresh()
        stale = other.snapshot(0)
        await store.write(NAME, 'two', 1)
        await watch.refresh()
        await watch.apply_snapshot(stale)
        await other.refresh()
        newer = other.snapshot(stale.revision)
        await store.delete(NAME, 2)
        await watch.refresh()
        await watch.apply_snapshot(newer)

    curio.run(play)
    assert reported == [(NAME, 'two'), (NAME, None)]
    assert not watch.objects()


def test_state_removes_an_object_that_came_after_it(store):
    """Guards against a listing in pages whose later objects vanish again.

    Its revision is that of the first page; a state of a peer in between does
    not know an object of the second page.
    """
    reported = []
    watch = make_watch(store, reported)
    later = Stored(name='things/b', version=9, body='later')

    async def list_pages(prefix):
        listing = await MemoryStore.list_names(store, prefix)
        listing.objects.append(later)
        return listing

    async def play():
        store.list_names = list_pages
        await watch.refresh()
        peer = PrefixSnapshot(
            prefix='things/', revision=8, names=[NAME], objects=[]
        )
        await watch.apply_snapshot(peer)
        newer = PrefixSnapshot(
            prefix='things/', revision=9, names=[NAME], objects=[]
        )
        found = watch.find(later.name)
        await watch.apply_snapshot(newer)
        return found

    assert curio.run(play) == later
    assert reported == [
        (NAME, 'one'),
        ('things/b', 'later'),
        ('things/b', None),
    ]


def test_snapshot_holds_only_what_the_other_lacks(store):
    """A snapshot has all names, and the bodies of newer objects only."""
    watch = make_watch(store, [])

    async def play():
        await store.write('things/b', 'new', ABSENT)
        await watch.refresh()
        return watch.snapshot(1)

    snapshot = curio.run(play)
    assert sorted(snapshot.names) == [NAME, 'things/b']
    assert snapshot.objects == [
        Stored(name='things/b', version=2, body='new'),
    ]


def test_probed_watch_relies_on_its_owner_to_end_an_outage(store):
    """In an outage a probed watch makes no calls itself.

    Guards against each of three watches of each host retrying on its own,
    which made 14,550 calls in a day of a small test deployment.
    """
    store.unavailable = True
    watch = make_watch(store, [], is_probed=True)

    async def recover():
        await curio.sleep(1.0)
        assert store.calls == ['list']
        store.unavailable = False
        await watch.refresh()

    curio.run(run_for, watch, 0.3, recover)
    assert not watch.in_outage
    assert store.calls == ['list', 'list', 'watch']


def test_host_waits_a_while_for_another_update_source(store):
    """Hundreds of hosts do not watch the store between two active runners."""
    watch = make_watch(
        store,
        [],
        has_update_source=bool,
        make_delays=lambda: WatchDelays(update_grace_s=0.6),
    )

    async def check():
        await curio.sleep(0.3)
        assert store.calls == ['list']

    curio.run(run_for, watch, 0.6, check)
    assert store.calls == ['list', 'watch']


@pytest.mark.parametrize('ends', ['watch', 'list', 'snapshot'])
def test_entry_that_cannot_be_handled_ends_the_following(store, ends):
    """Guards against a callback whose error loses the changes after it."""
    handled = []

    async def handle(watch, changed):
        for stored in changed:
            if stored.body == 'odd':
                raise OverflowError(stored.name)
            handled.append(stored.name)

    watch = ObjectWatch(
        store=store,
        prefix='things/',
        on_change=handle,
        rng=random.Random(1),
    )

    async def change():
        handled.clear()
        for name, body in (('0', 'odd'), ('b', 'new'), ('c', 'odd')):
            await store.write(f'things/{name}', body, ABSENT)
        listing = await store.list_names('things/')
        if ends == 'watch':
            await watch._apply_changes(listing)
        elif ends == 'list':
            await watch.refresh()
        else:
            other = make_watch(store, [])
            await other.refresh()
            await watch.apply_snapshot(other.snapshot(0))

    curio.run(run_for, watch, 0.05, change)
    assert 'things/b' in handled


def test_older_version_is_reported_after_a_newer_one(store):
    """Guards against a report one by one that a refresh overtakes."""
    handled = []

    async def handle(watch, changed):
        if len(changed) > 1:
            raise OverflowError
        stored = changed[0]
        handled.append((stored.name, stored.body))
        if stored.body == 'odd':
            await store.write('things/2', 'newer', store.versions['things/2'])
            await watch.refresh()

    watch = ObjectWatch(
        store=store,
        prefix='things/',
        on_change=handle,
        rng=random.Random(1),
    )

    async def play():
        store.versions = {
            name: await store.write(name, body, ABSENT)
            for name, body in (('things/1', 'odd'), ('things/2', 'older'))
        }
        await watch.refresh()

    curio.run(play)
    assert ('things/2', 'newer') in handled
    assert ('things/2', 'older') not in handled


class _DeafStore(_Store):
    """A store whose first watch call tells nothing."""

    __slots__ = ()

    async def watch(self, prefix, after, wait_s):
        """Returns changes, but for the first call."""
        if 'watch' not in self.calls:
            return await super().watch(prefix, after, wait_s)
        return await MemoryStore.watch(self, prefix, after, wait_s)


def test_change_after_an_outage_is_hidden_by_a_watch_call():
    """A call that has waited since before the outage brings no change.

    Guards against items that ran seconds after the end of their batch.
    """
    store = _DeafStore()
    reported = []
    outage = [False]

    async def play():
        watch = make_watch(store, reported)
        refresh = OutageRefresh(watch=watch, is_unavailable=lambda: any(outage))
        await curio.spawn(watch.run, daemon=True)
        await curio.spawn(refresh.run, daemon=True)
        await curio.sleep(0.2)
        outage[0] = True
        await curio.sleep(0.2)
        outage[0] = False
        await curio.sleep(0.3)
        reported.clear()
        await store.write('things/b', 'two', ABSENT)
        await curio.sleep(END_S)

    curio.run(play)
    assert reported == [('things/b', 'two')]


class _LossyStore(_Store):
    """A store that loses the first watch call, or the page that answers it."""

    __slots__ = ('lost',)

    def __init__(self, lost):
        super().__init__()
        self.lost = lost

    async def watch(self, prefix, after, wait_s):
        """Returns changes, but for the first call, which is lost."""
        if 'watch' in self.calls:
            return await MemoryStore.watch(self, prefix, after, wait_s)
        self.calls.append('watch')
        if self.lost == 'answer':
            await MemoryStore.watch(self, prefix, after, wait_s)
        await curio.sleep(60)
        return []


@pytest.mark.parametrize('lost', ['call', 'answer'])
def test_change_is_hidden_by_an_outage_that_nobody_noticed(lost):
    """A watch call is lost in a silence that no other call met.

    Guards against items that ran seconds after the end of their batch.
    """
    store = _LossyStore(lost)
    reported = []

    async def play():
        watch = make_watch(
            store, reported, make_delays=lambda: WatchDelays(wait_s=0.5)
        )
        await curio.spawn(watch.run, daemon=True)
        await curio.sleep(0.2)
        await store.write('things/b', 'two', ABSENT)
        await curio.sleep(END_S / 2)
        assert not watch.in_outage

    curio.run(play)
    assert reported == [('things/b', 'two')]
