"""Batch jobs of the active runner: results, write conflicts and removal."""

import curio
import pytest
from jacinthmount.errors import StoreUnavailable
from jacinthmount.item_batches import (
    BatchLog,
    batch_name,
    chunk_name,
    make_chunks,
    result_segment_name,
)
from jacinthmount.ports import ABSENT
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.records import serialize_json
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.batch_cleanup import is_expired, remove_batch
from jacinthmount_node.relay.batch_jobs import (
    BatchJob,
    read_items,
    read_log,
    write_results,
)

from tests.relay_builders import make_item, make_manifest, make_segment
from tests.small_store import SMALL_BYTES, URDU, SmallStore

KEY = 'k'
ITEMS = ('a', 'b', 'c', 'd')


class _UnavailableStore(MemoryStore):
    """A store whose writes fail."""

    __slots__ = ()

    async def write(self, name, body, expected):
        """See :meth:`~jacinthmount.ports.ObjectStore.write`."""
        raise StoreUnavailable(detail='away')


@pytest.fixture
def store():
    """A store with the input of the batch in one chunk."""
    store_with_batch = MemoryStore()
    chunk = make_chunks([make_item(item_id) for item_id in ITEMS])[0]

    async def fill():
        await store_with_batch.write(
            chunk_name(KEY, 0), serialize_json(chunk), ABSENT
        )
        manifest = serialize_json(make_manifest())
        await store_with_batch.write(batch_name(KEY), manifest, ABSENT)

    curio.run(fill)
    return store_with_batch


def open_job(store):
    """Loads a job as a runner does when it becomes active."""
    job = BatchJob(key=KEY, manifest=make_manifest(), revision=1)

    async def load():
        await read_log(store, KEY, job.log)
        items = await read_items(store, KEY, job.manifest)
        job.fill(items, due_at=18.0)

    curio.run(load)
    return job


def finish(job, *item_ids, completed=True):
    """Ends the runs of items, each with its text."""
    for item_id in item_ids:
        run = job.runs[item_id]
        run.texts = [f'{item_id} done']
        job.finish(run, completed=completed)


def write(store, job):
    """Writes what is pending."""
    curio.run(write_results, store, job, RecentObjects(limit_bytes=10_000))


def read_all(store):
    """Reads the log as a front does."""
    log = BatchLog(total=len(ITEMS))
    curio.run(read_log, store, KEY, log)
    return [result.item_id for result in log.results]


def test_two_runners_list_each_item_once(store):
    """The second writer leaves out items that the log lists already."""
    first, second = open_job(store), open_job(store)
    finish(first, 'a', 'b')
    finish(second, 'b', 'c')
    write(store, first)
    write(store, second)
    assert read_all(store) == ['a', 'b', 'c']
    finish(first, 'c', 'd')
    write(store, first)
    assert read_all(store) == ['a', 'b', 'c', 'd']
    assert first.log.complete


def test_runner_that_takes_over_runs_only_what_is_open(store):
    """Items with a result are not run again."""
    first = open_job(store)
    finish(first, 'a', 'b')
    write(store, first)
    assert set(open_job(store).runs) == {'c', 'd'}


def test_results_of_another_runner_end_own_runs(store):
    """A runner drops items for which another one wrote the result."""
    first, second = open_job(store), open_job(store)
    finish(first, 'a', 'b', 'c')
    write(store, first)
    finish(second, 'd')
    write(store, second)
    assert not second.runs
    assert second.log.complete


def test_item_that_failed_has_no_text(store):
    """An item that was given up is listed without text."""
    job = open_job(store)
    finish(job, 'a', completed=False)
    write(store, job)
    log = BatchLog(total=len(ITEMS))
    curio.run(read_log, store, KEY, log)
    assert (log.results[0].completed, log.results[0].text) == (False, '')


def test_pending_results_survive_an_outage(store):
    """What could not be written stays pending and is written later."""
    job = open_job(store)
    finish(job, 'a')
    with pytest.raises(StoreUnavailable):
        write(_UnavailableStore(), job)
    assert [result.item_id for result in job.pending] == ['a']
    write(store, job)
    assert read_all(store) == ['a']


def test_results_beyond_ascii_pile_up_in_an_outage(store):
    """Together they are larger than a value of the store.

    Guards against results that are never listed.
    """
    job = open_job(store)
    for item_id in ITEMS:
        job.runs[item_id].texts = [URDU * 2000]
        job.finish(job.runs[item_id], completed=True)
    write(store, job)
    assert read_all(store) == list(ITEMS)


def test_refused_result_stops_the_others():
    """The store takes less than this host assumes.

    Guards against one result that keeps others of its batch from readers; it
    becomes a failure, so that the batch is complete.
    """
    store = SmallStore()
    job = BatchJob(key=KEY, manifest=make_manifest(), revision=1)
    job.fill([make_item(item_id) for item_id in ITEMS], due_at=18.0)
    job.runs['b'].texts = ['x' * SMALL_BYTES]
    job.runs['c'].texts = ['x' * (SMALL_BYTES // 2)]
    for item_id in ITEMS:
        job.finish(job.runs[item_id], completed=True)
    write(store, job)
    log = BatchLog(total=len(ITEMS))
    curio.run(read_log, store, KEY, log)
    assert [one.item_id for one in log.results] == list(ITEMS)
    failed = [one.item_id for one in log.results if not one.completed]
    assert failed == ['b']
    assert job.is_log_current


def test_waiting_tokens_fall_as_items_end(store):
    """A batch counts in full until its input is read, and not once ended."""
    unread = BatchJob(key=KEY, manifest=make_manifest(), revision=1)
    assert unread.waiting_tokens() == 400
    job = open_job(store)
    finish(job, 'a')
    assert job.waiting_tokens() == 300
    job.manifest = make_manifest(ended=True)
    assert not job.waiting_tokens()


def test_expired_batch_is_removed_whole(store):
    """All objects of an expired batch are deleted; deletion is idempotent."""
    segment = serialize_json(make_segment('a'))

    async def remove():
        await store.write(result_segment_name(KEY, 0), segment, ABSENT)
        for _ in range(2):
            await remove_batch(store, batch_name(KEY), make_manifest())
        return (await store.list_names('')).objects

    assert not curio.run(remove)


def test_batch_is_kept_until_long_after_its_end():
    """Results stay readable well after items may be given up."""
    assert not is_expired(make_manifest(), now_ms=60_000 + 120_000)
    assert is_expired(make_manifest(), now_ms=60_000 + 3_600_000)
