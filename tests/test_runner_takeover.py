"""Result logs of a runner that has just taken over."""

import random

import curio
import pytest
from jacinthmount.errors import MalformedRecord
from jacinthmount.item_batches import (
    batch_name,
    chunk_name,
    make_chunks,
    result_segment_name,
)
from jacinthmount.leadership import Leadership, RunnerState
from jacinthmount.memory import ManualClock
from jacinthmount.ports import ABSENT
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.records import replaced, serialize_json
from jacinthmount.run_progress import (
    ItemProgress,
    make_progress,
    progress_name,
)
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.batch_jobs import write_results
from jacinthmount_node.relay.batch_runner import (
    NO_CONTENDER_S,
    RelayBatchRunner,
)
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import (
    make_item,
    make_manifest,
    make_relay_settings,
    make_segment,
)

KEY = 'k'
LOADING = 'jacinthmount_node.relay.batch_loading'
ITEMS = ('a', 'b', 'c', 'd')


class _Connectivity:
    """Connectivity of a runner that reaches everything."""

    def __init__(self):
        self.is_unavailable = False

    def store_contact_age_s(self):
        return 0.1

    def is_superseded(self):
        return False

    def is_store_unavailable(self):
        return self.is_unavailable

    async def probe_store(self):
        """Changes nothing."""


class _Store(MemoryStore):
    """A store whose watch calls may wait without an answer."""

    hides_changes = False

    def __init__(self):
        super().__init__()
        self.read_errors = []

    async def read_immutable(self, name):
        """See :meth:`~jacinthmount.ports.ObjectStore.read_immutable`."""
        if self.read_errors:
            error = self.read_errors.pop()
            if error is None:
                return None
            raise error
        return await super().read_immutable(name)

    async def watch_page(self, prefix, after, wait_s):
        """See :meth:`~jacinthmount.ports.ObjectStore.watch_page`."""
        if self.hides_changes:
            await curio.sleep(wait_s)
        return await super().watch_page(prefix, after, wait_s)


async def announce():
    """Notifies no other host."""


def make_batch_runner(state, config_view):
    """Makes the runner of a host that reaches everything."""
    return RelayBatchRunner(
        state=state,
        rooms=RunnerCapacity(state=state),
        item_runner=None,
        copies=RecentObjects(limit_bytes=10_000),
        connectivity=_Connectivity(),
        config_view=config_view,
        announce=announce,
    )


