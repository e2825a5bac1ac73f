"""Questions to other hosts, whose answers show which data centres are heard."""

from jacinthmount.records import Record

from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.relay.state import RelayState

__all__ = ('TrackedLinks',)


class TrackedLinks:
    """Links to other hosts that note where answers come from."""

    __slots__ = ('_links', '_state')

    def __init__(self, *, links: PeerLinks, state: RelayState) -> None:
        """Takes the links to use."""
        self._links = links
        self._state = state

    async def request_at(
        self,
        address: str,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Sends a message to an address and waits for its reply.

        :raises PeerUnavailable: no reply in time.
        """
        reply = await self._links.request_at(address, body, timeout_s)
        host = self._state.find_host_by_address(address)
        if host is not None:
            now = self._state.now()
            self._state.centres.on_contact(host.data_centre, now)
        return reply

    async def keep_only(self, addresses: set[str]) -> None:
        """Closes the links to hosts that are gone.

        Seeds that are no hosts are linked to again when they are asked.
        """
        await self._links.keep_only(addresses)
