"""Peer links that record the last contact with each data centre."""

import curio
from jacinthmount.errors import PeerClosed, PeerUnavailable
from jacinthmount.peer_builds import PeerBuilds
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.messages import Hello
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.new_messages import NEW_MESSAGES
from jacinthmount_node.relay.state import RelayState

__all__ = ('TrackedLinks', 'open_links')


class TrackedLinks:
    """Wraps peer links and records the data centre of each reply."""

    __slots__ = ('_builds', '_first', '_links', '_state')

    def __init__(self, *, links: PeerLinks, state: RelayState) -> None:
        self._builds = PeerBuilds()
        # Ends of the first new messages that are under way, by incarnation.
        self._first: dict[str, curio.Event] = {}
        self._links = links
        self._state = state

    async def request_at(
        self,
        address: str,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Sends a message to an address and waits for its reply.

        :raises PeerUnavailable: no reply in time, or the host runs an earlier
            build that doesn't understand the message.
        """
        host = self._state.find_host_by_address(address)
        if host is not None and isinstance(body, NEW_MESSAGES):
            reply = await self._request_new(host, body, timeout_s)
        else:
            reply = await self._links.request_at(address, body, timeout_s)
        if host is not None:
            now = self._state.now()
            self._state.centres.on_contact(host.data_centre, now)
        return reply

    def may_understand_news(self, host: RelayHost) -> bool:
        """Returns whether a host may run a build that knows new messages."""
        return self._builds.may_ask(host.incarnation, self._state.now())

    async def keep_only(self, addresses: set[str]) -> None:
        """Closes the links to hosts that are no longer registered.

        A link to a seed that is not a registered host is opened again by the
        next request to it.
        """
        self._builds.keep_only({
            host.incarnation for host in self._state.hosts.values()
        })
        await self._links.keep_only(addresses)

    async def _request_new(
        self, host: RelayHost, body: Record, timeout_s: float
    ) -> Record:
        """Sends a message that hosts of an earlier build don't understand.

        Until a host has answered one, one at a time goes over a connection of
        its own, since an earlier build closes it; the others wait for its end.
        """
        first = self._first.get(host.incarnation)
        if first is not None:
            await first.wait()
        address = host.peer_address
        if self._builds.understands(host.incarnation):
            return await self._links.request_at(address, body, timeout_s)
        if first is not None:
            raise PeerUnavailable(detail=f'{host.host}: no first reply')
        return await self._request_first(host, body, timeout_s)

    async def _request_first(
        self, host: RelayHost, body: Record, timeout_s: float
    ) -> Record:
        if not self.may_understand_news(host):
            raise PeerUnavailable(detail=f'{host.host} runs an earlier build')
        ended = curio.Event()
        self._first[host.incarnation] = ended
        try:
            return await self._request_apart(host, body, timeout_s)
        finally:
            self._first.pop(host.incarnation)
            await ended.set()

    async def _request_apart(
        self, host: RelayHost, body: Record, timeout_s: float
    ) -> Record:
        try:
            reply = await self._links.request_apart(
                host.peer_address, body, timeout_s
            )
        except PeerClosed:
            self._builds.on_closed(host.incarnation, self._state.now())
            log_event(
                'message_not_understood',
                peer=host.host,
                message=type(body).__name__,
            )
            raise
        self._builds.on_reply(host.incarnation)
        return reply


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
