"""Runs the items of open batches while this host is the active runner."""

import time
from collections.abc import Awaitable, Callable

import curio
from jacinthmount.admissions import BatchAdmissions
from jacinthmount.batch_order import ItemRun
from jacinthmount.errors import MalformedRecord
from jacinthmount.item_batches import BATCH_PREFIX, ItemBatch
from jacinthmount.ports import Stored
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.records import parse_json

from jacinthmount_node.logs import log_event
from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.batch_cleanup import run_cleanup
from jacinthmount_node.relay.batch_jobs import (
    BatchJob,
    list_finished,
    list_unfinished,
)
from jacinthmount_node.relay.batch_loading import load_runs
from jacinthmount_node.relay.config_view import ConfigView
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.item_runs import ItemRunner, RunEnd
from jacinthmount_node.relay.messages import BatchAdmission, BatchAdmissionReply
from jacinthmount_node.relay.object_watch import ObjectWatch, WatchDelays
from jacinthmount_node.relay.outage_refresh import OutageRefresh
from jacinthmount_node.relay.progress_log import ProgressLog
from jacinthmount_node.relay.result_writer import ResultWriter
from jacinthmount_node.relay.run_scheduler import RunScheduler
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.store_check import StoreCheck

__all__ = ('RelayBatchRunner',)

CHECK_INTERVAL_S = 0.1
# After this long without another active runner, no other runner has writes in
# flight.
NO_CONTENDER_S = 2.0
# Time for which new batches are collected into one answer of the store.
COALESCE_S = 0.25
STANDBY_COALESCE_S = 1.5
# Longest wait of a watch call of the active runner. An ended batch has to stop
# within 3 s, also if a call is lost.
ACTIVE_WAIT_S = 1.0
MS = 1000
# Less than another runner needs to take over and write.
STORE_ANSWER_VALID_S = 1.0
# Allows for clock differences between hosts.
CLOCK_MARGIN_MS = 5000


