"""Schedules batch items on engines with free capacity, and preempts them."""

import itertools
import math

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import EndpointFailed, StoreUnavailable
from jacinthmount.results import FAILED, ResultRecord
from jacinthmount.suspects import SuspectTracker

from jacinthmount_node.batches.batch_chunks import BatchItem, ChunkRun
from jacinthmount_node.batches.batch_items import run_item
from jacinthmount_node.batches.batch_state import BatchState
from jacinthmount_node.batches.prefix_watch import PrefixWatch
from jacinthmount_node.engines.crash_watch import CrashWatch
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.logs import log_event
from jacinthmount_node.node import Node

__all__ = ('BatchScheduler',)

SCHEDULE_INTERVAL_S = 0.05
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


class BatchScheduler:
    """Starts items on free engine slots and preempts them for online."""

    __slots__ = (
        '_batch_state',
        '_crashes',
        '_node',
        '_prefixes',
        '_capacity',
        '_running',
        '_suspects',
        '_wake',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        batch_state: BatchState,
        prefixes: PrefixWatch,
        crashes: CrashWatch,
    ) -> None:
        self._crashes = crashes
        self._prefixes = prefixes
        self._node = node
        self._capacity = rooms
        self._batch_state = batch_state
        self._suspects = SuspectTracker()
        self._running: dict[str, _Running] = {}
        self._wake = curio.Event()
        rooms.on_capacity_change = self.on_capacity_change

    async def run(self) -> None:
        """Starts items until cancelled."""
        while True:
            async with curio.ignore_after(SCHEDULE_INTERVAL_S):
                await self._wake.wait()
            self._wake.clear()
            if self._batch_state.stopping or not self._batch_state.chunks:
                continue
            for endpoint in self._capacity.owned_endpoints():
                await self._start_items(endpoint)

    async def on_capacity_change(self, engine: str) -> None:
        """Cancels batch streams whose slots online requests need."""
        endpoint = self._node.catalogue.find(Endpoint, engine)
        running = self._running_on(engine)
        if endpoint is None or not running:
            return
        profile = self._node.catalogue.profile_of(endpoint.service)
        if profile is None or not profile.idempotent:
            # An item that may run only once would be lost.
            return
        excess = len(running) - self._capacity.capacity(endpoint)
        if excess <= 0:
            return
        newest = sorted(
            running, key=lambda entry: entry.started_at, reverse=True
        )
        for entry in newest[:excess]:
            self._node.metrics.batch_preempted.labels(endpoint.service).inc()
            await entry.task.cancel(blocking=False)

    async def stop_items(self, chunk: ChunkRun) -> None:
        """Cancels the items of a chunk."""
        chunk.begin_stop()
        for entry in list(self._running.values()):
            if entry.item.chunk is chunk:
                await entry.task.cancel(blocking=False)

    async def wait_idle(self) -> None:
        """Waits until every running item has ended."""
        while self._running:
            await curio.sleep(SCHEDULE_INTERVAL_S)

    def running(self) -> int:
        """Returns the number of items in flight."""
        return len(self._running)

    async def _start_items(self, endpoint: Endpoint) -> None:
        state = self._node.router(endpoint.service).find(endpoint.name)
        if state is None or not state.available(self._node.now()):
            return
        capacity_left = self._capacity.capacity(endpoint) - len(
            self._running_on(endpoint.name)
        )
        streams = self._node.settings.batch_streams - len(self._running)
        for _ in range(min(capacity_left, streams)):
            item = self._next_item(endpoint)
            if item is None:
                return
            await self._start(item, endpoint)

    def _next_item(self, endpoint: Endpoint) -> BatchItem | None:
        for chunk in self._batch_state.chunks_in_order():
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
        # A suspect item can only run on the endpoints that this host schedules.
        names = [
            candidate.name
            for candidate in self._capacity.owned_endpoints()
            if candidate.service == endpoint.service
        ]
        chosen = None
        best = (-math.inf, -math.inf)
        look_ahead = self._node.settings.batch_look_ahead
        tracker = self._prefixes.tracker(endpoint.name)
        for item in itertools.islice(chunk.pending, look_ahead):
            # An item that ended endpoints before goes after the others. Of
            # these, prefers the prefix that the engine used last: it is likely
            # still in its cache, which saves work.
            used_at = tracker.used_at(item.prefix, now) or 0
            rank = (-self._suspects.count_failures(item.name), used_at)
            if rank > best and self._may_run(item, endpoint, names):
                chosen = item
                best = rank
        if chosen is not None:
            chunk.pending.remove(chosen)
            tracker.on_sent(chosen.prefix, now)
        return chosen

    def _may_run(
        self,
        item: BatchItem,
        endpoint: Endpoint,
        names: list[str],
    ) -> bool:
        if item.not_before > self._node.now():
            return False
        if self._batch_state.service_of(item.target) != endpoint.service:
            return False
        return self._suspects.may_start(item.name, endpoint.name, names)

    async def _start(self, item: BatchItem, endpoint: Endpoint) -> None:
        chunk = item.chunk
        chunk.running.add(item.line)
        self._suspects.on_start(item.name, endpoint.name)
        self._batch_state.record_served(chunk.batch.account)
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
            self._on_item_end(item, endpoint, ended=ended)
        await self._wake.set()

    def _on_item_end(
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
            item.started = await item.chunk.record_start(item.line)
            if not item.started:
                await item.chunk.add_unknown_outcome(item.line)
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
        if outcome.endpoint_lost:
            return await self._on_death(item, endpoint)
        return False

    async def _on_death(self, item: BatchItem, endpoint: Endpoint) -> bool:
        crashed = await self._crashes.has_crashed(endpoint)
        failed = self._suspects.on_endpoint_lost(endpoint.name, crashed=crashed)
        pause_s = self._suspects.rerun_pause_s(item.name)
        log_event(
            'item_lost',
            item=item.name,
            endpoint=endpoint.name,
            crashed=crashed,
            pause_s=pause_s,
        )
        item.not_before = self._node.now() + max(RETRY_PAUSE_S, pause_s)
        if item.name not in failed:
            return False
        await self._finish_item(
            item,
            ResultRecord(
                line=item.line,
                state=FAILED,
                status=0,
                body='connections were lost while the item ran',
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

    def _running_on(self, engine: str) -> list[_Running]:
        return [
            entry
            for entry in self._running.values()
            if entry.endpoint.name == engine
        ]
