"""Configuration of the relay: routes, services, accounts and limits.

One object holds the whole configuration of a version, so that a host switches
between versions atomically.
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
    """A service and its weight in the traffic split of a route."""

    __slots__ = ('service', 'weight')

    service: str
    weight: float


class RouteRule(Record):
    """Rules for requests that match a host name and a path prefix.

    ``idempotent`` means that a request may run more than once. ``resumable``
    means that another endpoint can continue a stream after the events already
    received. The last three fields apply only to routes that accept batches;
    a ``waiting_token_cap`` of 0 means no limit.
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
        """Picks a service at random by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [max(0.0, entry.weight) for entry in self.services]
        if not sum(weights):
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


class ServiceRule(Record):
    """A service; each endpoint runs up to ``slots`` requests at a time.

    An endpoint is cold for ``cold_start_s`` after its start, and tolerates
    ``cold_per_s`` requests per second meanwhile; 0 means no limit.
    """

    __slots__ = (
        'name',
        'slots',
        'max_connections',
        'cold_start_s',
        'cold_per_s',
    )

    name: str
    slots: int
    max_connections: int
    cold_start_s: float
    cold_per_s: float


class AccountRule(Record):
    """A client account; a rate of 0 means no limit."""

    __slots__ = ('name', 'key_hashes', 'rate_per_s', 'burst')

    name: str
    key_hashes: list[str]
    rate_per_s: float
    burst: float


class CallerLimits(Record):
    """Size limits and timeouts for callers."""

    __slots__ = ('header_bytes', 'body_bytes', 'header_s', 'idle_s')

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class FleetConfig:
    """The configuration of one version, with lookup indexes."""

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
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self._accounts = {account.name: account for account in accounts}
        self._by_key_hash = {
            key_hash: account
            for account in accounts
            for key_hash in account.key_hashes
        }
        self._by_host_name: dict[str, list[RouteRule]] = {}
        for rule in routes:
            self._by_host_name.setdefault(rule.host_name, []).append(rule)
        for host_routes in self._by_host_name.values():
            host_routes.sort(key=_specificity, reverse=True)
        self._by_name = {route.name: route for route in routes}

    def find_route(self, host_name: str, path: str) -> RouteRule | None:
        """Returns the route with the longest matching path prefix, or None."""
        name = host_name.partition(':')[0].lower()
        for route in self._by_host_name.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route_named(self, name: str) -> RouteRule | None:
        """Returns the route with a name, or None."""
        return self._by_name.get(name)

    def find_account(self, name: str) -> AccountRule | None:
        """Returns the account with a name, or None."""
        return self._accounts.get(name)

    def account_of_key(self, key: str) -> AccountRule | None:
        """Returns the account that a key belongs to, or None."""
        return self._by_key_hash.get(hash_secret(key))

    def bursts(self) -> dict[str, float]:
        """Returns the burst by account name."""
        return {
            account.name: account.burst for account in self._accounts.values()
        }

    @property
    def has_accounts(self) -> bool:
        """Whether callers must present keys."""
        return bool(self._accounts)


def _specificity(route: RouteRule) -> int:
    return len(route.path_prefix)
