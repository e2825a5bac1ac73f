"""Claims chunks of open batches and completes finished batches."""

import time

import curio
from jacinthmount.batches import (
    BATCH_COMPLETED,
    BATCH_OPEN,
    BatchManifest,
    batch_name,
)
from jacinthmount.claims import (
    Claim,
    HeartbeatMonitor,
    claim_name,
    heartbeat_name,
    may_claim,
    next_claim,
)
from jacinthmount.errors import (
    JacinthmountError,
    NotFound,
    StoreConflict,
    StoreUnavailable,
    shorten,
)
from jacinthmount.members import rank_hosts
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.results import FAILED, ResultRecord
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.batches.batch_chunks import BatchItem, ChunkRun
from jacinthmount_node.batches.batch_state import BatchState
from jacinthmount_node.batches.files_api import FileApi
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.node import Node

__all__ = ('BatchClaims',)

CLAIM_INTERVAL_S = 0.5
# Limits the back-off of hosts that find no chunk, in claim intervals.
MAX_IDLE_ROUNDS = 10
MAX_BATCHES_PER_ROUND = 2
# A batch without a free chunk is not checked again for this long.
FULLY_CLAIMED_PAUSE_S = 4.0
# Time for which a heartbeat that was read is reused.
HEARTBEAT_CACHE_S = 2.0
MAX_CHUNKS = 8
# Claims stop at this many pending items for each batch stream.
PENDING_PER_STREAM = 2
# A chunk that this host released is not claimed again for this long.
RELEASED_PAUSE_S = 10.0


