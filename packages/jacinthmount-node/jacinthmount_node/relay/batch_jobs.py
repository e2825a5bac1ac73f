"""Open batches of the active runner: their unfinished items and results."""

import base64
import binascii
from collections.abc import Iterable

import curio
from jacinthmount.batch_order import ItemRun
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreRefused,
    ValueTooLarge,
)
from jacinthmount.item_batches import (
    BatchItem,
    BatchLog,
    BodyChunk,
    ItemBatch,
    ItemResult,
    ResultSegment,
    chunk_name,
    join_chunks,
    result_segment_name,
)
from jacinthmount.ports import ABSENT, ObjectStore, Stored
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.run_progress import ItemProgress
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.logs import log_event

__all__ = (
    'BatchJob',
    'list_finished',
    'list_unfinished',
    'read_items',
    'read_log',
    'read_open_items',
    'write_fence',
    'write_results',
)

# Quotes and backslashes may count twice in the size of a value of the store.
SEGMENT_BYTES = 500_000
READ_RETRY_S = 0.3


class BatchJob:
    """One batch with its items that have no result yet.

    ``has_unconfirmed_write`` is set while the outcome of a write is unknown,
    ``is_shared`` while another runner may write to the log as well. The first
    segment written here ends the latter: writes of that runner that are still
    in flight precede this segment or are refused. ``revision`` is that of the
    store at which the manifest was written.
    """

    __slots__ = (
        'has_unconfirmed_write',
        'is_shared',
        'key',
        'log',
        'manifest',
        'pending',
        'ready',
        'revision',
        'runs',
        'segment_bytes',
        'writing',
    )

    def __init__(self, *, key: str, manifest: ItemBatch, revision: int) -> None:
        self.key = key
        self.manifest = manifest
        self.revision = revision
        self.log = BatchLog(total=len(manifest.item_ids))
        self.runs: dict[str, ItemRun] = {}
        self.pending: list[ItemResult] = []
        self.segment_bytes = SEGMENT_BYTES
        self.ready = False
        self.has_unconfirmed_write = False
        self.is_shared = False
        self.writing = False

    @property
    def is_log_current(self) -> bool:
        """Whether the log is known to hold every segment."""
        return not self.has_unconfirmed_write and not self.is_shared

    @property
    def needs_fence(self) -> bool:
        """Whether a fence is needed to make the log current.

        Otherwise the log is current, or pending results will make it so.
        """
        may_be_stale = self.ready and self.is_shared and not self.log.complete
        return may_be_stale and not self.pending and not self.writing

    def waiting_tokens(self) -> int:
        """Counts the tokens of the unfinished items."""
        if self.manifest.ended:
            return 0
        if not self.ready:
            return sum(self.manifest.token_counts)
        return sum(run.tokens for run in self.runs.values())

    def fill(self, items: list[BatchItem], due_at: float) -> list[ItemRun]:
        """Creates the runs of the items that have no result.

        :param due_at: clock time in seconds at which the items are due.
        """
        for item in items:
            if not self.log.has_result(item.item_id):
                self.runs[item.item_id] = _make_run(
                    self.key, self.manifest, item, due_at
                )
        self.ready = True
        return list(self.runs.values())

    def finish(self, run: ItemRun, *, completed: bool) -> None:
        """Queues the final result of an item for writing."""
        if self.runs.pop(run.item_id, None) is None:
            return
        text = '\n'.join(run.texts) if completed else ''
        self.pending.append(
            ItemResult(item_id=run.item_id, completed=completed, text=text),
        )

    def next_segment(self) -> list[ItemResult]:
        """Returns the first pending results that fit into one segment."""
        taken: list[ItemResult] = []
        size = 0
        for result in self.pending:
            size += len(serialize_json(result))
            if taken and size > self.segment_bytes:
                break
            taken.append(result)
        return taken

    def shrink_segment(self, refused: list[ItemResult]) -> None:
        """Makes smaller segments, after the store refused one for its size.

        A result that is too large alone becomes a failure, as its batch would
        never be complete.
        """
        if len(refused) > 1:
            size = sum(len(serialize_json(result)) for result in refused)
            self.segment_bytes = size // 2
            return
        index = self.pending.index(refused[0])
        self.pending[index] = replaced(refused[0], completed=False, text='')


def _make_run(
    key: str,
    manifest: ItemBatch,
    item: BatchItem,
    due_at: float,
) -> ItemRun:
    try:
        body = base64.b64decode(item.body)
    except binascii.Error:
        body = b''
    return ItemRun(
        batch=key,
        batch_id=manifest.batch_id,
        item_id=item.item_id,
        account=manifest.account,
        host_name=manifest.host_name,
        path=item.path,
        headers=item.headers,
        body=body,
        tokens=item.tokens,
        due_at=due_at,
        route=manifest.route,
    )


