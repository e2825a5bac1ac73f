"""Open batches and their results while this host is the active runner."""

import time
from collections.abc import Awaitable, Callable

import curio
from jacinthmount.admissions import BatchAdmissions
from jacinthmount.batch_order import ItemRun
from jacinthmount.errors import MalformedRecord, StoreUnavailable
from jacinthmount.item_batches import BATCH_PREFIX, ItemBatch
from jacinthmount.ports import Stored
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.records import parse_json

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.batch_cleanup import run_cleanup
from jacinthmount_node.relay.batch_jobs import (
    BatchJob,
    list_unfinished,
    read_open_items,
)
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.item_runs import ItemRunner, RunEnd
from jacinthmount_node.relay.messages import (
    BatchAdmission,
    BatchAdmissionReply,
)
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.progress_log import ProgressLog
from jacinthmount_node.relay.result_writer import ResultWriter
from jacinthmount_node.relay.run_scheduler import RunScheduler
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.store_check import StoreCheck

__all__ = ('RelayBatchRunner',)

CHECK_S = 0.1
ALONE_S = 2.0
LOAD_RETRY_S = 0.3
MS = 1000
# Less than it takes another runner to take over and write.
STORE_ANSWER_VALID_S = 1.0
CLOCK_MARGIN_MS = 5000


