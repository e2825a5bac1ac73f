"""Stored progress of batch items, and its use by another runner."""

import curio
import pytest
from jacinthmount.errors import StoreUnavailable
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.run_progress import (
    BYTES_PER_S,
    MAX_BYTES,
    MIN_INTERVAL_S,
    ItemProgress,
    RunnerProgress,
    adopt_progress,
    make_progress,
    progress_name,
    write_interval_s,
)
from jacinthmount.stores import MemoryStore
from jacinthmount.stream_origins import StreamOrigin
from jacinthmount_node.relay.progress_log import ProgressLog

from tests.relay_builders import make_run
from tests.small_store import URDU, SmallStore

# More than an item takes beside its texts.
FIELD_BYTES = 300

ORIGIN = StreamOrigin(
    service='model-a', endpoint_id='e1', started_at_ms=1, version='v1'
)


class _UnavailableStore(MemoryStore):
    """A store that may be unavailable."""

    __slots__ = ('unavailable',)

    def __init__(self):
        super().__init__()
        self.unavailable = True

    async def write(self, name, body, expected):
        """See :meth:`~jacinthmount.ports.ObjectStore.write`."""
        if self.unavailable:
            raise StoreUnavailable(detail='unavailable')
        return await super().write(name, body, expected)

    async def list_names(self, prefix):
        """See :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        raise StoreUnavailable(detail='unavailable')


def make_begun(item_id, events, **changes):
    """Builds an item that has received events."""
    run = make_run(item_id, **changes)
    run.texts = [f'{item_id} {number}' for number in range(1, events + 1)]
    run.last_event = events
    run.begin(ORIGIN, 1.0)
    return run


def make_finished(item_id, text):
    """Builds an item whose result waits to be written."""
    return ItemProgress(
        batch='b',
        item_id=item_id,
        last_event=None,
        failures=0,
        texts=[text],
        finished=True,
        origin=None,
    )


@pytest.fixture
def loaded_runs():
    """Two items of a batch as another runner loads them."""
    return {'i1': make_run('i1'), 'i2': make_run('i2')}


@pytest.fixture
def store():
    """An empty store."""
    return MemoryStore()


def make_log(store, runs, host='s1'):
    """Builds the log of a runner with the items it works on."""
    return ProgressLog(
        store=store,
        host=host,
        find_runs=lambda: runs,
        find_finished=list,
    )


def test_run_resumes_after_the_stored_events(loaded_runs):
    """The run has the stored events and resumes after the last one."""
    kept = make_progress([make_begun('i1', 3)], [], 'w')
    assert adopt_progress(loaded_runs, 'b', [kept]) == 3
    assert loaded_runs['i1'].texts == ['i1 1', 'i1 2', 'i1 3']
    assert loaded_runs['i1'].last_event == 3
    assert loaded_runs['i2'].last_event is None


def test_events_of_an_unknown_version_are_not_used(loaded_runs):
    """The item begins anew, since no version may go on with them."""
    kept = make_progress([make_begun('i1', 3)], [], 'w')
    kept.items[0].origin = None
    assert not adopt_progress(loaded_runs, 'b', [kept])
    assert not loaded_runs['i1'].texts


def test_run_of_another_runner_stays_at_its_version(loaded_runs):
    """The version is stored with the events."""
    kept = make_progress([make_begun('i1', 3)], [], 'w')
    adopt_progress(loaded_runs, 'b', [kept])
    assert loaded_runs['i1'].version == 'v1'


def test_longest_progress_is_used(loaded_runs):
    """Two runners may have run the item, one after the other."""
    older = make_progress([make_begun('i1', 2)], [], 'w')
    newer = make_progress([make_begun('i1', 5)], [], 'w')
    adopt_progress(loaded_runs, 'b', [newer, older])
    assert loaded_runs['i1'].last_event == 5


@pytest.mark.parametrize('finished_first', [True, False])
def test_finished_item_needs_no_run(loaded_runs, finished_first):
    """Its result waited to be written as the earlier runner was lost."""
    finished = make_progress([], [make_finished('i1', 'whole text')], 'w')
    partial = make_progress([make_begun('i1', 3)], [], 'w')
    stored = [finished, partial] if finished_first else [partial, finished]
    adopt_progress(loaded_runs, 'b', stored)
    assert loaded_runs['i1'].is_finished
    assert loaded_runs['i1'].texts == ['whole text']
    assert not loaded_runs['i2'].is_finished


def test_finished_items_come_before_the_others():
    """A repeated run costs more than the rest of one."""
    long = make_begun('i1', 3)
    long.texts = ['x' * MAX_BYTES]
    kept = make_progress([long], [make_finished('i2', 'whole')], 'w')
    assert [item.item_id for item in kept.items] == ['i2']


def test_item_of_another_batch_is_ignored(loaded_runs):
    """Item ids are only unique within a batch."""
    kept = make_progress([make_begun('i1', 3, batch='other')], [], 'w')
    assert not adopt_progress(loaded_runs, 'b', [kept])


def test_started_run_is_not_changed(loaded_runs):
    """A run that has started gets its events from its own stream."""
    loaded_runs['i1'].starts = 1
    kept = make_progress([make_begun('i1', 3)], [], 'w')
    adopt_progress(loaded_runs, 'b', [kept])
    assert not loaded_runs['i1'].texts


def test_failed_attempts_stay_counted(loaded_runs):
    """Each runner continues to count the attempts of a failing item."""
    failed = make_run('i1')
    failed.failures = 2
    adopt_progress(loaded_runs, 'b', [make_progress([failed], [], 'w')])
    assert loaded_runs['i1'].failures == 2


def test_size_is_bounded_and_longest_runs_come_first():
    """Runs that do not fit into one object are left out."""
    part = 'x' * (MAX_BYTES // 4)
    big = make_run('big')
    big.texts = [part, part, part]
    more = make_run('more')
    more.texts = [part + part, part + part]
    progress = make_progress([more, big, make_run('new')], [], 'w')
    assert [one.item_id for one in progress.items] == ['big']


def test_large_progress_is_written_less_often():
    """The bytes per second stay about the same."""
    small = make_progress([make_begun('i1', 3)], [], 'w')
    big = make_run('big')
    big.texts = ['x' * (MAX_BYTES - FIELD_BYTES)]
    large = make_progress([big], [], 'w')
    small_s, large_s = (
        write_interval_s(len(serialize_json(one))) for one in (small, large)
    )
    assert small_s == pytest.approx(MIN_INTERVAL_S)
    assert large_s * BYTES_PER_S >= MAX_BYTES - FIELD_BYTES


def test_texts_beyond_ascii_make_a_progress_that_the_store_refuses(store):
    """A character takes six bytes or twelve in the store.

    Guards against a part of the runner that ends at each write.
    """
    runs = [make_begun(f'i{number}', 0) for number in range(30)]
    for run in runs:
        run.texts = [URDU * 1000]
    log = make_log(store, runs)
    curio.run(log.write)
    written = curio.run(store.read, progress_name('s1'))
    assert len(written.body) <= MAX_BYTES + FIELD_BYTES
    assert parse_json(RunnerProgress, written.body).items


def test_item_that_does_not_fit_costs_the_others_their_progress():
    """Guards against one large item that stops what comes after it."""
    large = make_finished('large', 'x' * MAX_BYTES)
    kept = make_progress([make_begun('i1', 3)], [large], 'w')
    assert [item.item_id for item in kept.items] == ['i1']


def test_refused_progress_is_made_smaller():
    """The store takes less than this host assumes."""
    store = SmallStore()
    runs = [make_begun(f'i{number}', 100) for number in range(20)]
    log = make_log(store, runs)
    for _ in range(4):
        curio.run(log.write)
    written = curio.run(store.read, progress_name('s1'))
    assert parse_json(RunnerProgress, written.body).items


def test_another_runner_reads_the_written_progress(store, loaded_runs):
    """After the loss of a runner another one reads its progress."""
    curio.run(make_log(store, [make_begun('i1', 4)]).write)
    other = make_log(store, [], host='s2')
    curio.run(other.read)
    assert other.adopt('b', loaded_runs) == 4


def test_restarted_runner_replaces_its_object(store, loaded_runs):
    """It finds the version that its previous incarnation wrote."""
    curio.run(make_log(store, [make_begun('i1', 4)]).write)
    restarted = make_log(store, [make_begun('i1', 6)])
    curio.run(restarted.write)
    curio.run(restarted.write)
    curio.run(restarted.read)
    assert restarted.adopt('b', loaded_runs) == 6


def test_outage_only_loses_the_write():
    """No error is raised, and the next write succeeds."""
    store = _UnavailableStore()
    log = make_log(store, [make_begun('i1', 4)])
    curio.run(log.write)
    curio.run(log.read)
    store.unavailable = False
    curio.run(log.write)
    written = curio.run(store.read, progress_name('s1'))
    assert parse_json(RunnerProgress, written.body).items


def test_unreadable_object_is_ignored(store, loaded_runs):
    """An object of another version only causes repeated work."""
    curio.run(store.write, progress_name('s3'), '{"x": 1}', ABSENT)
    kept = serialize_json(make_progress([make_begun('i2', 2)], [], 'w'))
    curio.run(store.write, progress_name('s2'), kept, ABSENT)
    log = make_log(store, [])
    curio.run(log.read)
    assert log.adopt('b', loaded_runs) == 2
