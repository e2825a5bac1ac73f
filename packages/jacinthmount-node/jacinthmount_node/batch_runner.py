"""Batch work of one host: claims, room on engines, preemption, completion."""

import contextlib
import time

import curio
from jacinthmount.batches import (
    BATCH_COMPLETED,
    BATCH_OPEN,
    BATCH_PREFIX,
    BatchManifest,
    batch_name,
    ended_name,
    order_batches,
)
from jacinthmount.claims import (
    BeatWatch,
    Claim,
    beat_name,
    claim_name,
    may_claim,
    next_claim,
)
from jacinthmount.declarations import Account, Endpoint, Route
from jacinthmount.errors import (
    EndpointFailed,
    JacinthmountError,
    NotFound,
    StoreConflict,
    StoreUnavailable,
    shorten,
)
from jacinthmount.files import ROUTE_URL_PREFIX
from jacinthmount.members import rank_hosts
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.results import FAILED, ResultRecord
from jacinthmount.stores import new_write_id, write_definitely
from jacinthmount.suspects import SuspectBook

from jacinthmount_node.batch_chunks import BatchItem, ChunkRun
from jacinthmount_node.batch_items import run_item
from jacinthmount_node.config_sync import ConfigSync
from jacinthmount_node.engine_rooms import EngineRooms
from jacinthmount_node.files_api import FileDesk
from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.node import Node

__all__ = ('BatchRunner',)

CLAIM_INTERVAL_S = 0.5
FEED_INTERVAL_S = 0.05
MAX_CHUNKS = 8
PENDING_PER_STREAM = 2
RETRY_PAUSE_S = 0.5
ARCHIVE_AFTER_S = 30.0
SERVED_HALF_LIFE_S = 30.0
PASSED_PAUSE_S = 10.0


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


