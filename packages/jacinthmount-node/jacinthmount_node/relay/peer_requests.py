"""Requests to other hosts that act for a host without connectivity."""

from jacinthmount.errors import PeerUnavailable
from jacinthmount.records import Record

from jacinthmount_node.relay.messages import RelayHost, StoreFailed
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('PeerRequests',)


class PeerRequests:
    """Selects peers by the outcome of earlier requests and calls them."""

    __slots__ = ('_links', '_state')

    def __init__(self, *, state: RelayState, links: TrackedLinks) -> None:
        self._state = state
        self._links = links

    def choose(self) -> RelayHost | None:
        """Chooses a peer, or None if no other host serves callers."""
        return self._state.pick_peer()

    async def request(
        self,
        peer: RelayHost,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Sends a request to a peer and records whether it succeeded.

        :param timeout_s: seconds to wait for the reply.
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
