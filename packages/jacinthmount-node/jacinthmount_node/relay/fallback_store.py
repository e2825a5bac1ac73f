"""Object store through another host while this one is turned away by it."""

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
from jacinthmount_node.relay.messages import (
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

__all__ = ('FallbackStore', 'answer_store_call')

AVOID_S = 2.0
READ_TRIES = 2
COPIES_BYTES = 16_000_000
DIRECT_TIMEOUT_S = 0.4
SUSPECTED_TIMEOUT_S = 0.1
PEER_TIMEOUT_S = 0.6


class FallbackStore(ObjectStore):
    """Reads and writes directly, or through a peer after a failure.

    A write that got no answer is never repeated here, since the repeat could
    meet its own effect; ``write_with_retry`` knows how to tell.
    """

    __slots__ = (
        '_avoid_feeder_until',
        '_avoid_until',
        '_direct',
        '_peer_requests',
        '_state',
        'copies',
        'is_unavailable',
    )

    def __init__(
        self,
        *,
        direct: ObjectStore,
        state: RelayState,
        peer_requests: PeerRequests,
    ) -> None:
        """Takes the store as this host reaches it."""
        self._direct = direct
        self._state = state
        self._peer_requests = peer_requests
        self.copies = RecentObjects(limit_bytes=COPIES_BYTES)
        # Whoever watches the store sets this once it knows more.
        self.is_unavailable: Callable[[], bool] = bool
        self._avoid_until = 0.0
        self._avoid_feeder_until = 0.0

    async def read(self, name: str) -> Stored | None:
        """See the port."""
        if not self._avoids_direct():
            try:
                return await self._try(self._direct.read, name)
            except StoreUnavailable as exc:
                self._note_failure(exc)
        for _ in range(READ_TRIES):
            reply = await self._ask(StoreRead(name=name))
            if isinstance(reply, StoreFound):
                return reply.stored
        raise StoreUnavailable(detail=f'{name}: no host reaches the store')

    async def read_immutable(self, name: str) -> Stored | None:
        """See the port; the active runner may have a copy."""
        if self._state.settings.runs_batches:
            return await self._read_and_keep(name)
        feeder = self._state.find_update_source()
        if feeder and self._state.now() >= self._avoid_feeder_until:
            reply = await self._ask(CopyRead(name=name))
            if isinstance(reply, StoreFound) and reply.stored is not None:
                return reply.stored
        return await self.read(name)

    async def write(self, name: str, body: str, expected: int) -> int:
        """See the port."""
        if not self._avoids_direct():
            try:
                return await self._try(
                    self._direct.write,
                    name,
                    body,
                    expected,
                )
            except StoreUnavailable as exc:
                self._note_failure(exc)
                raise
        reply = await self._ask(
            StoreWrite(name=name, body=body, expected=expected),
        )
        if isinstance(reply, StoreFailed) and reply.refused:
            raise StoreRefused(detail=f'{name}: refused at a peer')
        if not isinstance(reply, StoreWritten):
            raise StoreUnavailable(detail=f'{name}: no host reaches the store')
        if reply.conflict:
            raise StoreConflict(detail=name, version=reply.version)
        return reply.version

    async def delete(self, name: str, expected: int) -> int:
        """See the port."""
        return await self._direct.delete(name, expected)

    async def list_names(self, prefix: str) -> Listing:
        """See the port."""
        return await self._direct.list_names(prefix)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """See the port."""
        return await self._direct.watch(prefix, after, wait_s)

    async def watch_page(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> Listing:
        """See the port."""
        return await self._direct.watch_page(prefix, after, wait_s)

    async def _read_and_keep(self, name: str) -> Stored | None:
        stored = self.copies.find(name)
        if stored is None:
            stored = await self.read(name)
            if stored is not None:
                self.copies.put(stored)
        return stored

    def _avoids_direct(self) -> bool:
        if self._state.now() < self._avoid_until:
            return True
        return self.is_unavailable() and bool(self._find_peer())

    async def _try(self, func, *args):
        """Calls the store for a short time if a peer could do it instead."""
        if not self._find_peer():
            return await func(*args)
        suspected = self._state.now() < self._state.short_store_timeout_until
        timeout_s = SUSPECTED_TIMEOUT_S if suspected else DIRECT_TIMEOUT_S
        try:
            return await with_timeout(timeout_s, func, *args)
        except TimeoutError as exc:
            raise StoreUnavailable(detail=str(exc)) from exc

    def _note_failure(self, exc: StoreUnavailable) -> None:
        if self._find_peer():
            self._avoid_until = self._state.now() + AVOID_S
            log_event('store_by_peer', detail=exc.detail)

    def _find_peer(self) -> RelayHost | None:
        if self._state.settings.runs_batches:
            # Another runner takes over from one that is turned away.
            return None
        feeder = self._state.find_host_by_address(
            self._state.find_update_source()
        )
        if feeder and self._state.now() >= self._avoid_feeder_until:
            return feeder
        return self._peer_requests.choose()

    async def _ask(self, call: Record) -> Record | None:
        peer = self._find_peer()
        if peer is None:
            return None
        try:
            reply = await self._peer_requests.request(
                peer, call, PEER_TIMEOUT_S
            )
        except PeerUnavailable as exc:
            log_event('store_peer_silent', detail=exc.detail)
            self._avoid_feeder_until = self._state.now() + AVOID_S
            return StoreFailed(refused=False)
        if isinstance(reply, StoreFailed):
            # The next call tries the store itself again.
            self._avoid_until = 0.0
        return reply


async def answer_store_call(
    store: ObjectStore,
    call: StoreRead | StoreWrite,
) -> Record:
    """Makes a call for another host, never through a third one."""
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