class RelayBatchRunner:
    """Jobs of open batches, their runs and their results."""

    __slots__ = (
        '_admissions',
        '_alone_since',
        '_announce',
        '_copies',
        '_jobs',
        '_progress',
        '_connectivity',
        '_rooms',
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
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        """Starts without jobs.

        :param announce: tells other hosts that this runner became active.
        :param copies: where results written here are kept for readers.
        """
        self._copies = copies
        self._announce = announce
        self._connectivity = connectivity
        self._store_check = StoreCheck(state=state, connectivity=connectivity)
        self._state = state
        self._rooms = rooms
        self._jobs: dict[str, BatchJob] = {}
        # Since when no other runner is known to be active.
        self._alone_since = state.now()
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
        )
        self._watch = ObjectWatch(
            store=state.store,
            prefix=BATCH_PREFIX,
            on_change=self._on_manifests,
            rng=state.rng,
        )

    async def run(self) -> None:
        """Works until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._watch.run)
            await group.spawn(self._run_checks)
            await group.spawn(self._scheduler.run)
            await group.spawn(self._progress.run)
            await group.spawn(
                run_cleanup,
                self._state,
                self._watch,
            )

    async def stop(self) -> None:
        """Ends all runs, writes the results at hand and stays inactive."""
        self._scheduler.stopped = True
        await self._scheduler.clear()
        if list_unfinished(self._jobs.values()):
            await self._progress.write()
        for job in list(self._jobs.values()):
            await self._writer.write_once(job)

    @property
    def stopped(self) -> bool:
        """Tells whether this runner takes no more work."""
        return self._scheduler.stopped

    async def on_load_change(self) -> None:
        """Notes that the load of the endpoints has changed."""
        await self._scheduler.note_load_change()

    def admit(self, asked: BatchAdmission) -> BatchAdmissionReply:
        """Tells whether a batch fits the waiting tokens of its account."""
        if asked.key in self._jobs:
            return BatchAdmissionReply(fits=True, known=True)
        waiting = sum(
            job.waiting_tokens()
            for job in self._jobs.values()
            if job.manifest.account == asked.account
            and job.manifest.route == asked.route
        )
        fits = self._admissions.admit(
            asked.key,
            f'{asked.account}/{asked.route}',
            tokens=asked.tokens,
            waiting=waiting,
            cap=asked.cap,
            now=self._state.now(),
        )
        return BatchAdmissionReply(fits=fits, known=False)

    @property
    def has_all_manifests(self) -> bool:
        """Tells whether all manifests were read and are followed."""
        return bool(self._watch.revision) and not self._watch.in_outage

    def find_copy(self, name: str) -> Stored | None:
        """Finds the copy of a manifest or of a segment written here."""
        found = self._watch.find(name)
        return found or self._copies.find(name)

    def open_segments(self) -> dict[str, int]:
        """Counts the result segments of the batches that are not complete.

        Nothing is said unless the store answered this host lately: a runner
        that is cut off does not know what its successor has written. Nor is
        anything said of a batch whose log may lack a segment.
        """
        if self._connectivity.store_contact_age_s() > STORE_ANSWER_VALID_S:
            return {}
        return {
            job.key: job.log.next_index
            for job in self._jobs.values()
            if job.ready and not job.log.complete and job.knows_log
        }

    def doubt_logs(self) -> None:
        """Notes that another runner may write results as well."""
        self._alone_since = self._state.now()
        for job in self._jobs.values():
            job.is_shared = True

    async def _on_manifests(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        if self._state.leadership.active:
            for one in changed:
                await self._take_manifest(one)

    async def _take_manifest(self, one: Stored) -> None:
        key = one.name.removeprefix(BATCH_PREFIX)
        if one.body is None:
            await self._drop(key)
            return
        try:
            manifest = parse_json(ItemBatch, one.body)
        except MalformedRecord as exc:
            log_event('bad_object', name=one.name, detail=exc.detail)
            return
        if manifest.ended:
            await self._drop(key)
        elif key not in self._jobs:
            job = BatchJob(key=key, manifest=manifest)
            alone_s = self._state.now() - self._alone_since
            # Others may have worked on it and still write.
            job.is_shared = alone_s < ALONE_S
            self._jobs[key] = job
            self._admissions.settle(key)
            await curio.spawn(self._load, job, daemon=True)

    async def _load(self, job: BatchJob) -> None:
        items = None
        while items is None and self._jobs.get(job.key) is job:
            try:
                items = await read_open_items(self._state.store, job)
            except StoreUnavailable as exc:
                log_event(
                    'batch_unread',
                    batch=job.manifest.batch_id,
                    detail=exc.detail,
                )
                await curio.sleep(LOAD_RETRY_S)
            except MalformedRecord as exc:
                log_event(
                    'bad_batch', batch=job.manifest.batch_id, detail=exc.detail
                )
                return
        if items is None or self._jobs.get(job.key) is not job:
            return
        due_in_s = job.manifest.due_at_ms / MS - time.time()
        runs = job.fill(items, self._state.now() + due_in_s)
        adopted = self._progress.adopt(job.key, job.runs)
        for run in runs:
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
        return route.pick_service(self._state.rng) if route else None

    async def _on_end(self, run: ItemRun, outcome: RunEnd) -> None:
        job = self._jobs.get(run.batch)
        # A run of an earlier time as the active runner counts no more.
        if job is None or job.runs.get(run.item_id) is not run:
            return
        if outcome is RunEnd.FAILED:
            run.failures += 1
        hopeless = outcome is RunEnd.IMPOSSIBLE or (
            run.failures >= max(1, job.manifest.max_attempts)
        )
        if outcome is RunEnd.COMPLETED or hopeless:
            self._log_end(run, completed=not hopeless)
            await self._finish(job, run, completed=not hopeless)
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
        # By then a rival would have been heard of.
        if self._state.now() - self._alone_since >= ALONE_S:
            await self._writer.fence(list(self._jobs.values()))

    async def _run_checks(self) -> None:
        leadership = self._state.leadership
        was_active = False
        while True:
            await curio.sleep(CHECK_S)
            reached = not (self._watch.in_outage or self.stopped)
            await self._store_check.note(reached=reached)
            active = leadership.decide(self._state.now())
            if active is not was_active:
                log_event('runner', active=active)
                await self._on_role(active=active)
            was_active = active
            self._rooms.refresh()
            if active:
                replaced = self._connectivity.is_replaced()
                if replaced or leadership.has_contender(self._state.now()):
                    self.doubt_logs()
                await self._scheduler.pause(paused=replaced)
                await self._scheduler.stop_stalled()
                await self._fence_logs()
                await self._give_up()
                await self._scheduler.on_load_change()

    async def _on_role(self, *, active: bool) -> None:
        if active:
            self._rooms.settle()
            await self._announce()
            await self._progress.read()
            self.doubt_logs()
            for one in self._watch.objects():
                await self._take_manifest(one)
            return
        await self._scheduler.clear()
        self._jobs.clear()

    async def _give_up(self) -> None:
        now_ms = time.time() * MS
        for job in list(self._jobs.values()):
            late = now_ms > job.manifest.keep_until_ms + CLOCK_MARGIN_MS
            if not late and not self._route_gone(job):
                continue
            for run in list(job.runs.values()):
                log_event(
                    'item_given_up',
                    item=run.item_id,
                    batch=run.batch_id,
                )
                await self._scheduler.remove(run)
                await self._finish(job, run, completed=False)

    def _route_gone(self, job: BatchJob) -> bool:
        if not self._state.configured:
            return False
        found = self._state.config.find_route_named(job.manifest.route)
        return found is None
