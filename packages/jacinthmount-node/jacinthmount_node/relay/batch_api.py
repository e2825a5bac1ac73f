"""Accepts, reads and ends batches on behalf of callers."""

import base64
import time
from collections import OrderedDict

import curio
from jacinthmount.errors import (
    NotFound,
    OutcomeUnknown,
    PeerUnavailable,
    QuotaExceeded,
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)
from jacinthmount.fleet_config import RouteRule
from jacinthmount.item_batches import (
    BATCH_PREFIX,
    BatchItem,
    BatchLog,
    BodyChunk,
    ItemBatch,
    ItemResult,
    batch_key,
    batch_name,
    chunk_name,
    fits_manifest,
    make_chunks,
)
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.batch_jobs import read_items, read_log
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.manifests import parse_manifests
from jacinthmount_node.relay.messages import (
    BatchAdmission,
    BatchAdmissionReply,
    SegmentAsk,
    SegmentCount,
)
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState

__all__ = ('BatchApi',)

# Share of the latency target of a submission for the admission request.
TARGET_FRACTION = 0.5
CACHED_LOGS = 64
CACHED_MANIFESTS = 96
CACHED_BYTES = 16_000_000
PAGE_BYTES = 900_000
# Long polls end this long before the time that the caller gave.
WAIT_MARGIN_S = 0.05
POLL_INTERVAL_S = 0.5
SEGMENT_QUERY_TIMEOUT_S = 0.15
RETRY_AFTER_S = 1.0
SUBMIT_TIMEOUT_S = 1.5
MAX_ITEM_READS = 4
# The retry goes to another host, so it need not wait.
OTHER_HOST_RETRY_AFTER_S = 0.05
MS = 1000


