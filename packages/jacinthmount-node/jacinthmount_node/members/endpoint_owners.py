"""Which host of the data centre decides about which endpoint."""

from jacinthmount.declarations import Endpoint
from jacinthmount.members import rank_hosts

from jacinthmount_node.node import Node

__all__ = ('Deciders',)

RANK_VALID_S = 0.25


class Deciders:
    """Ranks of hosts for endpoints, computed anew a few times a second.

    Ranks change only with hosts and endpoints, while requests come often.
    """

    __slots__ = ('_here', '_hosts', '_moved', '_node', '_ranked_at')

    def __init__(self, *, node: Node) -> None:
        """Takes the hosts and endpoints to rank."""
        self._node = node
        self._hosts: dict[str, str] = {}
        self._here: list[Endpoint] = []
        self._moved: set[str] = set()
        self._ranked_at = -RANK_VALID_S

    def host_of(self, engine: str) -> str:
        """Names the host that decides about an endpoint."""
        self._refresh()
        return self._hosts.get(engine, self._node.host)

    def endpoints_here(self) -> list[Endpoint]:
        """Lists the endpoints that this host decides about."""
        self._refresh()
        return self._here

    def take_moved(self) -> set[str]:
        """Names the endpoints whose host has changed since the last call."""
        self._refresh()
        moved = self._moved
        self._moved = set()
        return moved

    def _refresh(self) -> None:
        node = self._node
        now = node.now()
        if now - self._ranked_at < RANK_VALID_S:
            return
        self._ranked_at = now
        hosts = node.live_hosts() or [node.host]
        local = [
            endpoint
            for endpoint in node.catalogue.list_records(Endpoint)
            if endpoint.data_centre == node.data_centre
        ]
        ranked = {
            endpoint.name: rank_hosts(endpoint.name, hosts)[0]
            for endpoint in local
        }
        self._moved.update(
            engine
            for engine, host in ranked.items()
            if self._hosts.get(engine, host) != host
        )
        self._hosts = ranked
        self._here = [
            endpoint for endpoint in local if ranked[endpoint.name] == node.host
        ]
