"""Addresses at which other hosts serve callers."""

from jacinthmount.errors import PeerUnavailable

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.new_messages import FrontAddress, FrontAsk
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('FrontAddresses',)

ASK_TIMEOUT_S = 0.2


class FrontAddresses:
    """Asks hosts for their addresses, each once in its lifetime.

    It also asks whether they run at all.
    """

    __slots__ = ('_known', '_links', '_state')

    def __init__(self, *, state: RelayState, links: TrackedLinks) -> None:
        self._state = state
        self._links = links
        # By incarnation.
        self._known: dict[str, str] = {}

    async def find(self, host: RelayHost) -> str:
        """Finds the address of a host.

        :raises PeerUnavailable: it doesn't answer, or serves no callers.
        """
        address = self._known.get(host.incarnation, '')
        if address:
            return address
        reply = await self._links.request_at(
            host.peer_address, FrontAsk(), ASK_TIMEOUT_S
        )
        if not isinstance(reply, FrontAddress) or not reply.address:
            raise PeerUnavailable(detail=f'{host.host} serves no callers')
        self._drop_gone()
        self._known[host.incarnation] = reply.address
        return reply.address

    async def is_alive(self, host: RelayHost) -> bool:
        """Asks a host whether it runs, which its link answers at once."""
        try:
            await self._links.request_at(
                host.peer_address, FrontAsk(), ASK_TIMEOUT_S
            )
        except PeerUnavailable as exc:
            log_event('helper_silent', helper=host.host, detail=exc.detail)
            return False
        return True

    def _drop_gone(self) -> None:
        current = {host.incarnation for host in self._state.hosts.values()}
        for incarnation in set(self._known) - current:
            self._known.pop(incarnation)