class BatchClaims:
    """Claims chunks while this host has engines with capacity for them."""

    __slots__ = (
        '_heartbeat_cache',
        '_heartbeats',
        '_batch_state',
        '_files',
        '_idle_rounds',
        '_node',
        '_released_at',
        '_capacity',
        '_sync',
        '_fully_claimed_at',
        '_wake',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        files: FileApi,
        sync: ConfigSync,
        batch_state: BatchState,
    ) -> None:
        self._node = node
        self._capacity = rooms
        self._files = files
        self._sync = sync
        self._batch_state = batch_state
        self._heartbeats = HeartbeatMonitor()
        self._heartbeat_cache: dict[str, tuple[float, str]] = {}
        self._released_at: dict[str, float] = {}
        self._fully_claimed_at: dict[str, float] = {}
        self._idle_rounds = 0
        self._wake = curio.Event()

    async def run(self) -> None:
        """Claims until cancelled."""
        while True:
            # Hosts that find no chunk check less often until a batch changes.
            rounds = min(MAX_IDLE_ROUNDS, 1 + self._idle_rounds)
            async with curio.ignore_after(CLAIM_INTERVAL_S * rounds):
                await self._wake.wait()
            self._wake.clear()
            self._batch_state.decay_served(CLAIM_INTERVAL_S)
            try:
                await self._claim_more()
            except (StoreUnavailable, StoreConflict):
                continue
            except JacinthmountError as exc:
                log_failure('claims', exc)

    async def wake(self) -> None:
        """Checks for chunks at once, since batches changed."""
        self._idle_rounds = 0
        await self._wake.set()

    async def _claim_more(self) -> None:
        await self._release_idle()
        if self._batch_state.stopping or not self._wants_chunks():
            return
        checked = 0
        self._idle_rounds += 1
        for batch in self._batch_state.open_batches():
            if not self._may_have_chunks(batch):
                continue
            checked += 1
            await self._claim_from(batch)
            if checked >= MAX_BATCHES_PER_ROUND or not self._wants_chunks():
                return

    def _may_have_chunks(self, batch: BatchManifest) -> bool:
        fully_claimed_at = self._fully_claimed_at.get(
            batch.batch_id, -FULLY_CLAIMED_PAUSE_S
        )
        if self._node.now() - fully_claimed_at < FULLY_CLAIMED_PAUSE_S:
            return False
        return self._batch_state.can_run_any(batch.targets)

    async def _release_idle(self) -> None:
        # Only engines that other hosts schedule can run the remaining items.
        for run in list(self._batch_state.chunks.values()):
            targets = [item.target for item in run.pending]
            if (
                targets
                and not run.running
                and not self._batch_state.can_run_any(targets)
            ):
                self._released_at[run.name] = self._node.now()
                await run.stop()
                await self._release(run)

    def _wants_chunks(self) -> bool:
        pending = sum(
            len(chunk.pending) for chunk in self._batch_state.chunks.values()
        )
        streams = self._node.settings.batch_streams
        slots = sum(
            endpoint.slots for endpoint in self._capacity.owned_endpoints()
        )
        if not slots or len(self._batch_state.chunks) >= MAX_CHUNKS:
            return False
        return pending < PENDING_PER_STREAM * min(streams, slots)

    async def _claim_from(self, batch: BatchManifest) -> None:
        node = self._node
        node.metrics.platform_calls.labels('list').inc()
        listing = await node.store.list_names(f'claims/{batch.batch_id}/')
        stored_claims = {stored.name: stored for stored in listing.objects}
        claims = {
            name: parse_json(Claim, stored.body or '')
            for name, stored in stored_claims.items()
        }
        if sum(claim.done for claim in claims.values()) == batch.chunks:
            await self._complete(batch, list(claims.values()))
            return
        for chunk in self._chunk_order(batch):
            name = claim_name(batch.batch_id, chunk)
            version = (
                stored_claims[name].version if name in stored_claims else ABSENT
            )
            if await self._try_claim(batch, chunk, claims.get(name), version):
                self._idle_rounds = 0
                return
        self._fully_claimed_at[batch.batch_id] = node.now()

    def _chunk_order(self, batch: BatchManifest) -> list[int]:
        # Hosts start at different chunks, which makes conflicts rare.
        hosts = sorted(self._node.members) or [self._node.host]
        ranked = rank_hosts(batch.batch_id, hosts)
        rank = (
            ranked.index(self._node.host) if (self._node.host in ranked) else 0
        )
        start = rank * batch.chunks // len(ranked)
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
        if run_name in self._batch_state.chunks:
            return False
        released_at = self._released_at.get(run_name, -RELEASED_PAUSE_S)
        if node.now() - released_at < RELEASED_PAUSE_S:
            return False
        expired = await self._holder_expired(claim)
        if not may_claim(claim, node.host, node.incarnation, expired=expired):
            return False
        new_claim = next_claim(
            claim, node.host, node.incarnation, new_write_id()
        )
        name = claim_name(batch.batch_id, chunk)
        written = await write_with_retry(
            node.store,
            name,
            serialize_json(new_claim),
            version,
        )
        run = ChunkRun(
            node=node,
            batch=batch,
            chunk=chunk,
            claim=new_claim,
            claim_version=written,
        )
        self._batch_state.chunks[run.name] = run
        await curio.spawn(self._run_chunk, run, daemon=True)
        return True

    async def _holder_expired(self, claim: Claim | None) -> bool:
        if claim is None or claim.done or claim.holder == self._node.host:
            return False
        if not claim.holder:
            return True
        now = self._node.now()
        body = await self._read_heartbeat(claim.holder, now)
        restarted = bool(body) and claim.incarnation not in body
        return restarted or self._heartbeats.expired(claim.holder, now)

    async def _read_heartbeat(self, holder: str, now: float) -> str:
        # One round checks many claims of the same holder.
        read_at, body = self._heartbeat_cache.get(
            holder, (-HEARTBEAT_CACHE_S, '')
        )
        if now - read_at < HEARTBEAT_CACHE_S:
            return body
        beat = await self._node.store.read(heartbeat_name(holder))
        self._heartbeats.on_heartbeat(
            holder, beat.version if beat else ABSENT, now
        )
        body = beat.body or '' if beat else ''
        self._heartbeat_cache[holder] = (now, body)
        return body

    async def _run_chunk(self, run: ChunkRun) -> None:
        try:
            lines = await self._files.read_chunk(
                run.batch.input_file,
                run.chunk,
            )
            await run.load(lines)
            await self._fail_unknown_targets(run)
            done = await run.run()
        except (StoreUnavailable, NotFound) as exc:
            log_event('chunk_failed', chunk=run.name, detail=exc.detail)
            done = False
            await self._release(run)
        except (Exception, curio.TaskTimeout) as exc:
            log_failure(f'chunk {run.name}', exc)
            done = False
            self._released_at[run.name] = self._node.now()
            await self._release(run)
        finally:
            self._batch_state.chunks.pop(run.name, None)
        if done:
            await self._complete_if_done(run.batch)

    async def _fail_unknown_targets(self, run: ChunkRun) -> None:
        """Ends the items whose model or route was removed.

        The host that accepted the batch may know one that this host has not
        heard of yet, so the configuration has to be as new as the batch.

        :raises StoreUnavailable: the configuration can't be listed.
        """
        if not self._find_unknown(run):
            return
        batch = run.batch
        stored = self._node.table.read(
            batch_name(batch.account, batch.batch_id)
        )
        if stored is None:
            # The batch has ended.
            return
        await self._sync.catch_up(stored.version)
        for item in self._find_unknown(run):
            run.pending.remove(item)
            await run.add(
                ResultRecord(
                    line=item.line,
                    state=FAILED,
                    status=0,
                    body=f'no model or route {shorten(item.target)}',
                    code=NotFound.code,
                ),
            )

    def _find_unknown(self, run: ChunkRun) -> list[BatchItem]:
        return [
            item
            for item in run.pending
            if not self._batch_state.is_known(item.target)
        ]

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
                parse_json(Claim, stored.body or '')
                for stored in listing.objects
            ]
            if sum(claim.done for claim in claims) == batch.chunks:
                await self._complete(batch, claims)
        except (StoreUnavailable, StoreConflict):
            # The next claim round finds the batch done and completes it.
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
        version = await write_with_retry(
            self._node.store,
            name,
            body,
            stored.version,
        )
        await self._sync.apply_objects(
            [Stored(name=name, version=version, body=body)],
            push=True,
        )