class RelayBatchRunner:
    """Loads open batches, runs their items and writes their results.

    :param announce: notifies other hosts that this runner became active.
    :param copies: keeps results written here for readers.
    """

    __slots__ = (
        '_admissions',
        '_no_contender_since',
        '_announce',
        '_config_view',
        '_copies',
        '_jobs',
        '_outage_refresh',
        '_progress',
        '_connectivity',
        '_capacity',
        '_scheduler',
        '_state',
        '_store_check',
        '_watch',
        '_writer',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        rooms: RunnerCapacity,
        item_runner: ItemRunner,
        copies: RecentObjects,
        connectivity: HostConnectivity,
        config_view: ConfigView,
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        self._config_view = config_view
        self._copies = copies
        self._announce = announce
        self._connectivity = connectivity
        self._store_check = StoreCheck(state=state, connectivity=connectivity)
        self._state = state
        self._capacity = rooms
        self._jobs: dict[str, BatchJob] = {}
        # Clock time since which no other runner is known to be active.
        self._no_contender_since = state.now()
        self._admissions = BatchAdmissions()
        self._scheduler = RunScheduler(
            state=state,
            rooms=rooms,
            item_runner=item_runner,
            find_service=self._find_service,
            on_end=self._on_end,
        )
        self._writer = ResultWriter(
            state=state,
            connectivity=connectivity,
            copies=copies,
            is_open=lambda job: self._jobs.get(job.key) is job,
            on_complete=self._on_complete,
        )
        self._progress = ProgressLog(
            store=state.store,
            host=state.host,
            find_runs=lambda: list_unfinished(self._jobs.values()),
            find_finished=lambda: list_finished(self._jobs.values()),
        )
        self._watch = ObjectWatch(
            store=state.store,
            prefix=BATCH_PREFIX,
            on_change=self._on_manifests,
            rng=state.rng,
            make_delays=lambda: _make_delays(state),
        )
        self._outage_refresh = OutageRefresh(
            watch=self._watch,
            is_unavailable=connectivity.is_store_unavailable,
        )

    async def run(self) -> None:
        """Works until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._watch.run)
            await group.spawn(self._outage_refresh.run)
            await group.spawn(self._run_checks)
            await group.spawn(self._scheduler.run)
            await group.spawn(self._progress.run)
            await group.spawn(
                run_cleanup,
                self._state,
                self._watch,
            )

    async def stop(self) -> None:
        """Ends all runs, writes pending results and stays inactive."""
        self._scheduler.stopped = True
        await self._scheduler.clear()
        if list_unfinished(self._jobs.values()):
            await self._progress.write()
        for job in list(self._jobs.values()):
            await self._writer.write_once(job)

    @property
    def stopped(self) -> bool:
        """Whether this runner accepts no more work."""
        return self._scheduler.stopped

    async def on_load_change(self) -> None:
        """Signals that the load of the endpoints has changed."""
        await self._scheduler.signal_load_change()

    def admit(self, request: BatchAdmission) -> BatchAdmissionReply:
        """Checks a batch against the waiting-token cap of its account."""
        if request.key in self._jobs:
            return BatchAdmissionReply(fits=True, known=True)
        waiting = sum(
            job.waiting_tokens()
            for job in self._jobs.values()
            if job.manifest.account == request.account
            and job.manifest.route == request.route
        )
        fits = self._admissions.admit(
            request.key,
            f'{request.account}/{request.route}',
            tokens=request.tokens,
            waiting=waiting,
            cap=request.cap,
            now=self._state.now(),
        )
        return BatchAdmissionReply(fits=fits, known=False)

    @property
    def has_all_manifests(self) -> bool:
        """Whether all manifests were read and the watch on them works."""
        return bool(self._watch.revision) and not self._watch.in_outage

    def find_copy(self, name: str) -> Stored | None:
        """Finds the copy of a manifest or of a segment written here."""
        found = self._watch.find(name)
        return found or self._copies.find(name)

    def open_segments(self) -> dict[str, int]:
        """Counts the result segments of the batches that are not complete.

        It is empty unless the store answered this host recently, since an
        isolated runner does not know what its successor has written. Batches
        whose log may lack a segment are left out.
        """
        if self._connectivity.store_contact_age_s() > STORE_ANSWER_VALID_S:
            return {}
        return {
            job.key: job.log.next_index
            for job in self._jobs.values()
            if job.ready and not job.log.complete and job.is_log_current
        }

    def mark_logs_shared(self) -> None:
        """Marks all logs as possibly written by another runner."""
        self._no_contender_since = self._state.now()
        for job in self._jobs.values():
            job.is_shared = True

    async def _on_manifests(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        if self._state.leadership.active:
            for stored in changed:
                await self._apply_manifest(stored)

    async def _apply_manifest(self, stored: Stored) -> None:
        key = stored.name.removeprefix(BATCH_PREFIX)
        if stored.body is None:
            await self._drop(key)
            return
        try:
            manifest = parse_json(ItemBatch, stored.body)
        except MalformedRecord as exc:
            log_event('bad_object', name=stored.name, detail=exc.detail)
            return
        if manifest.ended:
            await self._drop(key)
        elif key not in self._jobs:
            job = BatchJob(key=key, manifest=manifest, revision=stored.version)
            elapsed_s = self._state.now() - self._no_contender_since
            # Another runner may have run items of it and still write results.
            job.is_shared = elapsed_s < NO_CONTENDER_S
            self._jobs[key] = job
            self._admissions.settle(key)
            await curio.spawn(self._load, job, daemon=True)

    async def _load(self, job: BatchJob) -> None:
        runs = await load_runs(
            self._state, job, lambda: self._jobs.get(job.key) is job
        )
        if self._jobs.get(job.key) is not job:
            return
        due_in_s = job.manifest.due_at_ms / MS - time.time()
        adopted = self._progress.adopt(job.key, job.runs)
        for run in runs:
            if run.is_finished:
                await self._finish(job, run, completed=True)
            else:
                self._scheduler.add(run)
        log_event(
            'batch_open',
            batch=job.manifest.batch_id,
            items=len(job.runs),
            adopted_events=adopted,
            due_in_s=round(due_in_s, 2),
        )
        await self._scheduler.pump()

    async def _drop(self, key: str) -> None:
        job = self._jobs.pop(key, None)
        if job is None:
            return
        for run in list(job.runs.values()):
            await self._scheduler.remove(run)
        log_event('batch_closed', batch=job.manifest.batch_id)

    def _find_service(self, run: ItemRun) -> str | None:
        job = self._jobs.get(run.batch)
        if job is None or not self._state.configured:
            return None
        route = self._state.config.find_route_named(job.manifest.route)
        if route is None:
            return None
        names = {one.service for one in route.services}
        if run.origin is not None and run.origin.service in names:
            return run.origin.service
        return route.pick_service(self._state.rng)

    async def _on_end(self, run: ItemRun, outcome: RunEnd) -> None:
        job = self._jobs.get(run.batch)
        # Ignores runs from before this host last became the active runner.
        if job is None or job.runs.get(run.item_id) is not run:
            return
        if outcome is RunEnd.FAILED:
            run.failures += 1
        is_final_failure = outcome is RunEnd.IMPOSSIBLE or (
            run.failures >= max(1, job.manifest.max_attempts)
        )
        if outcome is RunEnd.COMPLETED or is_final_failure:
            self._log_end(run, completed=not is_final_failure)
            await self._finish(job, run, completed=not is_final_failure)
        else:
            self._scheduler.add(run)

    def _log_end(self, run: ItemRun, *, completed: bool) -> None:
        now = self._state.now()
        state = 'completed' if completed else 'failed'
        self._state.metrics.batch_items.labels(run.account, state).inc()
        log_event(
            'item_done',
            item=run.item_id,
            batch=run.batch_id,
            completed=completed,
            endpoint=run.endpoint_id,
            starts=run.starts,
            failures=run.failures,
            last_run_s=round(now - run.started_at, 2),
            slack_s=round(run.due_at - now, 2),
        )

    async def _finish(
        self,
        job: BatchJob,
        run: ItemRun,
        *,
        completed: bool,
    ) -> None:
        job.finish(run, completed=completed)
        await self._writer.begin(job)

    async def _on_complete(self, job: BatchJob) -> None:
        for run in list(job.runs.values()):
            await self._scheduler.remove(run)
        job.runs.clear()
        log_event('batch_done', batch=job.manifest.batch_id)

    async def _fence_logs(self) -> None:
        # By then another active runner would have been detected.
        if self._state.now() - self._no_contender_since >= NO_CONTENDER_S:
            await self._writer.fence(list(self._jobs.values()))

    async def _run_checks(self) -> None:
        leadership = self._state.leadership
        was_active = False
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            reachable = not (self._watch.in_outage or self.stopped)
            await self._store_check.update(reached=reachable)
            leadership.endpoints_reached = not self._state.reach.isolated
            active = leadership.decide(self._state.now())
            if active is not was_active:
                log_event('runner', active=active)
                await self._on_role(active=active)
            was_active = active
            self._capacity.refresh()
            if active:
                superseded = self._connectivity.is_superseded()
                if superseded or leadership.may_share_logs(self._state.now()):
                    self.mark_logs_shared()
                await self._scheduler.pause(paused=superseded)
                await self._scheduler.stop_stalled()
                await self._fence_logs()
                await self._fail_unservable()
                await self._scheduler.on_load_change()

    async def _on_role(self, *, active: bool) -> None:
        if active:
            self._capacity.delay_batch()
            await self._announce()
            # The watch of a standby may be behind, and its call waits longer.
            await self._watch.end_call()
            await self._watch.refresh()
            await self._progress.read()
            self.mark_logs_shared()
            for stored in self._watch.objects():
                await self._apply_manifest(stored)
            return
        await self._scheduler.clear()
        self._jobs.clear()

    async def _fail_unservable(self) -> None:
        now_ms = time.time() * MS
        for job in list(self._jobs.values()):
            expired = now_ms > job.manifest.keep_until_ms + CLOCK_MARGIN_MS
            if expired or await self._config_view.is_route_removed(
                job.manifest.route, job.revision
            ):
                await self._give_up(job, expired=expired)

    async def _give_up(self, job: BatchJob, *, expired: bool) -> None:
        for run in list(job.runs.values()):
            log_event(
                'item_given_up',
                item=run.item_id,
                batch=run.batch_id,
                expired=expired,
                route=job.manifest.route,
                batch_revision=job.revision,
                config_revision=self._state.config_revision,
            )
            await self._scheduler.remove(run)
            await self._finish(job, run, completed=False)


def _make_delays(state: RelayState) -> WatchDelays:
    if state.leadership.active:
        return WatchDelays(coalesce_s=COALESCE_S, wait_s=ACTIVE_WAIT_S)
    return WatchDelays(coalesce_s=STANDBY_COALESCE_S)