class BatchRunner:
    """Claims chunks and runs their items where engines have room."""

    __slots__ = (
        '_beats',
        '_chunks',
        '_files',
        '_node',
        '_passed',
        '_rooms',
        '_running',
        '_served',
        '_stopping',
        '_suspects',
        '_sync',
        '_wake',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineRooms,
        files: FileDesk,
        sync: ConfigSync,
    ) -> None:
        """Starts with nothing claimed."""
        self._node = node
        self._rooms = rooms
        self._files = files
        self._sync = sync
        self._beats = BeatWatch()
        self._suspects = SuspectBook()
        self._chunks: dict[str, ChunkRun] = {}
        self._running: dict[str, _Running] = {}
        self._served: dict[str, float] = {}
        self._passed: dict[str, float] = {}
        self._wake = curio.Event()
        self._stopping = False
        rooms.on_room_change = self.on_room_change

    async def run(self) -> None:
        """Works until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_claims)
            await group.spawn(self._run_feed)
            await group.spawn(self._run_archive)

    async def on_room_change(self, engine: str) -> None:
        """Cancels batch streams that online requests need the room of."""
        endpoint = self._node.catalogue.find(Endpoint, engine)
        running = self._on_engine(engine)
        if endpoint is None or not running:
            return
        profile = self._node.catalogue.profile_of(endpoint.service)
        if profile is None or not profile.idempotent:
            # Stopping an item that may not be repeated would lose it.
            return
        excess = len(running) - self._rooms.room(endpoint)
        if excess <= 0:
            return
        newest = sorted(running, key=lambda one: one.started_at, reverse=True)
        for one in newest[:excess]:
            self._node.metrics.batch_preempted.labels(endpoint.service).inc()
            await one.task.cancel(blocking=False)

    async def on_config(self, changed: list[Stored]) -> None:
        """Stops the chunks of batches that are no longer open."""
        if not any(one.name.startswith(BATCH_PREFIX) for one in changed):
            return
        is_open = {batch.batch_id for batch in self._open_batches()}
        for chunk in list(self._chunks.values()):
            if chunk.batch.batch_id not in is_open:
                await self._stop_chunk(chunk)

    async def leave(self) -> None:
        """Lets running items end, writes results and frees claims."""
        self._stopping = True
        for chunk in list(self._chunks.values()):
            chunk.pending.clear()
        while self._running:
            await curio.sleep(FEED_INTERVAL_S)
        for chunk in list(self._chunks.values()):
            await chunk.stop()
            try:
                await chunk.release()
            except (StoreConflict, StoreUnavailable) as exc:
                log_event('claim_kept', chunk=chunk.name, detail=exc.detail)

    def claimed(self) -> int:
        """Counts the chunks claimed by this host."""
        return len(self._chunks)

    def running(self) -> int:
        """Counts the items in flight."""
        return len(self._running)

    async def _stop_chunk(self, chunk: ChunkRun) -> None:
        chunk.pending.clear()
        for one in list(self._running.values()):
            if one.item.chunk is chunk:
                await one.task.cancel(blocking=False)
        await curio.spawn(chunk.stop, daemon=True)

    def _open_batches(self) -> list[BatchManifest]:
        manifests = [
            parse_json(BatchManifest, one.body or '')
            for one in self._node.table.iter_prefix(BATCH_PREFIX)
        ]
        return [batch for batch in manifests if batch.state == BATCH_OPEN]

    async def _run_claims(self) -> None:
        while True:
            await curio.sleep(CLAIM_INTERVAL_S)
            decay = 0.5 ** (CLAIM_INTERVAL_S / SERVED_HALF_LIFE_S)
            for account in self._served:
                self._served[account] *= decay
            try:
                await self._claim_more()
            except (StoreUnavailable, StoreConflict):
                continue
            except JacinthmountError as exc:
                log_failure('claims', exc)

    async def _claim_more(self) -> None:
        await self._release_idle()
        if self._stopping or not self._wants_chunks():
            return
        batches = order_batches(self._open_batches(), self._served, time.time())
        for batch in batches:
            if not self._runs_here(batch.targets):
                continue
            await self._claim_from(batch)
            if not self._wants_chunks():
                return

    async def _release_idle(self) -> None:
        # The rest of these chunks is for engines that other hosts decide on.
        for run in list(self._chunks.values()):
            targets = [item.target for item in run.pending]
            if targets and not run.running and not self._runs_here(targets):
                self._passed[run.name] = self._node.now()
                await run.stop()
                await self._release(run)

    def _wants_chunks(self) -> bool:
        pending = sum(len(chunk.pending) for chunk in self._chunks.values())
        streams = self._node.settings.batch_streams
        slots = sum(one.slots for one in self._rooms.decided_here())
        if not slots or len(self._chunks) >= MAX_CHUNKS:
            return False
        return pending < PENDING_PER_STREAM * min(streams, slots)

    async def _claim_from(self, batch: BatchManifest) -> None:
        node = self._node
        node.metrics.platform_calls.labels('list').inc()
        listing = await node.store.list_names(f'claims/{batch.batch_id}/')
        found = {one.name: one for one in listing.objects}
        claims = {
            name: parse_json(Claim, one.body or '')
            for name, one in found.items()
        }
        if sum(claim.done for claim in claims.values()) == batch.chunks:
            await self._complete(batch, list(claims.values()))
            return
        for chunk in self._chunk_order(batch):
            name = claim_name(batch.batch_id, chunk)
            version = found[name].version if name in found else ABSENT
            if await self._try_claim(batch, chunk, claims.get(name), version):
                return

    def _chunk_order(self, batch: BatchManifest) -> list[int]:
        # Hosts start at different chunks, so that they rarely race.
        hosts = sorted(self._node.members) or [self._node.host]
        ranked = rank_hosts(batch.batch_id, hosts)
        place = (
            ranked.index(self._node.host) if (self._node.host in ranked) else 0
        )
        start = place * batch.chunks // len(ranked)
        return [(start + step) % batch.chunks for step in range(batch.chunks)]

    async def _try_claim(
        self,
        batch: BatchManifest,
        chunk: int,
        claim: Claim | None,
        version: int,
    ) -> bool:
        node = self._node
        run_name = f'{batch.batch_id}/{chunk}'
        if run_name in self._chunks:
            return False
        passed_at = self._passed.get(run_name, -PASSED_PAUSE_S)
        if node.now() - passed_at < PASSED_PAUSE_S:
            return False
        expired = await self._holder_expired(claim)
        if not may_claim(claim, node.host, node.incarnation, expired=expired):
            return False
        fresh = next_claim(claim, node.host, node.incarnation, new_write_id())
        name = claim_name(batch.batch_id, chunk)
        written = await write_definitely(
            node.store,
            name,
            serialize_json(fresh),
            version,
        )
        run = ChunkRun(
            node=node,
            batch=batch,
            chunk=chunk,
            claim=fresh,
            claim_version=written,
        )
        self._chunks[run.name] = run
        await curio.spawn(self._run_chunk, run, daemon=True)
        return True

    async def _holder_expired(self, claim: Claim | None) -> bool:
        if claim is None or claim.done or claim.holder == self._node.host:
            return False
        if not claim.holder:
            return True
        beat = await self._node.store.read(beat_name(claim.holder))
        now = self._node.now()
        version = beat.version if beat else ABSENT
        self._beats.on_beat(claim.holder, version, now)
        restarted = beat is not None and claim.incarnation not in (
            beat.body or ''
        )
        return restarted or self._beats.expired(claim.holder, now)

    async def _run_chunk(self, run: ChunkRun) -> None:
        try:
            lines = await self._files.read_chunk(
                run.batch.input_file,
                run.chunk,
            )
            await run.load(lines)
            await self._fail_unknown(run)
            await self._wake.set()
            done = await run.run()
        except (StoreUnavailable, NotFound) as exc:
            log_event('chunk_failed', chunk=run.name, detail=exc.detail)
            done = False
            await self._release(run)
        finally:
            self._chunks.pop(run.name, None)
        if done:
            await self._complete_if_done(run.batch)

    async def _fail_unknown(self, run: ChunkRun) -> None:
        for item in list(run.pending):
            if not self._node.catalogue.kind_of(self._service_of(item.target)):
                run.pending.remove(item)
                await self._finish_item(
                    item,
                    ResultRecord(
                        line=item.line,
                        state=FAILED,
                        status=0,
                        body=f'no model or route {shorten(item.target)}',
                        code=NotFound.code,
                    ),
                )

    async def _release(self, run: ChunkRun) -> None:
        run.lost = True
        try:
            await run.release()
        except (StoreConflict, StoreUnavailable) as exc:
            log_event('claim_kept', chunk=run.name, detail=exc.detail)

    async def _complete_if_done(self, batch: BatchManifest) -> None:
        try:
            listing = await self._node.store.list_names(
                f'claims/{batch.batch_id}/',
            )
            claims = [
                parse_json(Claim, one.body or '') for one in listing.objects
            ]
            if sum(claim.done for claim in claims) == batch.chunks:
                await self._complete(batch, claims)
        except (StoreUnavailable, StoreConflict):
            # The next look for claims finds the batch done and completes it.
            return

    async def _complete(
        self,
        batch: BatchManifest,
        claims: list[Claim],
    ) -> None:
        name = batch_name(batch.account, batch.batch_id)
        stored = await self._node.store.read(name)
        if stored is None or stored.body is None:
            return
        manifest = parse_json(BatchManifest, stored.body)
        if manifest.state != BATCH_OPEN:
            return
        completed = replaced(
            manifest,
            state=BATCH_COMPLETED,
            ended_s=time.time(),
            completed=sum(claim.completed for claim in claims),
            failed=sum(claim.failed for claim in claims),
            write_id=new_write_id(),
        )
        body = serialize_json(completed)
        version = await write_definitely(
            self._node.store,
            name,
            body,
            stored.version,
        )
        await self._sync.take(
            [Stored(name=name, version=version, body=body)],
            push=True,
        )

    async def _run_feed(self) -> None:
        while True:
            async with curio.ignore_after(FEED_INTERVAL_S):
                await self._wake.wait()
            self._wake.clear()
            if self._stopping or not self._chunks:
                continue
            for endpoint in self._rooms.decided_here():
                await self._feed(endpoint)

    async def _feed(self, endpoint: Endpoint) -> None:
        state = self._node.router(endpoint.service).find(endpoint.name)
        if state is None or not state.available(self._node.now()):
            return
        room = self._rooms.room(endpoint) - len(self._on_engine(endpoint.name))
        streams = self._node.settings.batch_streams - len(self._running)
        for _ in range(min(room, streams)):
            item = self._next_item(endpoint)
            if item is None:
                return
            await self._start(item, endpoint)

    def _next_item(self, endpoint: Endpoint) -> BatchItem | None:
        chunks = [
            chunk
            for chunk in self._chunks.values()
            if chunk.pending and chunk.may_start()
        ]
        batches = {chunk.batch.batch_id: chunk.batch for chunk in chunks}
        ordered = order_batches(
            list(batches.values()),
            self._served,
            time.time(),
        )
        place = {batch.batch_id: rank for rank, batch in enumerate(ordered)}
        for chunk in sorted(
            chunks,
            key=lambda one: place[one.batch.batch_id],
        ):
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
        names = [
            one.name
            for one in self._node.catalogue.endpoints(
                endpoint.service,
                endpoint.data_centre,
            )
        ]
        for item in chunk.pending:
            if item.not_before > now:
                continue
            if self._service_of(item.target) != endpoint.service:
                continue
            if self._suspects.may_start(item.name, endpoint.name, names):
                chunk.pending.remove(item)
                return item
        return None

    def _service_of(self, target: str) -> str:
        if target.startswith(ROUTE_URL_PREFIX):
            name = target.removeprefix(ROUTE_URL_PREFIX)
            route = self._node.catalogue.find(Route, name)
            return route.service if route else ''
        return target

    def _runs_here(self, targets: list[str]) -> bool:
        services = {one.service for one in self._rooms.decided_here()}
        return any(
            self._service_of(target) in services
            or not self._node.catalogue.kind_of(self._service_of(target))
            for target in targets
        )

    async def _start(self, item: BatchItem, endpoint: Endpoint) -> None:
        chunk = item.chunk
        chunk.running.add(item.line)
        self._suspects.on_start(item.name, endpoint.name)
        account = self._node.catalogue.find(Account, chunk.batch.account)
        weight = account.weight if account else 1.0
        served = self._served.get(chunk.batch.account, 0.0)
        self._served[chunk.batch.account] = served + 1 / weight
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
            self._running.pop(item.name, None)
            item.chunk.running.discard(item.line)
            self._suspects.on_stop(item.name, endpoint.name)
            if not ended and not item.chunk.lost and not self._stopping:
                item.chunk.pending.appendleft(item)
        await self._wake.set()

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
        failed = self._suspects.on_death(endpoint.name)
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

    async def _run_archive(self) -> None:
        while True:
            await curio.sleep(ARCHIVE_AFTER_S / 3)
            for one in list(self._node.table.iter_prefix(BATCH_PREFIX)):
                with contextlib.suppress(StoreUnavailable, StoreConflict):
                    await self._archive(one)

    async def _archive(self, one: Stored) -> None:
        manifest = parse_json(BatchManifest, one.body or '')
        ended_s = manifest.ended_s
        if ended_s is None or time.time() - ended_s < ARCHIVE_AFTER_S:
            return
        hosts = self._node.local_hosts()
        ranked = rank_hosts(manifest.batch_id, hosts)
        if ranked[:1] != [self._node.host]:
            return
        name = ended_name(manifest.account, manifest.batch_id)
        if await self._node.store.read(name) is None:
            await write_definitely(
                self._node.store,
                name,
                one.body or '',
                ABSENT,
            )
        version = await self._node.store.delete(one.name, one.version)
        await self._sync.take(
            [Stored(name=one.name, version=version, body=None)],
            push=True,
        )
