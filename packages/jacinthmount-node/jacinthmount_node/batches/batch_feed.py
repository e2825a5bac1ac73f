"""Batch items on engines with room, and their preemption."""

import itertools
import math

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import EndpointFailed, StoreUnavailable
from jacinthmount.results import FAILED, ResultRecord
from jacinthmount.suspects import SuspectTracker

from jacinthmount_node.batches.batch_board import BatchBoard
from jacinthmount_node.batches.batch_chunks import BatchItem, ChunkRun
from jacinthmount_node.batches.batch_items import run_item
from jacinthmount_node.batches.prefix_watch import PrefixWatch
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.node import Node

__all__ = ('BatchFeed',)

FEED_INTERVAL_S = 0.05
RETRY_PAUSE_S = 0.5


class _Running:
    __slots__ = ('endpoint', 'item', 'started_at', 'task')

    def __init__(
        self,
        *,
        item: BatchItem,
        endpoint: Endpoint,
        task: curio.Task,
        started_at: float,
    ) -> None:
        self.item = item
        self.endpoint = endpoint
        self.task = task
        self.started_at = started_at


class BatchFeed:
    """Starts items where engines have room and stops them for online."""

    __slots__ = (
        '_board',
        '_node',
        '_prefixes',
        '_rooms',
        '_running',
        '_suspects',
        '_wake',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        board: BatchBoard,
        prefixes: PrefixWatch,
    ) -> None:
        """Starts with nothing running."""
        self._prefixes = prefixes
        self._node = node
        self._rooms = rooms
        self._board = board
        self._suspects = SuspectTracker()
        self._running: dict[str, _Running] = {}
        self._wake = curio.Event()
        rooms.on_capacity_change = self.on_capacity_change

    async def run(self) -> None:
        """Starts items until cancelled."""
        while True:
            async with curio.ignore_after(FEED_INTERVAL_S):
                await self._wake.wait()
            self._wake.clear()
            if self._board.stopping or not self._board.chunks:
                continue
            for endpoint in self._rooms.owned_endpoints():
                await self._feed(endpoint)

    async def on_capacity_change(self, engine: str) -> None:
        """Cancels batch streams that online requests need the room of."""
        endpoint = self._node.catalogue.find(Endpoint, engine)
        running = self._on_engine(engine)
        if endpoint is None or not running:
            return
        profile = self._node.catalogue.profile_of(endpoint.service)
        if profile is None or not profile.idempotent:
            # Stopping an item that may not be repeated would lose it.
            return
        excess = len(running) - self._rooms.capacity(endpoint)
        if excess <= 0:
            return
        newest = sorted(running, key=lambda one: one.started_at, reverse=True)
        for one in newest[:excess]:
            self._node.metrics.batch_preempted.labels(endpoint.service).inc()
            await one.task.cancel(blocking=False)

    async def stop_items(self, chunk: ChunkRun) -> None:
        """Cancels the items of a chunk."""
        chunk.begin_stop()
        for one in list(self._running.values()):
            if one.item.chunk is chunk:
                await one.task.cancel(blocking=False)

    async def wait_idle(self) -> None:
        """Waits until every running item has ended."""
        while self._running:
            await curio.sleep(FEED_INTERVAL_S)

    def running(self) -> int:
        """Counts the items in flight."""
        return len(self._running)

    async def _feed(self, endpoint: Endpoint) -> None:
        state = self._node.router(endpoint.service).find(endpoint.name)
        if state is None or not state.available(self._node.now()):
            return
        capacity = self._rooms.capacity(endpoint) - len(
            self._on_engine(endpoint.name)
        )
        streams = self._node.settings.batch_streams - len(self._running)
        for _ in range(min(capacity, streams)):
            item = self._next_item(endpoint)
            if item is None:
                return
            await self._start(item, endpoint)

    def _next_item(self, endpoint: Endpoint) -> BatchItem | None:
        for chunk in self._board.chunks_in_order():
            item = self._take_item(chunk, endpoint)
            if item is not None:
                return item
        return None

    def _take_item(
        self,
        chunk: ChunkRun,
        endpoint: Endpoint,
    ) -> BatchItem | None:
        now = self._node.now()
        # Only endpoints whose batch items run here can take a suspect.
        names = [
            one.name
            for one in self._rooms.owned_endpoints()
            if one.service == endpoint.service
        ]
        found = None
        newest = -math.inf
        look_ahead = self._node.settings.batch_look_ahead
        book = self._prefixes.book(endpoint.name)
        for item in itertools.islice(chunk.pending, look_ahead):
            # What the engine has in its cache costs it less.
            used_at = book.used_at(item.prefix, now) or 0
            if used_at > newest and self._may_run(item, endpoint, names):
                found = item
                newest = used_at
        if found is not None:
            chunk.pending.remove(found)
            book.on_sent(found.prefix, now)
        return found

    def _may_run(
        self,
        item: BatchItem,
        endpoint: Endpoint,
        names: list[str],
    ) -> bool:
        if item.not_before > self._node.now():
            return False
        if self._board.service_of(item.target) != endpoint.service:
            return False
        return self._suspects.may_start(item.name, endpoint.name, names)

    async def _start(self, item: BatchItem, endpoint: Endpoint) -> None:
        chunk = item.chunk
        chunk.running.add(item.line)
        self._suspects.on_start(item.name, endpoint.name)
        self._board.note_served(chunk.batch.account)
        task = await curio.spawn(self._run_item, item, endpoint, daemon=True)
        self._running[item.name] = _Running(
            item=item,
            endpoint=endpoint,
            task=task,
            started_at=self._node.now(),
        )

    async def _run_item(self, item: BatchItem, endpoint: Endpoint) -> None:
        ended = False
        try:
            ended = await self._try_item(item, endpoint)
        except (curio.CancelledError, StoreUnavailable):
            ended = False
        finally:
            self._note_end(item, endpoint, ended=ended)
        await self._wake.set()

    def _note_end(
        self,
        item: BatchItem,
        endpoint: Endpoint,
        *,
        ended: bool,
    ) -> None:
        self._running.pop(item.name, None)
        item.chunk.running.discard(item.line)
        self._suspects.on_stop(item.name, endpoint.name)
        if not ended:
            item.chunk.put_back(item)

    async def _try_item(self, item: BatchItem, endpoint: Endpoint) -> bool:
        node = self._node
        profile = node.catalogue.profile_of(endpoint.service)
        if profile is None:
            return False
        if not profile.idempotent and not item.started:
            item.started = await item.chunk.note_started(item.line)
            if not item.started:
                await item.chunk.add_unknown(item.line)
                return True
        state = node.router(endpoint.service).find(endpoint.name)
        if state is not None:
            state.batch += 1
        try:
            outcome = await run_item(
                node,
                item,
                endpoint,
                profile,
                node.catalogue.kind_of(endpoint.service),
            )
        finally:
            if state is not None:
                state.batch -= 1
        if outcome.record is not None:
            self._suspects.on_end(item.name, endpoint.name)
            await self._finish_item(item, outcome.record)
            return True
        item.not_before = node.now() + RETRY_PAUSE_S
        if state is not None:
            state.on_failure(node.now())
        if outcome.died:
            return await self._on_death(item, endpoint)
        return False

    async def _on_death(self, item: BatchItem, endpoint: Endpoint) -> bool:
        failed = self._suspects.on_endpoint_lost(endpoint.name)
        if item.name not in failed:
            return False
        await self._finish_item(
            item,
            ResultRecord(
                line=item.line,
                state=FAILED,
                status=0,
                body='endpoints died while the item ran on them',
                code=EndpointFailed.code,
            ),
        )
        return True

    async def _finish_item(
        self,
        item: BatchItem,
        record: ResultRecord,
    ) -> None:
        self._node.metrics.batch_items.labels(
            item.chunk.batch.account,
            record.state,
        ).inc()
        await item.chunk.add(record)

    def _on_engine(self, engine: str) -> list[_Running]:
        return [
            one for one in self._running.values() if one.endpoint.name == engine
        ]
