"""Object store through another host while this one is turned away by it."""

from jacinthmount.errors import (
    PeerUnavailable,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.ports import Listing, ObjectStore, Stored
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.peers import PeerLinks
from jacinthmount_node.relay.messages import (
    StoreFailed,
    StoreFound,
    StoreRead,
    StoreWrite,
    StoreWritten,
)
from jacinthmount_node.relay.state import RelayState

__all__ = ('FallbackStore', 'answer_store_call')

AVOID_S = 2.0
PEER_TIMEOUT_S = 1.0


class FallbackStore(ObjectStore):
    """Reads and writes directly, or through a peer after a failure.

    A write that got no answer is never repeated here, since the repeat could
    meet its own effect; ``write_definitely`` knows how to tell.
    """

    __slots__ = ('_avoid_until', '_direct', '_links', '_state')

    def __init__(
        self,
        *,
        direct: ObjectStore,
        state: RelayState,
        links: PeerLinks,
    ) -> None:
        """Takes the store as this host reaches it."""
        self._direct = direct
        self._state = state
        self._links = links
        self._avoid_until = 0.0

    async def read(self, name: str) -> Stored | None:
        """See the port."""
        if not self._avoids_direct():
            try:
                return await self._direct.read(name)
            except StoreUnavailable as exc:
                self._note_failure(exc)
        reply = await self._ask(StoreRead(name=name))
        if isinstance(reply, StoreFound):
            return reply.stored
        raise StoreUnavailable(detail=f'{name}: no host reaches the store')

    async def write(self, name: str, body: str, expected: int) -> int:
        """See the port."""
        if not self._avoids_direct():
            try:
                return await self._direct.write(name, body, expected)
            except StoreUnavailable as exc:
                self._note_failure(exc)
                raise
        reply = await self._ask(
            StoreWrite(name=name, body=body, expected=expected),
        )
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

    def _avoids_direct(self) -> bool:
        return self._state.now() < self._avoid_until

    def _note_failure(self, exc: StoreUnavailable) -> None:
        if self._find_peer():
            self._avoid_until = self._state.now() + AVOID_S
            log_event('store_by_peer', detail=exc.detail)

    def _find_peer(self) -> str:
        feeder = self._state.find_feeder()
        if feeder:
            return feeder
        peer = self._state.pick_peer()
        return peer.peer_address if peer else ''

    async def _ask(self, call: Record) -> Record | None:
        address = self._find_peer()
        if not address:
            return None
        try:
            reply = await self._links.request_at(
                address,
                call,
                PEER_TIMEOUT_S,
            )
        except PeerUnavailable as exc:
            log_event('store_peer_silent', detail=exc.detail)
            reply = StoreFailed()
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
        return StoreFailed()
    return StoreWritten(version=version, conflict=False)
