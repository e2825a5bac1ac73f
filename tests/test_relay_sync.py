"""Detection of store outages by the sync of a host."""

import random
import time

import curio
import pytest
from jacinthmount.ports import Stored
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.relay.messages import Snapshot
from jacinthmount_node.relay.object_watch import PrefixSnapshot
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import START_GRACE_S, RelaySync

from tests.relay_builders import make_config, make_relay_settings


class _Store(MemoryStore):
    """A store that replies until it is cut off."""

    __slots__ = ('cut_off', 'listed', 'watched')

    def __init__(self):
        super().__init__()
        self.cut_off = False
        self.listed = 0
        self.watched = 0

    async def list_names(self, prefix):
        """Lists the prefix, or hangs if the store is cut off."""
        self.listed += 1
        if self.cut_off:
            await curio.sleep(60)
        return await super().list_names(prefix)

    async def write(self, name, body, expected):
        """Writes an object, or hangs if the store is cut off."""
        if self.cut_off:
            await curio.sleep(60)
        return await super().write(name, body, expected)

    async def watch(self, prefix, after, wait_s):
        """Returns no changes, like a watch whose connection was cut."""
        self.watched += 1
        await curio.sleep(60)
        return []


class _NoLinks:
    """Links without other hosts."""

    async def keep_only(self, addresses):
        """Has no links to close."""


def make_sync(store, **settings):
    """Builds the sync of a host."""
    state = RelayState(
        settings=make_relay_settings(**settings),
        store=store,
        clock=SystemClock(),
        rng=random.Random(1),
    )
    return state, RelaySync(
        state=state,
        links=_NoLinks(),
        decoder=None,
        on_config=bool,
    )


async def wait_until(holds, timeout_s=3.0):
    """Waits for a condition.

    :returns: whether it came to hold in time.
    """
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if holds():
            return True
        await curio.sleep(0.02)
    return False


@pytest.mark.parametrize('runs_batches', [False, True])
def test_outage_is_detected_while_the_watch_waits(runs_batches):
    """Any host without contact to other data centres probes the store.

    Guards against probes by runners only: a front that was cut off detected it
    no earlier than its watch call timed out.
    """
    store = _Store()
    state, sync = make_sync(store, runs_batches=runs_batches)

    async def play():
        task = await curio.spawn(sync.run, daemon=True)
        assert await wait_until(lambda: not sync.in_outage)
        store.cut_off = True
        state.centres.on_contact('west', state.now() - 1)
        state.centres.on_timeout('west', state.now())
        noticed = await wait_until(lambda: sync.in_outage, 1.5)
        await task.cancel()
        return noticed

    assert curio.run(play)


def test_host_with_an_update_source_detects_the_end_of_a_short_outage():
    """Such a host makes no calls of its own that would detect it."""
    store = _Store()
    state, sync = make_sync(store)

    async def play():
        task = await curio.spawn(sync.run, daemon=True)
        await wait_until(lambda: not sync.in_outage)
        store.cut_off = True
        state.centres.on_contact('west', state.now() - 1)
        state.centres.on_timeout('west', state.now())
        assert await wait_until(lambda: sync.in_outage)
        store.cut_off = False
        state.centres.on_contact('west', state.now())
        state.note_update_source('s1:1', by_active=True)
        state._source_reply_at += 60
        ended = await wait_until(lambda: not sync.in_outage)
        await task.cancel()
        return ended

    assert curio.run(play)


def test_evacuation_is_in_force_until_a_newer_state_removes_it():
    """A host learns of it from the store or a peer, and never goes back."""
    state, sync = make_sync(MemoryStore())
    evacuated = make_snapshot(revision=7, names=['evacuations/west'])
    older = make_snapshot(revision=6, names=[])
    newer = make_snapshot(revision=8, names=[])
    seen = []

    async def play():
        for snapshot in (evacuated, older, newer):
            await sync._apply_snapshot(Snapshot(parts=[snapshot]))
            seen.append(set(state.evacuated))

    curio.run(play)
    assert seen == [{'west'}, {'west'}, set()]


def test_host_that_knows_no_evacuations_is_not_loaded():
    """It would send requests to a data centre that is being evacuated."""
    state, sync = make_sync(MemoryStore())
    state.apply_config(make_config(), 1)
    sync._endpoint_watch.revision = 5
    assert not sync.is_loaded
    curio.run(
        sync._apply_snapshot,
        Snapshot(parts=[make_snapshot(revision=5, names=[])]),
    )
    assert sync.is_loaded


def make_snapshot(*, revision, names):
    """Builds the evacuations as known to another host."""
    return PrefixSnapshot(
        prefix='evacuations/',
        revision=revision,
        names=names,
        objects=[
            Stored(name=name, version=revision, body='{}') for name in names
        ],
    )


def test_recovered_runner_spares_the_store_a_listing_by_each_host():
    """Guards against four calls by each of sixty hosts after an outage."""
    store = _Store()
    state, sync = make_sync(store)

    async def play():
        task = await curio.spawn(sync.run, daemon=True)
        await wait_until(lambda: not sync.in_outage)
        await curio.sleep(0.1)
        for watch in sync._watches():
            watch.in_outage = True
        listed = store.listed
        state.note_update_source('s1:1', by_active=True)
        state._source_reply_at += 60
        ended = await wait_until(lambda: not sync.in_outage)
        await task.cancel()
        return ended, store.listed - listed

    assert curio.run(play) == (True, 0)


def test_runner_lists_the_store_after_an_outage_itself():
    """Other hosts rely on what it has."""
    store = _Store()
    state, sync = make_sync(store, runs_batches=True)

    async def play():
        task = await curio.spawn(sync.run, daemon=True)
        await wait_until(lambda: not sync.in_outage)
        await curio.sleep(0.1)
        for watch in sync._watches():
            watch.in_outage = True
        listed = store.listed
        state.note_update_source('s1:1', by_active=True)
        ended = await wait_until(lambda: not sync.in_outage)
        await task.cancel()
        return ended and store.listed > listed

    assert curio.run(play)


def test_started_host_waits_for_a_runner_before_it_watches():
    """Guards against watches by all hosts of a fleet that starts together."""
    store = _Store()
    _, sync = make_sync(store)

    async def play():
        task = await curio.spawn(sync.run, daemon=True)
        await curio.sleep(START_GRACE_S / 2)
        early = store.watched
        watched = await wait_until(lambda: store.watched == 5)
        await task.cancel()
        return early, watched

    assert curio.run(play) == (0, True)
