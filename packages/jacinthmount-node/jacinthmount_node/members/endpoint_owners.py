"""Assignment of the data centre's endpoints to owner hosts.

The owner of an endpoint runs its batch items, polls its load and sends orders
to its engine.
"""

from jacinthmount.declarations import Endpoint
from jacinthmount.members import rank_hosts

from jacinthmount_node.node import Node

__all__ = ('EndpointOwners',)

OWNERS_VALID_S = 0.25


class EndpointOwners:
    """Owner host of each endpoint by rendezvous hashing.

    Owners change only with hosts and endpoints, while lookups are frequent, so
    the assignment is recomputed only a few times a second.
    """

    __slots__ = (
        '_changed',
        '_computed_at',
        '_node',
        '_owned',
        '_owner_hosts',
    )

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._owner_hosts: dict[str, str] = {}
        self._owned: list[Endpoint] = []
        self._changed: set[str] = set()
        self._computed_at = -OWNERS_VALID_S

    def owner_of(self, engine: str) -> str:
        """Returns the host that owns an endpoint."""
        self._refresh()
        return self._owner_hosts.get(engine, self._node.host)

    def list_owned(self) -> list[Endpoint]:
        """Lists the endpoints that this host owns."""
        self._refresh()
        return self._owned

    def take_changed(self) -> set[str]:
        """Returns the endpoints whose owner changed since the last call."""
        self._refresh()
        changed = self._changed
        self._changed = set()
        return changed

    def _refresh(self) -> None:
        node = self._node
        now = node.now()
        if now - self._computed_at < OWNERS_VALID_S:
            return
        self._computed_at = now
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
        self._changed.update(
            engine
            for engine, host in ranked.items()
            if self._owner_hosts.get(engine, host) != host
        )
        self._owner_hosts = ranked
        self._owned = [
            endpoint for endpoint in local if ranked[endpoint.name] == node.host
        ]
