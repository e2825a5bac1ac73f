"""Questions to another host on behalf of this one, which is cut off itself."""

from jacinthmount.errors import PeerUnavailable
from jacinthmount.records import Record

from jacinthmount_node.relay.messages import RelayHost, StoreFailed
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('PeerRequests',)


class PeerRequests:
    """Chooses hosts that can help, by what became of earlier questions."""

    __slots__ = ('_links', '_state')

    def __init__(self, *, state: RelayState, links: TrackedLinks) -> None:
        """Takes the links to other hosts."""
        self._state = state
        self._links = links

    def choose(self) -> RelayHost | None:
        """Chooses a host to ask; None if no other serves callers."""
        return self._state.pick_peer()

    async def request(
        self,
        peer: RelayHost,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Asks a host, and remembers whether it could help.

        :raises PeerUnavailable: no reply in time.
        """
        choice = self._state.peer_choice
        try:
            reply = await self._links.request_at(
                peer.peer_address,
                body,
                timeout_s,
            )
        except PeerUnavailable:
            choice.on_failed(peer.host, self._state.now())
            raise
        if isinstance(reply, StoreFailed):
            choice.on_failed(peer.host, self._state.now())
        else:
            choice.on_succeeded(peer.host, self._state.now())
        return reply
