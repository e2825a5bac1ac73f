"""Object store client that falls back to another host on failures."""

from collections.abc import Callable

from jacinthmount.errors import (
    PeerUnavailable,
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)
from jacinthmount.ports import Listing, ObjectStore, Stored
from jacinthmount.recent_objects import RecentObjects
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.counted_store import CountedStore
from jacinthmount_node.relay.messages import (
    CopyAbsent,
    CopyRead,
    RelayHost,
    StoreFailed,
    StoreFound,
    StoreRead,
    StoreWrite,
    StoreWritten,
)
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.state import RelayState

__all__ = ('FallbackStore', 'answer_copy_read', 'answer_store_call')

# Time after a failure before the store, or the host that sends updates to this
# one, is tried again.
BACKOFF_S = 2.0
READ_ATTEMPTS = 2
COPIES_BYTES = 16_000_000
DIRECT_TIMEOUT_S = 0.4
SHORT_TIMEOUT_S = 0.1
PEER_TIMEOUT_S = 0.6


class FallbackStore(ObjectStore):
    """Reads and writes directly, or through a peer after a failure.

    A write without an answer is never repeated here, since the repeat could
    conflict with the first attempt; ``write_with_retry`` resolves that case.
    """

    __slots__ = (
        '_update_source_retry_at',
        '_direct_retry_at',
        '_peer_requests',
        '_state',
        'copies',
        'direct',
        'is_unavailable',
    )

    def __init__(
        self,
        *,
        direct: ObjectStore,
        state: RelayState,
        peer_requests: PeerRequests,
    ) -> None:
        self.direct = CountedStore(store=direct, metrics=state.metrics)
        self._state = state
        self._peer_requests = peer_requests
        self.copies = RecentObjects(limit_bytes=COPIES_BYTES)
        # Set to the check of the component that watches the store.
        self.is_unavailable: Callable[[], bool] = bool
        self._direct_retry_at = 0.0
        self._update_source_retry_at = 0.0

    async def read(self, name: str) -> Stored | None:
        """See :meth:`~jacinthmount.ports.ObjectStore.read`."""
        if not self._skips_direct():
            try:
                return await self._call_direct(self.direct.read, name)
            except StoreUnavailable as exc:
                self._on_direct_failure(exc)
        for _ in range(READ_ATTEMPTS):
            reply = await self._request_peer(StoreRead(name=name))
            if isinstance(reply, StoreFound):
                return reply.stored
        raise StoreUnavailable(detail=f'{name}: no host reaches the store')

    async def read_immutable(self, name: str) -> Stored | None:
        """Reads an object that never changes; runners may hold a copy.

        See :meth:`~jacinthmount.ports.ObjectStore.read_immutable`.
        """
        if self._state.settings.runs_batches:
            return await self._read_cached(name)
        update_source = self._state.find_update_source()
        if update_source and self._state.now() >= self._update_source_retry_at:
            reply = await self._request_peer(CopyRead(name=name))
            if isinstance(reply, StoreFound) and reply.stored is not None:
                return reply.stored
            if isinstance(reply, CopyAbsent):
                return None
        return await self.read(name)

    async def write(self, name: str, body: str, expected: int) -> int:
        """See :meth:`~jacinthmount.ports.ObjectStore.write`."""
        if not self._skips_direct():
            try:
                return await self._call_direct(
                    self.direct.write,
                    name,
                    body,
                    expected,
                )
            except StoreUnavailable as exc:
                self._on_direct_failure(exc)
                raise
        reply = await self._request_peer(
            StoreWrite(name=name, body=body, expected=expected),
        )
        if isinstance(reply, StoreFailed) and reply.refused:
            raise StoreRefused(detail=f'{name}: the store refused a peer')
        if not isinstance(reply, StoreWritten):
            raise StoreUnavailable(detail=f'{name}: no host reaches the store')
        if reply.conflict:
            raise StoreConflict(detail=name, version=reply.version)
        return reply.version

    async def delete(self, name: str, expected: int) -> int:
        """See :meth:`~jacinthmount.ports.ObjectStore.delete`."""
        return await self.direct.delete(name, expected)

    async def list_names(self, prefix: str) -> Listing:
        """See :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        return await self.direct.list_names(prefix)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """See :meth:`~jacinthmount.ports.ObjectStore.watch`."""
        return await self.direct.watch(prefix, after, wait_s)

    async def watch_page(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> Listing:
        """See :meth:`~jacinthmount.ports.ObjectStore.watch_page`."""
        return await self.direct.watch_page(prefix, after, wait_s)

    async def _read_cached(self, name: str) -> Stored | None:
        stored = self.copies.find(name)
        if stored is None:
            stored = await self.read(name)
            if stored is not None:
                self.copies.put(stored)
        return stored

    def _skips_direct(self) -> bool:
        if self._state.now() < self._direct_retry_at:
            return True
        return self.is_unavailable() and bool(self._find_peer())

    async def _call_direct(self, func, *args):
        """Calls the store, with a short timeout if a peer could call it."""
        if not self._find_peer():
            return await func(*args)
        use_short_timeout = (
            self._state.now() < self._state.short_store_timeout_until
        )
        timeout_s = SHORT_TIMEOUT_S if use_short_timeout else DIRECT_TIMEOUT_S
        try:
            return await with_timeout(timeout_s, func, *args)
        except TimeoutError as exc:
            raise StoreUnavailable(detail=str(exc)) from exc

    def _on_direct_failure(self, exc: StoreUnavailable) -> None:
        if self._find_peer():
            self._direct_retry_at = self._state.now() + BACKOFF_S
            log_event('store_by_peer', detail=exc.detail)

    def _find_peer(self) -> RelayHost | None:
        if self._state.settings.runs_batches:
            # If the store refuses a runner, another runner takes over.
            return None
        update_source = self._state.find_host_by_address(
            self._state.find_update_source()
        )
        if update_source and self._state.now() >= self._update_source_retry_at:
            return update_source
        return self._peer_requests.choose()

    async def _request_peer(self, call: Record) -> Record | None:
        peer = self._find_peer()
        if peer is None:
            return None
        try:
            reply = await self._peer_requests.request(
                peer, call, PEER_TIMEOUT_S
            )
        except PeerUnavailable as exc:
            log_event('store_peer_failed', detail=exc.detail)
            self._update_source_retry_at = self._state.now() + BACKOFF_S
            return StoreFailed(refused=False)
        if isinstance(reply, StoreFailed):
            # Makes the next call try the store directly.
            self._direct_retry_at = 0.0
        return reply


async def answer_copy_read(store: ObjectStore, call: CopyRead) -> Record:
    """Reads an immutable object for another host and keeps a copy.

    Many hosts ask for the same objects after they have lost their caches. A
    reply without an object says nothing, unless it is :class:`CopyAbsent`.
    """
    try:
        stored = await store.read_immutable(call.name)
    except StoreUnavailable as exc:
        log_event('copy_unread', name=call.name, detail=exc.detail)
        return StoreFound(stored=None)
    if stored is None or stored.body is None:
        return CopyAbsent(name=call.name)
    return StoreFound(stored=stored)


async def answer_store_call(
    store: ObjectStore,
    call: StoreRead | StoreWrite,
) -> Record:
    """Calls the store for another host, never through a third one."""
    try:
        if isinstance(call, StoreRead):
            return StoreFound(stored=await store.read(call.name))
        version = await store.write(call.name, call.body, call.expected)
    except StoreConflict as exc:
        return StoreWritten(version=exc.version, conflict=True)
    except StoreUnavailable as exc:
        log_event('store_call_failed', name=call.name, detail=exc.detail)
        return StoreFailed(refused=isinstance(exc, StoreRefused))
    return StoreWritten(version=version, conflict=False)