class Successor:
    """A runner that takes over an open batch, and the store."""

    def __init__(self):
        self.store = _Store()
        self.clock = ManualClock()
        self.clock.advance(100)
        self.state = RelayState(
            settings=make_relay_settings(runs_batches=True),
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.state.leadership.active = True
        self.runner = make_batch_runner(self.state, config_view=None)

    async def accept(self, key):
        """Writes the input and the manifest of a batch."""
        chunk = make_chunks([make_item(item_id) for item_id in ITEMS])[0]
        await self.store.write(
            chunk_name(key, 0), serialize_json(chunk), ABSENT
        )
        await self.store.write(
            batch_name(key), serialize_json(make_manifest()), ABSENT
        )
        await self.runner._watch.refresh()
        await curio.sleep(0.02)

    async def take_over(self):
        """Becomes active with one open batch."""
        self.state.leadership.active = False
        await self.accept(KEY)
        self.state.leadership.active = True
        await self.runner._on_role(active=True)
        await curio.sleep(0.02)

    async def write_as_other_runner(self, index, *item_ids):
        """Writes a segment as another runner."""
        await self.store.write(
            result_segment_name(KEY, index),
            serialize_json(make_segment(*item_ids)),
            ABSENT,
        )

    async def finish(self, item_id):
        """Ends an item here and writes its result."""
        job = self.runner._jobs[KEY]
        job.finish(job.runs[item_id], completed=True)
        await write_results(self.store, job, RecentObjects(limit_bytes=10_000))


@pytest.fixture
def successor():
    """A runner that is about to take over."""
    return Successor()


def test_successor_reports_no_segments_before_its_first_write(successor):
    """The previous runner may write after the successor has read the log.

    Guards against fronts that for seconds served a log as complete without
    the last segment of the previous runner (LOST on hunt-cc87-7 of
    ansah-live).
    """

    async def play():
        await successor.take_over()
        await successor.write_as_other_runner(0, 'a')
        reported = successor.runner.open_segments()
        await successor.finish('b')
        return reported, successor.runner.open_segments()

    reported, later = curio.run(play)
    assert reported == {}
    assert later == {KEY: 2}


def test_successor_writes_the_results_that_its_predecessor_kept(successor):
    """Items that had ended there are not run again.

    Guards against whole runs that were repeated, since results wait about a
    second until they are written.
    """
    finished = ItemProgress(
        batch=KEY,
        item_id='a',
        last_event=None,
        failures=0,
        texts=['of a'],
        finished=True,
        origin=None,
    )

    async def play():
        await successor.store.write(
            progress_name('s2'),
            serialize_json(make_progress([], [finished], 'w')),
            ABSENT,
        )
        await successor.take_over()
        job = successor.runner._jobs[KEY]
        return job.pending, set(job.runs)

    pending, waiting = curio.run(play)
    assert [(one.item_id, one.text) for one in pending] == [('a', 'of a')]
    assert waiting == {'b', 'c', 'd'}


def test_segments_of_a_batch_that_no_other_runner_ran_are_reported(successor):
    """It was accepted while this runner was the only active one."""

    async def play():
        await successor.take_over()
        successor.clock.advance(10)
        await successor.accept('new')
        return successor.runner.open_segments()

    assert curio.run(play) == {'new': 0}


def test_runner_reports_no_segments_beside_another_active_one(successor):
    """Both may write until one of them becomes a standby."""

    async def play():
        await successor.take_over()
        await successor.finish('b')
        assert successor.runner.open_segments() == {KEY: 1}
        contender = RunnerState(host='s9', active=True, can_run=True)
        successor.state.leadership.on_state(contender, successor.state.now())
        assert successor.state.leadership.has_contender(successor.state.now())
        successor.runner.mark_logs_shared()
        return successor.runner.open_segments()

    assert curio.run(play) == {}


def test_successor_fences_logs_by_itself(successor):
    """It writes an empty segment once no contender was active for a while.

    Guards against 916 of the 2,102 store calls of a day: after a power loss,
    each read queried the store until a result was written.
    """

    async def play():
        await successor.take_over()
        await successor.write_as_other_runner(0, 'a')
        await successor.runner._fence_logs()
        await curio.sleep(0.02)
        early = successor.runner.open_segments()
        successor.clock.advance(NO_CONTENDER_S)
        await successor.runner._fence_logs()
        await curio.sleep(0.05)
        job = successor.runner._jobs[KEY]
        return early, successor.runner.open_segments(), job.log.results

    early, later, results = curio.run(play)
    assert early == {}
    assert later == {KEY: 2}
    assert [one.item_id for one in results] == ['a']


def test_no_result_is_written_while_the_store_is_unavailable(successor):
    """Results that are finished meanwhile are written once, afterwards.

    Guards against 116 refused writes in an outage of six seconds.
    """
    connectivity = successor.runner._connectivity

    async def play():
        await successor.take_over()
        connectivity.is_unavailable = True
        job = successor.runner._jobs[KEY]
        for item_id in list(job.runs):
            await successor.runner._finish(
                job, job.runs[item_id], completed=True
            )
        before = successor.store.revision
        await curio.sleep(1.5)
        meanwhile = successor.store.revision - before
        connectivity.is_unavailable = False
        await curio.sleep(1.5)
        return meanwhile, job.log.complete

    meanwhile, complete = curio.run(play)
    assert not meanwhile
    assert complete


def test_items_run_on_after_a_batch_was_ended_in_an_outage(
    successor, monkeypatch
):
    """The watch call that waited all the while tells nothing of the end.

    Guards against items that were sent 6 s after their batch had been ended
    through another host.
    """
    connectivity = successor.runner._connectivity
    successor.store.hides_changes = True
    # No other runner takes over meanwhile.
    monkeypatch.setattr(Leadership, 'decide', lambda leadership, now: True)

    async def play():
        await successor.take_over()
        running = await curio.spawn(successor.runner.run, daemon=True)
        await curio.sleep(0.3)
        connectivity.is_unavailable = True
        await curio.sleep(0.3)
        name = batch_name(KEY)
        found = await successor.store.read(name)
        ended = replaced(make_manifest(), ended=True)
        await successor.store.write(name, serialize_json(ended), found.version)
        connectivity.is_unavailable = False
        await curio.sleep(0.5)
        await running.cancel()
        return list(successor.runner._jobs)

    assert curio.run(play) == []


@pytest.mark.parametrize(
    'errors',
    [
        pytest.param([KeyError('unexpected')], id='unexpected error'),
        pytest.param([curio.TaskTimeout('unexpected')], id='timeout'),
        pytest.param([MalformedRecord(detail='odd')], id='malformed'),
        # The first read is that of the log.
        pytest.param([None, None], id='input not found'),
    ],
)
def test_batch_whose_reading_fails_once_is_never_run(
    successor, monkeypatch, errors
):
    """Its items are owed, so the runner reads it again."""
    monkeypatch.setattr(f'{LOADING}.RETRY_S', 0.01)
    successor.store.read_errors = errors

    async def play():
        await successor.take_over()
        await curio.sleep(0.1)
        return sorted(successor.runner._jobs[KEY].runs)

    assert curio.run(play) == list(ITEMS)
