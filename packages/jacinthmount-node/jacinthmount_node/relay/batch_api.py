"""Acceptance and reading of batches."""

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
from jacinthmount_node.relay.messages import (
    BatchAdmission,
    BatchAdmissionReply,
    SegmentAsk,
    SegmentCount,
)
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState

__all__ = ('BatchApi',)

# Of the aim of a submission, for the question whether it fits.
AIM_PART = 0.5
CACHED_LOGS = 64
CACHED_MANIFESTS = 96
CACHED_BYTES = 16_000_000
PAGE_BYTES = 900_000
WAIT_MARGIN_S = 0.05
WAIT_CHECK_S = 0.5
SEGMENT_ASK_TIMEOUT_S = 0.15
RETRY_AFTER_S = 1.0
SUBMIT_TIMEOUT_S = 1.5
# Another attempt enters elsewhere and need not wait.
ELSEWHERE_S = 0.05
MS = 1000


class BatchApi:
    """Serves the callers' side of batches; keeps nothing that must last."""

    __slots__ = (
        '_logs',
        '_manifests',
        '_connectivity',
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
        """Starts with nothing cached."""
        self._connectivity = connectivity
        self._state = state
        self._runner_link = runner_link
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
        """Accepts a batch; it is kept when this returns.

        :raises QuotaExceeded: too many tokens of the account wait already.
        :raises StoreUnavailable: no part of it is kept.
        :raises OutcomeUnknown: it may be kept; the caller has to repeat it.
        """
        self._expect_reach()
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
            # Another host may have a better way to the store.
            raise OutcomeUnknown(detail=str(exc)) from exc

    async def read_results(
        self,
        account: str,
        batch_id: str,
        after: int,
        wait_s: float,
    ) -> tuple[int, list[ItemResult]]:
        """Reads results from a position on.

        :param wait_s: seconds to wait for the first one.
        :returns: number of items of the batch, and the results.
        :raises NotFound: no such batch of this account.
        :raises StoreUnavailable: it can't be told.
        """
        key = batch_key(account, batch_id)
        log = await self._log(key)
        until = self._state.now() + wait_s - WAIT_MARGIN_S
        await self._refresh(key, log, after)
        while after >= len(log.results) and not log.complete:
            left_s = until - self._state.now()
            if left_s <= 0:
                break
            await curio.sleep(min(WAIT_CHECK_S, left_s))
            await self._refresh(key, log, after)
        self._trim()
        return log.total, log.page(after, PAGE_BYTES)

    async def read_item(
        self,
        account: str,
        batch_id: str,
        item_id: str,
    ) -> bytes:
        """Reads the body of an item of a batch.

        :raises NotFound: no such batch or item.
        :raises StoreUnavailable: it can't be told.
        """
        key = batch_key(account, batch_id)
        manifest = await self._manifest(key)
        if item_id in manifest.item_ids:
            for item in await read_items(self._state.store, key, manifest):
                if item.item_id == item_id:
                    return base64.b64decode(item.body)
        raise NotFound(detail='no such item')

    async def end(self, account: str, batch_id: str) -> None:
        """Ends a batch; repeating it changes nothing.

        :raises NotFound: no such batch of this account.
        :raises StoreUnavailable: it may be ended; repeat it.
        """
        self._expect_reach()
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
            # The write may still take effect, so nothing is promised.
            raise OutcomeUnknown(detail=exc.detail) from exc
        log_event(
            'batch_accepted',
            batch=batch_id,
            account=account,
            items=len(items),
            tokens=sum(manifest.token_counts),
        )

    def _expect_reach(self) -> None:
        if self._connectivity.is_isolated():
            raise StoreUnavailable(
                detail='this data centre is cut off',
                retry_after_s=ELSEWHERE_S,
            )

    async def _is_current(self, key: str, log: BatchLog) -> bool:
        segments = self._state.segments
        if not segments.has_recent_reply(key, self._state.now()):
            await self._query_segment_count(key)
        return segments.is_current(key, log.next_index, self._state.now())

    async def _query_segment_count(self, key: str) -> None:
        # Results may be written while the answer is on its way.
        asked_at = self._state.now()
        try:
            reply = await self._runner_link.request_directly(
                SegmentAsk(key=key),
                SEGMENT_ASK_TIMEOUT_S,
            )
        except PeerUnavailable:
            return
        if isinstance(reply, SegmentCount):
            self._state.segments.put(key, reply.count, asked_at)

    async def _refresh(self, key: str, log: BatchLog, after: int) -> None:
        if log.complete or await self._is_current(key, log):
            return
        try:
            self._expect_reach()
            count = self._state.segments.count(key, self._state.now())
            await read_log(self._state.store, key, log, count)
        except StoreUnavailable:
            # What is at hand never changes, so it may be given without more.
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
        asked = BatchAdmission(
            account=account,
            route=route.name,
            key=key,
            tokens=sum(item.tokens for item in items),
            cap=route.waiting_token_cap,
        )
        reply = await self._ask(asked, route.target_s * AIM_PART)
        if reply is None:
            reply = await self._admit_by_store(asked)
        if reply.known:
            return True
        if not reply.fits:
            raise QuotaExceeded(
                detail='too many tokens wait',
                retry_after_s=RETRY_AFTER_S,
            )
        return False

    async def _ask(
        self,
        asked: BatchAdmission,
        within_s: float,
    ) -> BatchAdmissionReply | None:
        try:
            reply = await self._runner_link.request(asked, within_s)
        except PeerUnavailable as exc:
            log_event('admission_unasked', detail=exc.detail)
            return None
        return reply if isinstance(reply, BatchAdmissionReply) else None

    async def _admit_by_store(
        self,
        asked: BatchAdmission,
    ) -> BatchAdmissionReply:
        # Counts finished items as waiting, so that it never allows too much.
        known = False
        waiting = 0
        if asked.cap:
            listing = await self._state.store.list_names(BATCH_PREFIX)
            for one in listing.objects:
                manifest = parse_json(ItemBatch, one.body or '')
                if one.name == batch_name(asked.key):
                    known = True
                same = (manifest.account, manifest.route) == (
                    asked.account,
                    asked.route,
                )
                if same and not manifest.ended:
                    waiting += sum(manifest.token_counts)
        fits = not asked.cap or waiting + asked.tokens <= asked.cap
        return BatchAdmissionReply(fits=fits, known=known)

    async def _create(self, name: str, body: str) -> None:
        try:
            await write_with_retry(self._state.store, name, body, ABSENT)
        except StoreConflict:
            # A repeat of the same submission came here first.
            log_event('batch_repeated', name=name)

    async def _manifest(self, key: str) -> ItemBatch:
        known = self._manifests.get(key)
        if known is not None:
            return known
        self._expect_reach()
        # Only the mark of its end changes, and it is not looked at here.
        stored = await self._state.store.read_immutable(batch_name(key))
        if stored is None or stored.body is None:
            raise NotFound(detail='no such batch')
        manifest = parse_json(ItemBatch, stored.body)
        self._manifests[key] = manifest
        return manifest

    async def _log(self, key: str) -> BatchLog:
        log = self._logs.get(key)
        if log is None:
            manifest = await self._manifest(key)
            log = BatchLog(total=len(manifest.item_ids))
            self._logs[key] = log
        self._logs.move_to_end(key)
        return log

    def _trim(self) -> None:
        while len(self._manifests) > CACHED_MANIFESTS:
            self._manifests.popitem(last=False)
        size = sum(log.bytes for log in self._logs.values())
        while len(self._logs) > CACHED_LOGS or (
            size > CACHED_BYTES and len(self._logs) > 1
        ):
            _, dropped = self._logs.popitem(last=False)
            size -= dropped.bytes
