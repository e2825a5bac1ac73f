"""Schedules batch items on endpoint slots that online requests leave free."""

from collections.abc import Awaitable, Callable, Iterator

import curio
from jacinthmount.batch_capacity import may_use_any_slot
from jacinthmount.batch_order import ItemRun, choose_preempted, order_waiting
from jacinthmount.placement import EndpointUse
from jacinthmount.run_forecast import RunForecast
from jacinthmount.stream_origins import StreamOrigin

from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.relay.item_runs import ItemRunner, RunEnd
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunScheduler',)

# A run without an event for this long is stopped.
STALL_TIMEOUT_S = 2.5
LOAD_CHANGE_INTERVAL_S = 0.005
# An item that has begun waits at least so long for an endpoint of its version.
MIN_VERSION_WAIT_S = 1.0
# Pause after a run that ended by an unexpected error, before the next one.
FAILED_RUN_PAUSE_S = 1.0

FindService = Callable[[ItemRun], str | None]
OnEnd = Callable[[ItemRun, RunEnd], Awaitable[None]]


class RunScheduler:
    """Starts, preempts and stops the items of the active runner.

    :param find_service: returns the service of an item, or None if it may
        not run.
    :param on_end: called after each run, including cancelled ones.
    """

    __slots__ = (
        '_find_service',
        '_forecast',
        '_item_runner',
        '_load_changed',
        '_on_end',
        '_capacity',
        '_state',
        '_tasks',
        '_waiting',
        'paused',
        'stopped',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        rooms: RunnerCapacity,
        item_runner: ItemRunner,
        find_service: FindService,
        on_end: OnEnd,
    ) -> None:
        self._state = state
        self._capacity = rooms
        self._item_runner = item_runner
        self._find_service = find_service
        self._on_end = on_end
        self._forecast = RunForecast()
        self._waiting: dict[str, ItemRun] = {}
        self._tasks: dict[str, curio.Task] = {}
        self._load_changed = curio.Event()
        self.paused = False
        self.stopped = False

    async def run(self) -> None:
        """Reacts to load changes until cancelled."""
        while True:
            await self._load_changed.wait()
            self._load_changed.clear()
            if self._state.leadership.active:
                await self.on_load_change()
            # Reports that arrive in this interval are handled together.
            await curio.sleep(LOAD_CHANGE_INTERVAL_S)

    async def signal_load_change(self) -> None:
        """Signals that the load of the endpoints has changed."""
        await self._load_changed.set()

    def add(self, run: ItemRun) -> None:
        """Adds an item to the waiting ones."""
        run.waiting_since = self._state.now()
        self._waiting[run.item_id] = run

    async def remove(self, run: ItemRun) -> None:
        """Removes an item, and cancels its run if there is one."""
        self._waiting.pop(run.item_id, None)
        task = self._tasks.get(run.item_id)
        if task is not None:
            await task.cancel(blocking=False)

    async def pause(self, *, paused: bool) -> None:
        """Pauses or resumes all items; received events are kept."""
        if paused is self.paused:
            return
        self.paused = paused
        log_event('batch_paused', paused=paused, running=len(self._tasks))
        if paused:
            await self._cancel_all()
        else:
            await self.pump()

    async def clear(self) -> None:
        """Stops all items."""
        self._waiting.clear()
        await self._cancel_all()

    async def on_load_change(self) -> None:
        """Preempts items for online requests and uses free slots."""
        for entry in self._state.endpoints.entries():
            excess = self._capacity.excess(entry.endpoint_id)
            if excess:
                await self._preempt(entry.endpoint_id, excess)
        await self.pump()

    async def pump(self) -> None:
        """Starts waiting items on endpoints with free capacity."""
        if not self._waiting or self.stopped or self.paused:
            return
        now = self._state.now()
        open_ids = {
            entry.endpoint_id
            for entry in self._state.endpoints.entries()
            if not entry.leaving and self._capacity.free(entry.endpoint_id) > 0
        }
        if not open_ids:
            return
        for run, service in self._iter_startable(now):
            self._drop_stranded(run, service)
            use = self._choose_endpoint(run, service, open_ids, now)
            if use is None:
                continue
            await self._start(run, use)
            if self._capacity.free(run.endpoint_id) <= 0:
                open_ids.discard(run.endpoint_id)
            if not open_ids:
                return

    async def stop_stalled(self) -> None:
        """Stops runs without recent events; they resume on other endpoints."""
        now = self._state.now()
        for entry in self._state.endpoints.entries():
            for run in self._capacity.running(entry.endpoint_id):
                if now - run.last_seen_at > STALL_TIMEOUT_S:
                    await self._stop_stalled(run, now)

    def _iter_startable(self, now: float) -> Iterator[tuple[ItemRun, str]]:
        """Yields the items that may start now, with their services."""
        spare: dict[str, int] = {}
        ordered = order_waiting(
            self._waiting.values(),
            self._capacity.all_running(),
            self._capacity.mean_capacity(),
            self._forecast.remaining_s,
            now,
        )
        for run in ordered:
            service = self._find_service(run)
            if service is None or self._item_runner.is_blocked(run, service):
                continue
            if service not in spare:
                spare[service] = self._capacity.spare(service)
            if spare[service] > 0 or may_use_any_slot(run.waiting_since, now):
                spare[service] -= 1
                yield run, service

    async def _cancel_all(self) -> None:
        for task in list(self._tasks.values()):
            await task.cancel(blocking=False)

    async def _stop_stalled(self, run: ItemRun, now: float) -> None:
        log_event(
            'item_stalled',
            item=run.item_id,
            batch=run.batch_id,
            endpoint=run.endpoint_id,
        )
        use = self._state.find_endpoint_use(run.endpoint_id)
        if use is not None:
            use.on_failure(now)
        task = self._tasks.get(run.item_id)
        if task is not None:
            await task.cancel(blocking=False)

    def _drop_stranded(self, run: ItemRun, service: str) -> None:
        """Begins an item anew if no endpoint may go on with its events."""
        origin = run.origin
        if origin is None:
            return
        placement = self._state.placement(service)
        may_go_on = (
            origin.service == service
            and placement.has_version(origin.version)
            and self._state.versions.is_certain(origin, run.began_at)
        )
        if not may_go_on:
            self._begin_anew(run, origin)

    def _begin_anew(self, run: ItemRun, origin: StreamOrigin) -> None:
        log_event(
            'item_begins_anew',
            item=run.item_id,
            batch=run.batch_id,
            version=origin.version,
            events=len(run.texts),
        )
        run.begin_anew()

    def _has_waited_enough(self, run: ItemRun, now: float) -> bool:
        # A longer wait costs more than the events received so far.
        wait_s = max(MIN_VERSION_WAIT_S, self._forecast.received_s(run))
        return now > run.waiting_since + wait_s

    def _choose_endpoint(
        self,
        run: ItemRun,
        service: str,
        open_ids: set[str],
        now: float,
    ) -> EndpointUse | None:
        placement = self._state.placement(service)
        uses = [
            use
            for use in placement.uses()
            if use.entry.endpoint_id in open_ids
            and placement.is_available(use, now)
            and use.limit.may_send_item(now)
        ]
        origin = run.origin
        if origin is not None:
            own = [use for use in uses if use.entry.version == origin.version]
            if uses and not own and self._has_waited_enough(run, now):
                # It is owed, and other versions have slots.
                self._begin_anew(run, origin)
                own = uses
            uses = own
        if not uses:
            return None
        return max(
            uses,
            key=lambda use: (
                use.entry.endpoint_id not in run.avoided,
                not use.limit.is_named,
                self._capacity.free(use.entry.endpoint_id),
                self._state.centres.is_own(use.entry.data_centre),
            ),
        )

    async def _start(self, run: ItemRun, use: EndpointUse) -> None:
        now = self._state.now()
        self._waiting.pop(run.item_id, None)
        run.endpoint_id = use.entry.endpoint_id
        run.service = use.entry.service
        run.started_at = now
        run.starts += 1
        run.last_seen_at = now
        self._capacity.begin(run)
        use.on_paced(now)
        log_event(
            'item_started',
            item=run.item_id,
            batch=run.batch_id,
            endpoint=run.endpoint_id,
            start=run.starts,
            events=len(run.texts),
            waiting=len(self._waiting),
            slack_s=round(run.due_at - now, 2),
        )
        self._tasks[run.item_id] = await curio.spawn(
            self._run_item,
            run,
            use,
            daemon=True,
        )

    async def _run_item(self, run: ItemRun, use: EndpointUse) -> None:
        outcome = RunEnd.LOST
        events_before = len(run.texts)
        try:
            outcome = await self._item_runner.run(run, use)
        except curio.CancelledError:
            # Preempted, stalled or removed; the received events are kept.
            outcome = RunEnd.LOST
        except Exception as exc:
            log_failure(f'item {run.item_id}', exc)
            await curio.sleep(FAILED_RUN_PAUSE_S)
        self._capacity.end(run)
        self._record_pace(run, events_before, outcome)
        if self._tasks.get(run.item_id) is await curio.current_task():
            self._tasks.pop(run.item_id)
        await self._on_end(run, outcome)
        await self.pump()

    def _record_pace(
        self, run: ItemRun, events_before: int, outcome: RunEnd
    ) -> None:
        took_s = run.last_seen_at - run.started_at
        self._forecast.note_event_time(
            run, len(run.texts) - events_before, took_s
        )
        if outcome is RunEnd.COMPLETED:
            self._forecast.note_event_count(run)

    async def _preempt(self, endpoint_id: str, count: int) -> None:
        runs = self._capacity.running(endpoint_id)
        preempted = choose_preempted(
            runs,
            count,
            self._forecast.remaining_s,
            self._state.now(),
        )
        for run in preempted:
            task = self._tasks.get(run.item_id)
            if task is None:
                continue
            self._state.metrics.batch_preempted.labels(run.service).inc()
            log_event(
                'item_gave_way',
                item=run.item_id,
                batch=run.batch_id,
                endpoint=endpoint_id,
                events=len(run.texts),
                online=self._capacity.online(endpoint_id),
                ran_s=round(self._state.now() - run.started_at, 3),
            )
            # Frees the slot at once, before the task has ended.
            self._capacity.end(run)
            await task.cancel(blocking=False)