def list_unfinished(jobs: Iterable[BatchJob]) -> list[ItemRun]:
    """Lists the items of jobs that have no result yet."""
    return [run for job in jobs for run in job.runs.values()]


def list_finished(jobs: Iterable[BatchJob]) -> list[ItemProgress]:
    """Lists the completed items of jobs whose results wait to be written."""
    return [
        ItemProgress(
            batch=job.key,
            item_id=result.item_id,
            last_event=None,
            failures=0,
            texts=[result.text],
            finished=True,
            origin=None,
        )
        for job in jobs
        for result in job.pending
        if result.completed
    ]


async def read_items(
    store: ObjectStore,
    key: str,
    manifest: ItemBatch,
) -> list[BatchItem]:
    """Reads the items of a batch.

    :raises StoreUnavailable: the store did not answer.
    :raises MalformedRecord: a chunk is missing or can't be parsed.
    """
    body_chunks = [manifest.embedded]
    for index in range(manifest.chunks):
        stored = await store.read_immutable(chunk_name(key, index))
        if stored is None or stored.body is None:
            raise MalformedRecord(detail=f'no chunk {index} of {key}')
        body_chunks.append(parse_json(BodyChunk, stored.body))
    return join_chunks(body_chunks)


async def read_log(
    store: ObjectStore,
    key: str,
    log: BatchLog,
    count: int | None = None,
) -> None:
    """Reads the segments that a log does not hold yet.

    :param count: number of segments, None if it is not known.
    :raises StoreUnavailable: the store did not answer.
    """
    while not log.complete and log.next_index != count:
        index = log.next_index
        stored = await store.read_immutable(result_segment_name(key, index))
        if stored is None or stored.body is None:
            return
        log.append(index, parse_json(ResultSegment, stored.body))


async def read_open_items(
    store: ObjectStore,
    job: BatchJob,
) -> list[BatchItem]:
    """Reads the log of a batch, and its items unless all have results.

    :raises StoreUnavailable: the store did not answer.
    :raises MalformedRecord: a chunk is missing or can't be parsed.
    """
    await read_log(store, job.key, job.log)
    if job.log.complete:
        return []
    return await read_items(store, job.key, job.manifest)


async def write_results(
    store: ObjectStore,
    job: BatchJob,
    copies: RecentObjects,
) -> None:
    """Appends pending results to the log, after segments of other runners.

    :raises StoreUnavailable: the store did not answer; unwritten results stay
        pending.
    """
    while job.pending:
        taken = job.next_segment()
        try:
            await _append(store, job, taken, copies)
        except ValueTooLarge as exc:
            log_event(
                'results_too_large',
                batch=job.manifest.batch_id,
                items=','.join(result.item_id for result in taken),
                detail=exc.detail,
            )
            job.shrink_segment(taken)
        job.pending = [
            result
            for result in job.pending
            if not job.log.has_result(result.item_id)
        ]


async def write_fence(
    store: ObjectStore,
    job: BatchJob,
    copies: RecentObjects,
) -> None:
    """Appends an empty segment, after segments of other runners.

    :raises StoreUnavailable: the store did not answer.
    """
    while job.is_shared:
        await _append(store, job, [], copies)


async def _append(
    store: ObjectStore,
    job: BatchJob,
    taken: list[ItemResult],
    copies: RecentObjects,
) -> None:
    """Writes one segment, or reads the one that another runner wrote there."""
    segment = ResultSegment(results=taken, write_id=new_write_id())
    index = job.log.next_index
    name = result_segment_name(job.key, index)
    body = serialize_json(segment)
    had_unconfirmed_write = job.has_unconfirmed_write
    job.has_unconfirmed_write = True
    try:
        version = await write_with_retry(store, name, body, ABSENT)
    except StoreConflict:
        await _read_next(store, job)
    except (StoreRefused, ValueTooLarge):
        # This write had no effect, but an earlier one at this index may have.
        job.has_unconfirmed_write = had_unconfirmed_write
        raise
    else:
        copies.put(Stored(name=name, version=version, body=body))
        job.log.append(index, segment)
        job.is_shared = False
    job.has_unconfirmed_write = job.log.next_index == index


async def _read_next(store: ObjectStore, job: BatchJob) -> None:
    before = job.log.next_index
    await read_log(store, job.key, job.log)
    if job.log.next_index == before:
        # The segment exists, but the read returned an older state.
        await curio.sleep(READ_RETRY_S)
    for item_id in list(job.runs):
        if job.log.has_result(item_id):
            job.runs.pop(item_id)
