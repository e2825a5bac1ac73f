"""Peer links that record the last contact with each data centre."""

from jacinthmount.records import Record

from jacinthmount_node.messages import Hello
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.relay.state import RelayState

__all__ = ('TrackedLinks', 'open_links')


class TrackedLinks:
    """Wraps peer links and records the data centre of each reply."""

    __slots__ = ('_links', '_state')

    def __init__(self, *, links: PeerLinks, state: RelayState) -> None:
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
        """Closes the links to hosts that are no longer registered.

        A link to a seed that is not a registered host is opened again by the
        next request to it.
        """
        await self._links.keep_only(addresses)


def open_links(state: RelayState) -> TrackedLinks:
    """Creates the links of a host, which connect at their first request."""
    cfg = state.settings
    return TrackedLinks(
        links=PeerLinks(
            local_ip=cfg.ip,
            context=None,
            hello=Hello(
                host=state.host,
                incarnation=state.incarnation,
                data_centre=cfg.data_centre,
            ),
            metrics=state.metrics,
        ),
        state=state,
    )
