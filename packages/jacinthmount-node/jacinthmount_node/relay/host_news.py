"""Delivery of what one host has learned to the other hosts."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('HostNews',)

NEWS_TIMEOUT_S = 0.3


class HostNews:
    """Sends news to all other hosts, or exchanges them with one."""

    __slots__ = ('_links', '_state')

    def __init__(self, *, state: RelayState, links: TrackedLinks) -> None:
        self._state = state
        self._links = links

    async def publish(self, news: Record) -> None:
        """Sends news to all other hosts without waiting for them."""
        for host in self._others():
            await curio.spawn(self.send, host, news, daemon=True)

    async def exchange(self, news: Record) -> Record | None:
        """Sends news to another host, chosen at random.

        :returns: its reply, or None if there is none.
        """
        others = self._others()
        if not others:
            return None
        return await self.send(self._state.rng.choice(others), news)

    async def send(self, host: RelayHost, news: Record) -> Record | None:
        """Sends news to one host.

        :returns: its reply, or None if there is none.
        """
        try:
            return await self._links.request_at(
                host.peer_address, news, NEWS_TIMEOUT_S
            )
        except PeerUnavailable as exc:
            # A later exchange repeats what was missed.
            log_event(
                'news_not_delivered',
                peer=host.host,
                news=type(news).__name__,
                detail=exc.detail,
            )
            return None

    def _others(self) -> list[RelayHost]:
        return [
            host
            for host in self._state.hosts.values()
            if host.host != self._state.host
        ]
