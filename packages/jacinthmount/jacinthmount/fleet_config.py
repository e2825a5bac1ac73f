"""Configuration of the relay: routes, services, accounts and limits.

One value holds everything that is in force under one version, so that a host
goes from version to version as a whole.
"""

import random

from jacinthmount.keys import hash_secret
from jacinthmount.records import Record

__all__ = (
    'AccountRule',
    'CallerLimits',
    'FleetConfig',
    'RouteRule',
    'ServiceRule',
    'WeightedService',
)


class WeightedService(Record):
    """A service and its part of the requests of a route."""

    __slots__ = ('service', 'weight')

    service: str
    weight: float


class RouteRule(Record):
    """How requests under a host name and path prefix are run.

    ``idempotent`` tells whether a request may run more than once, and
    ``resumable`` whether a stream may go on at another endpoint after the
    events that were already received. The last three fields count only for
    routes that take batches; ``waiting_token_cap`` 0 means no limit.
    """

    __slots__ = (
        'name',
        'host_name',
        'path_prefix',
        'streams',
        'takes_batches',
        'idempotent',
        'resumable',
        'public',
        'timeout_s',
        'target_s',
        'max_attempts',
        'services',
        'completion_s',
        'retention_s',
        'waiting_token_cap',
    )

    name: str
    host_name: str
    path_prefix: str
    streams: bool
    takes_batches: bool
    idempotent: bool
    resumable: bool
    public: bool
    timeout_s: float
    target_s: float
    max_attempts: int
    services: list[WeightedService]
    completion_s: float
    retention_s: float
    waiting_token_cap: int

    def pick_service(self, rng: random.Random) -> str:
        """Picks a service by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [max(0.0, one.weight) for one in self.services]
        if not sum(weights):
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


class ServiceRule(Record):
    """A service; ``slots`` is what each endpoint runs at a time."""

    __slots__ = ('name', 'slots', 'max_connections')

    name: str
    slots: int
    max_connections: int


class AccountRule(Record):
    """A client account; a rate of 0 means no limit."""

    __slots__ = ('name', 'key_hashes', 'rate_per_s', 'burst')

    name: str
    key_hashes: list[str]
    rate_per_s: float
    burst: float


class CallerLimits(Record):
    """What callers may send, and how long they may take or stay idle."""

    __slots__ = ('header_bytes', 'body_bytes', 'header_s', 'idle_s')

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class FleetConfig:
    """Everything in force under one version, with its indexes."""

    __slots__ = (
        '_accounts',
        '_by_host_name',
        '_by_key_hash',
        '_by_name',
        'limits',
        'services',
        'version',
    )

    def __init__(
        self,
        *,
        version: int,
        routes: list[RouteRule],
        services: list[ServiceRule],
        accounts: list[AccountRule],
        limits: CallerLimits,
    ) -> None:
        """Builds the indexes."""
        self.version = version
        self.limits = limits
        self.services = {one.name: one for one in services}
        self._accounts = {one.name: one for one in accounts}
        self._by_key_hash = {
            key_hash: one for one in accounts for key_hash in one.key_hashes
        }
        self._by_host_name: dict[str, list[RouteRule]] = {}
        for one in routes:
            self._by_host_name.setdefault(one.host_name, []).append(one)
        for found in self._by_host_name.values():
            found.sort(key=_specificity, reverse=True)
        self._by_name = {route.name: route for route in routes}

    def find_route(self, host_name: str, path: str) -> RouteRule | None:
        """Finds the route with the longest prefix that begins a path."""
        name = host_name.partition(':')[0].lower()
        for route in self._by_host_name.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route_named(self, name: str) -> RouteRule | None:
        """Finds a route by its name."""
        return self._by_name.get(name)

    def find_account(self, name: str) -> AccountRule | None:
        """Finds an account by its name."""
        return self._accounts.get(name)

    def account_of_key(self, key: str) -> AccountRule | None:
        """Finds the account that holds a key, or None."""
        return self._by_key_hash.get(hash_secret(key))

    def bursts(self) -> dict[str, float]:
        """Tells the burst of each account."""
        return {one.name: one.burst for one in self._accounts.values()}

    @property
    def has_accounts(self) -> bool:
        """Tells whether callers have to present keys."""
        return bool(self._accounts)


def _specificity(route: RouteRule) -> int:
    return len(route.path_prefix)