class BatchApi:
    """Serves the batch requests of callers; holds caches but no state."""

    __slots__ = (
        '_logs',
        '_manifests',
        '_connectivity',
        '_item_reads',
        '_runner_link',
        '_state',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        runner_link: RunnerLink,
        connectivity: HostConnectivity,
    ) -> None:
        self._connectivity = connectivity
        self._state = state
        self._runner_link = runner_link
        # Each holds all items of a batch for a moment.
        self._item_reads = curio.Semaphore(MAX_ITEM_READS)
        self._logs: OrderedDict[str, BatchLog] = OrderedDict()
        self._manifests: OrderedDict[str, ItemBatch] = OrderedDict()

    async def submit(
        self,
        account: str,
        route: RouteRule,
        batch_id: str,
        host_name: str,
        items: list[BatchItem],
    ) -> None:
        """Accepts a batch; it is durable when this returns.

        :param account: its owner, or an empty string for none.
        :raises QuotaExceeded: too many tokens of the account wait already.
        :raises ShuttingDown: the process may end before the answer.
        :raises StoreUnavailable: the batch was not accepted.
        :raises OutcomeUnknown: the batch may have been accepted; the caller
            has to repeat the submission.
        """
        self._raise_if_isolated()
        self._state.stop.raise_if_too_late(self._state.now(), SUBMIT_TIMEOUT_S)
        try:
            await with_timeout(
                SUBMIT_TIMEOUT_S,
                self._submit,
                account,
                route,
                batch_id,
                host_name,
                items,
            )
        except TimeoutError as exc:
            # Another host may have a better connection to the store.
            raise OutcomeUnknown(detail=str(exc)) from exc

    async def read_results(
        self,
        account: str,
        batch_id: str,
        after: int,
        wait_s: float,
    ) -> tuple[int, list[ItemResult]]:
        """Reads results from a position on.

        :param after: number of results to skip.
        :param wait_s: seconds to wait for the first one.
        :returns: number of items of the batch, and the results.
        :raises NotFound: no such batch of this account.
        :raises StoreUnavailable: the results can't be read.
        """
        key = batch_key(account, batch_id)
        log = await self._find_log(key)
        until = self._state.now() + wait_s - WAIT_MARGIN_S
        await self._refresh(key, log, after)
        while after >= len(log.results) and not log.complete:
            left_s = min(until, self._state.stop.ends_at) - self._state.now()
            if left_s <= 0:
                break
            await curio.sleep(min(POLL_INTERVAL_S, left_s))
            await self._refresh(key, log, after)
        self._evict()
        return log.total, log.page(after, PAGE_BYTES)

    async def read_item(
        self,
        account: str,
        batch_id: str,
        item_id: str,
    ) -> bytes:
        """Reads the body of an item of a batch.

        :raises NotFound: no such batch or item.
        :raises StoreUnavailable: the batch can't be read.
        """
        key = batch_key(account, batch_id)
        manifest = await self._find_manifest(key)
        if item_id not in manifest.item_ids:
            raise NotFound(detail='no such item')
        async with self._item_reads:
            items = await read_items(self._state.store, key, manifest)
            found = [one.body for one in items if one.item_id == item_id]
            if not found:
                raise NotFound(detail='no such item')
            return base64.b64decode(found[0])

    async def end(self, account: str, batch_id: str) -> None:
        """Ends a batch; idempotent.

        :raises NotFound: no such batch of this account.
        :raises StoreUnavailable: the batch may or may not be ended; the caller
            has to repeat the call.
        """
        self._raise_if_isolated()
        name = batch_name(batch_key(account, batch_id))
        while True:
            stored = await self._state.store.read(name)
            if stored is None or stored.body is None:
                raise NotFound(detail='no such batch')
            manifest = parse_json(ItemBatch, stored.body)
            if manifest.ended:
                return
            ended = replaced(
                manifest,
                ended=True,
                embedded=BodyChunk(carried='', items=[]),
                chunks=0,
                write_id=new_write_id(),
            )
            try:
                await write_with_retry(
                    self._state.store,
                    name,
                    serialize_json(ended),
                    stored.version,
                )
            except StoreConflict:
                continue
            log_event('batch_ended', batch=batch_id, account=account)
            return

    async def _submit(
        self,
        account: str,
        route: RouteRule,
        batch_id: str,
        host_name: str,
        items: list[BatchItem],
    ) -> None:
        key = batch_key(account, batch_id)
        if await self._is_accepted(key, account, route, items):
            return
        chunks = make_chunks(items)
        embedded = BodyChunk(carried='', items=[])
        if fits_manifest(chunks):
            embedded = chunks.pop()
        for index, chunk in enumerate(chunks):
            await self._create(chunk_name(key, index), serialize_json(chunk))
        now_ms = int(time.time() * MS)
        manifest = ItemBatch(
            batch_id=batch_id,
            account=account,
            route=route.name,
            host_name=host_name,
            accepted_at_ms=now_ms,
            due_at_ms=now_ms + int(route.completion_s * MS),
            keep_until_ms=now_ms + int(route.retention_s * MS),
            max_attempts=route.max_attempts,
            item_ids=[item.item_id for item in items],
            token_counts=[item.tokens for item in items],
            embedded=embedded,
            chunks=len(chunks),
            ended=False,
            write_id=new_write_id(),
        )
        try:
            await self._create(batch_name(key), serialize_json(manifest))
        except StoreRefused:
            raise
        except StoreUnavailable as exc:
            # The write may still take effect.
            raise OutcomeUnknown(detail=exc.detail) from exc
        log_event(
            'batch_accepted',
            batch=batch_id,
            account=account,
            items=len(items),
            tokens=sum(manifest.token_counts),
        )

    def _raise_if_isolated(self) -> None:
        if self._connectivity.is_isolated():
            raise StoreUnavailable(
                detail='this data centre is isolated',
                retry_after_s=OTHER_HOST_RETRY_AFTER_S,
            )

    async def _is_current(self, key: str, log: BatchLog) -> bool:
        segments = self._state.segments
        if not segments.has_recent_reply(key, self._state.now()):
            await self._query_segment_count(key)
        return segments.is_current(key, log.next_index, self._state.now())

    async def _query_segment_count(self, key: str) -> None:
        # Results may be written while the reply is in flight, so the count
        # dates from when the query was sent.
        sent_at = self._state.now()
        try:
            reply = await self._runner_link.request_directly(
                SegmentAsk(key=key),
                SEGMENT_QUERY_TIMEOUT_S,
            )
        except PeerUnavailable:
            return
        if isinstance(reply, SegmentCount):
            self._state.segments.put(key, reply.count, sent_at)

    async def _refresh(self, key: str, log: BatchLog, after: int) -> None:
        if log.complete or await self._is_current(key, log):
            return
        try:
            self._raise_if_isolated()
            count = self._state.segments.count(key, self._state.now())
            await read_log(self._state.store, key, log, count)
        except StoreUnavailable:
            # Results never change, so cached ones may be returned.
            if after >= len(log.results):
                raise

    async def _is_accepted(
        self,
        key: str,
        account: str,
        route: RouteRule,
        items: list[BatchItem],
    ) -> bool:
        if key in self._manifests:
            return True
        admission = BatchAdmission(
            account=account,
            route=route.name,
            key=key,
            tokens=sum(item.tokens for item in items),
            cap=route.waiting_token_cap,
        )
        reply = await self._query_runner(
            admission, route.target_s * TARGET_FRACTION
        )
        if reply is None:
            reply = await self._admit_by_store(admission)
        if reply.known:
            return True
        if not reply.fits:
            raise QuotaExceeded(
                detail='too many tokens wait',
                retry_after_s=RETRY_AFTER_S,
            )
        return False

    async def _query_runner(
        self,
        admission: BatchAdmission,
        within_s: float,
    ) -> BatchAdmissionReply | None:
        try:
            reply = await self._runner_link.request(admission, within_s)
        except PeerUnavailable as exc:
            log_event('admission_request_failed', detail=exc.detail)
            return None
        return reply if isinstance(reply, BatchAdmissionReply) else None

    async def _admit_by_store(
        self,
        admission: BatchAdmission,
    ) -> BatchAdmissionReply:
        # Counts finished items as waiting, so it never admits too much.
        known = False
        waiting = 0
        if admission.cap:
            listing = await self._state.store.list_names(BATCH_PREFIX)
            manifests = parse_manifests(listing.objects)
            known = batch_name(admission.key) in manifests
            for manifest in manifests.values():
                same = (manifest.account, manifest.route) == (
                    admission.account,
                    admission.route,
                )
                if same and not manifest.ended:
                    waiting += sum(manifest.token_counts)
        fits = not admission.cap or waiting + admission.tokens <= admission.cap
        return BatchAdmissionReply(fits=fits, known=known)

    async def _create(self, name: str, body: str) -> None:
        try:
            await write_with_retry(self._state.store, name, body, ABSENT)
        except StoreConflict:
            # A retry of the same submission wrote it first.
            log_event('batch_repeated', name=name)

    async def _find_manifest(self, key: str) -> ItemBatch:
        known = self._manifests.get(key)
        if known is not None:
            return known
        self._raise_if_isolated()
        # Only the ``ended`` flag of a manifest changes, and it is not used
        # here.
        stored = await self._state.store.read_immutable(batch_name(key))
        if stored is None or stored.body is None:
            raise NotFound(detail='no such batch')
        manifest = parse_json(ItemBatch, stored.body)
        self._manifests[key] = manifest
        return manifest

    async def _find_log(self, key: str) -> BatchLog:
        log = self._logs.get(key)
        if log is None:
            manifest = await self._find_manifest(key)
            log = BatchLog(total=len(manifest.item_ids))
            self._logs[key] = log
        self._logs.move_to_end(key)
        return log

    def _evict(self) -> None:
        while len(self._manifests) > CACHED_MANIFESTS:
            self._manifests.popitem(last=False)
        size = sum(log.bytes for log in self._logs.values())
        while len(self._logs) > CACHED_LOGS or (
            size > CACHED_BYTES and len(self._logs) > 1
        ):
            _, dropped = self._logs.popitem(last=False)
            size -= dropped.bytes
