"""Runs one claimed chunk: its pending items and its result log."""

import json
from collections import deque

import curio
from jacinthmount.batches import BatchManifest
from jacinthmount.claims import Claim, claim_name
from jacinthmount.errors import (
    OutcomeUnknown,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.files import Line, line_target, parse_line
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.results import (
    FAILED,
    MAX_SEGMENT_BYTES,
    STARTED,
    ChunkResults,
    ResultRecord,
    Segment,
    limit_record,
    record_bytes,
    segment_name,
)
from jacinthmount.routing import prefix_key, read_prompt
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.batches.batches_api import read_results
from jacinthmount_node.logs import log_event
from jacinthmount_node.node import Node

__all__ = ('BatchItem', 'ChunkRun')

FLUSH_INTERVAL_S = 5.0
STORE_PAUSE_S = 1.0
MAX_BUFFER_BYTES = 4 * 1024 * 1024


class BatchItem:
    """One waiting or running item.

    ``text`` is the part of its answer received so far, ``version`` the software
    version that began it, ``not_before`` the clock time in seconds of the next
    attempt.
    """

    __slots__ = (
        'attempts',
        'chunk',
        'line',
        'not_before',
        'prefix',
        'request',
        'started',
        'target',
        'text',
        'version',
    )

    def __init__(self, *, chunk: 'ChunkRun', line: int, request: Line) -> None:
        self.chunk = chunk
        self.line = line
        self.request = request
        self.target = line_target(request)
        self.prefix = prefix_key(read_prompt(json.loads(request.body)))
        self.started = False
        self.text = ''
        self.version = ''
        self.attempts = 0
        self.not_before = 0.0

    @property
    def name(self) -> str:
        """Unique name of the item."""
        return f'{self.chunk.name}/{self.line}'


class ChunkRun:
    """A chunk that this host has claimed."""

    __slots__ = (
        '_buffer',
        '_buffer_bytes',
        '_claim',
        '_claim_version',
        '_log_lock',
        '_node',
        '_results',
        '_stopping',
        '_wake',
        'batch',
        'chunk',
        'lost',
        'pending',
        'running',
    )

    def __init__(
        self,
        *,
        node: Node,
        batch: BatchManifest,
        chunk: int,
        claim: Claim,
        claim_version: int,
    ) -> None:
        self._node = node
        self.batch = batch
        self.chunk = chunk
        self._claim = claim
        self._claim_version = claim_version
        self._results = ChunkResults(lines=0)
        self._buffer: dict[int, ResultRecord] = {}
        self._buffer_bytes = 0
        self._wake = curio.Event()
        self._log_lock = curio.Lock()
        self.pending: deque[BatchItem] = deque()
        self.running: set[int] = set()
        self.lost = False
        self._stopping = False

    @property
    def name(self) -> str:
        """Unique name of the chunk."""
        return f'{self.batch.batch_id}/{self.chunk}'

    async def load(self, lines: list[str]) -> None:
        """Reads the log and queues the items that have no result yet.

        :raises StoreUnavailable: the store did not answer.
        """
        self._results = await read_results(
            self._node,
            self.batch.batch_id,
            self.chunk,
            len(lines),
        )
        for line in self._results.pending():
            if self._results.started_by(line) is None:
                self.pending.append(
                    BatchItem(
                        chunk=self,
                        line=line,
                        request=parse_line(lines[line]),
                    )
                )
            else:
                # Started under an earlier claim, and may run only once.
                self._buffer_unknown_outcome(line)

    async def run(self) -> bool:
        """Writes results until the chunk is done or its claim is lost.

        :returns: whether the chunk is done.
        """
        while not self.lost:
            async with curio.ignore_after(FLUSH_INTERVAL_S):
                await self._wake.wait()
            self._wake.clear()
            try:
                await self.flush()
                if self._results.complete():
                    await self._finish()
                    return True
            except StoreUnavailable:
                await curio.sleep(STORE_PAUSE_S)
            except StoreConflict:
                self.lost = True
        return False

    def may_start(self) -> bool:
        """Returns whether items may start.

        None may while the buffer for results is full.
        """
        if self.lost or self._stopping:
            return False
        return self._buffer_bytes < MAX_BUFFER_BYTES

    def begin_stop(self) -> None:
        """Keeps items from starting, including cancelled ones."""
        self._stopping = True
        self.pending.clear()

    def put_back(self, item: BatchItem) -> None:
        """Puts an item without a result back at the head of the queue."""
        if not self.lost and not self._stopping:
            self.pending.appendleft(item)

    async def add_unknown_outcome(self, line: int) -> None:
        """Fails an item that another holder started and that may run once."""
        self._buffer_unknown_outcome(line)
        await self._wake.set()

    async def record_start(self, line: int) -> bool:
        """Durably records the start of an item that may run only once.

        :returns: whether this host may run it.
        """
        record = ResultRecord(
            line=line,
            state=STARTED,
            status=0,
            body='',
            code=0,
        )
        async with self._log_lock:
            if self._results.started_by(line) is not None:
                return False
            return await self._append([record]) and not self.lost

    async def add(self, record: ResultRecord) -> None:
        """Buffers the result of an item."""
        if record.line in self._buffer or self._results.is_terminal(
            record.line
        ):
            return
        record = limit_record(record)
        self._buffer[record.line] = record
        self._buffer_bytes += record_bytes(record)
        full = self._buffer_bytes >= MAX_SEGMENT_BYTES
        if full or not (self.pending or self.running):
            await self._wake.set()

    async def stop(self) -> None:
        """Writes the buffered results and stops work on the chunk."""
        self.begin_stop()
        try:
            await self.flush()
        except (StoreUnavailable, StoreConflict) as exc:
            log_event('batch_flush', chunk=self.name, detail=exc.detail)
        self.lost = True
        await self._wake.set()

    async def release(self) -> None:
        """Releases the claim, so that other hosts need not wait for expiry."""
        freed = replaced(
            self._claim,
            holder='',
            incarnation='',
            write_id=new_write_id(),
        )
        await self._write_claim(freed)

    async def flush(self) -> None:
        """Writes buffered results to the log.

        :raises StoreConflict: another host claimed the chunk.
        :raises StoreUnavailable: the results stay buffered.
        """
        async with self._log_lock:
            while self._buffer:
                if not await self._append(self._next_records()):
                    await self._check_claim()

    def _next_records(self) -> list[ResultRecord]:
        records: list[ResultRecord] = []
        size = 0
        for record in self._buffer.values():
            size += record_bytes(record)
            if records and size > MAX_SEGMENT_BYTES:
                break
            records.append(record)
        return records

    async def _append(self, records: list[ResultRecord]) -> bool:
        segment = Segment(
            holder=self._node.incarnation,
            records=records,
            write_id=new_write_id(),
        )
        index = self._results.next_index
        name = segment_name(self.batch.batch_id, self.chunk, index)
        store = self._node.store
        self._node.metrics.platform_calls.labels('write').inc()
        try:
            await write_with_retry(
                store,
                name,
                serialize_json(segment),
                ABSENT,
            )
        except StoreConflict:
            stored = await store.read(name)
            if stored is None or stored.body is None:
                return False
            segment = parse_json(Segment, stored.body)
            self._fold(segment)
            return False
        self._fold(segment)
        return True

    def _fold(self, segment: Segment) -> None:
        self._results.fold(segment)
        for record in segment.records:
            if self._results.is_terminal(record.line):
                written = self._buffer.pop(record.line, None)
                if written is not None:
                    self._buffer_bytes -= record_bytes(written)

    async def _check_claim(self) -> None:
        name = claim_name(self.batch.batch_id, self.chunk)
        stored = await self._node.store.read(name)
        if stored is None or stored.version != self._claim_version:
            raise StoreConflict(detail=f'claim on {self.name}')

    async def _finish(self) -> None:
        completed, failed = self._results.counts()
        await self._write_claim(
            replaced(
                self._claim,
                done=True,
                completed=completed,
                failed=failed,
                write_id=new_write_id(),
            )
        )

    async def _write_claim(self, claim: Claim) -> None:
        self._claim_version = await write_with_retry(
            self._node.store,
            claim_name(self.batch.batch_id, self.chunk),
            serialize_json(claim),
            self._claim_version,
        )
        self._claim = claim

    def _buffer_unknown_outcome(self, line: int) -> None:
        record = ResultRecord(
            line=line,
            state=FAILED,
            status=0,
            body='the item may have run and is not repeated',
            code=OutcomeUnknown.code,
        )
        self._buffer[line] = record
        self._buffer_bytes += record_bytes(record)
