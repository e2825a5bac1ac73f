"""Shared state of one node: configuration, members, shares and routers."""

import random
import uuid
from collections.abc import Iterator

from jacinthmount.catalogue import Catalogue
from jacinthmount.crash_breaker import (
    BlockedParts,
    BlockedRequest,
    CrashBreaker,
    RecordedRequest,
)
from jacinthmount.declarations import (
    CONFIG_PREFIX,
    SCHEMAS,
    Account,
    DataCentre,
    Endpoint,
    Service,
)
from jacinthmount.errors import MalformedRecord
from jacinthmount.keys import KEY_PREFIX, KeyRecord, Keyring
from jacinthmount.members import HOST_PREFIX, HostRecord, PeerContacts
from jacinthmount.ports import Backend, Clock, ObjectStore, Stored
from jacinthmount.records import parse_json
from jacinthmount.retries import RetryBudget
from jacinthmount.routing import EndpointState, Router
from jacinthmount.settings import Settings
from jacinthmount.shares import (
    SHARE_PREFIX,
    AccountLimit,
    HostBuckets,
    ShareTable,
    split_limits,
)
from jacinthmount.stop_time import StopTime
from jacinthmount.table import ConfigTable

from jacinthmount_node.blocked_store import (
    FLEET_BLOCKED_PREFIX,
    BlockedStore,
    log_blocked,
)
from jacinthmount_node.logs import log_event
from jacinthmount_node.metrics import Metrics

__all__ = ('Node',)


class Node:
    """Shared state of one node, which its tasks read and update."""

    __slots__ = (
        'breaker',
        'budget',
        'catalogue',
        'clock',
        'engine',
        'contacts',
        'host_buckets',
        'keyring',
        'loaded',
        'members',
        'metrics',
        'plain',
        'ready',
        'rng',
        'routers',
        'settings',
        'share_tables',
        'splits',
        'stop',
        'store',
        'table',
        'waiting',
    )

    def __init__(
        self,
        *,
        settings: Settings,
        store: ObjectStore,
        clock: Clock,
        engine: Backend,
        plain: Backend,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.clock = clock
        self.engine = engine
        self.plain = plain
        self.rng = rng
        self.metrics = Metrics()
        self.breaker = CrashBreaker()
        self.table = ConfigTable()
        self.catalogue = Catalogue(records=[])
        self.keyring = Keyring()
        self.members: dict[str, HostRecord] = {}
        self.contacts = PeerContacts(now=clock.now())
        self.host_buckets = HostBuckets(
            host=settings.host,
            incarnation=uuid.uuid4().hex,
        )
        self.routers: dict[str, Router] = {}
        self.budget = RetryBudget(now=clock.now())
        # Online requests that wait on this host, by service.
        self.waiting: dict[str, int] = {}
        # Limits of each account, by account and data centre.
        self.splits: dict[str, dict[str, AccountLimit]] = {}
        self.share_tables: list[ShareTable] = []
        self.loaded = False
        self.ready = False
        self.stop = StopTime()

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.settings.host

    @property
    def blocked_store(self) -> BlockedStore:
        """Records of the requests on which endpoints crashed."""
        return BlockedStore(store=self.store, prefix=FLEET_BLOCKED_PREFIX)

    @property
    def incarnation(self) -> str:
        """Identifies this run of the process."""
        return self.host_buckets.incarnation

    @property
    def data_centre(self) -> str:
        """Name of the data centre of this host."""
        return self.settings.data_centre

    def iter_states(self) -> Iterator[EndpointState]:
        """Yields the routing state of each endpoint in this data centre."""
        for router in self.routers.values():
            yield from router.states()

    def state_of(self, endpoint: Endpoint) -> EndpointState | None:
        """Finds an endpoint's routing state; None in other data centres."""
        return self.router(endpoint.service).find(endpoint.name)

    def has_waiting(self, service: str) -> bool:
        """Checks whether online requests of a service wait on this host."""
        return self.waiting.get(service, 0) > 0

    def backend(self, service: str) -> Backend:
        """Returns the adapter for the endpoints of a service."""
        is_model = self.catalogue.kind_of(service) == 'model'
        return self.engine if is_model else self.plain

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self.clock.now()

    def confirmed(self) -> bool:
        """Checks whether this host may use its slot in the share table."""
        return self.host_buckets.listed() and self.contacts.confirmed(
            self.host,
            self.host_buckets.slots(),
            self.now(),
        )

    def local_hosts(self) -> list[str]:
        """Lists the hosts of the data centre that are not leaving."""
        return [
            record.host
            for record in self.members.values()
            if record.data_centre == self.data_centre and not record.leaving
        ]

    def live_hosts(self) -> list[str]:
        """Lists the hosts of the data centre with recent requests to this one.

        This host is included unless it is leaving.
        """
        hosts = self.local_hosts()
        stale = set(self.contacts.unresponsive(hosts, self.now()))
        return [
            host for host in hosts if host not in stale or host == self.host
        ]

    def router(self, service: str) -> Router:
        """Returns the router of a service, created on first use."""
        router = self.routers.get(service)
        if router is None:
            router = Router(rng=self.rng)
            router.set_endpoints(
                self.catalogue.endpoints(service, self.data_centre),
            )
            self.routers[service] = router
        return router

    def apply(self, changed: list[Stored]) -> None:
        """Updates the state that follows from changed configuration objects."""
        for changed_key in changed:
            if changed_key.name.startswith(KEY_PREFIX):
                self._apply_key(changed_key)
        names = [stored.name for stored in changed]
        if any(name.startswith(CONFIG_PREFIX) for name in names):
            self._rebuild_catalogue()
        if any(name.startswith(SHARE_PREFIX) for name in names):
            self._rebuild_share_tables()
        if any(name.startswith(HOST_PREFIX) for name in names):
            self._rebuild_members()
        if any(name.startswith(FLEET_BLOCKED_PREFIX) for name in names):
            self._rebuild_blocked()
        self.metrics.table_revision.set(self.table.revision)

    def _apply_key(self, stored: Stored) -> None:
        if stored.body is None:
            self.keyring.withdraw(stored.name.removeprefix(KEY_PREFIX))
            return
        try:
            self.keyring.put(parse_json(KeyRecord, stored.body))
        except MalformedRecord:
            log_event('bad_object', name=stored.name)

    def _rebuild_catalogue(self) -> None:
        records = []
        for stored in self.table.iter_prefix(CONFIG_PREFIX):
            kind = stored.name.removeprefix(CONFIG_PREFIX).partition('/')[0]
            try:
                record_type, _ = SCHEMAS[kind]
                records.append(parse_json(record_type, stored.body or ''))
            except (MalformedRecord, KeyError):
                log_event('bad_object', name=stored.name)
        self.catalogue = Catalogue(records=records)
        for service in self.catalogue.list_records(Service):
            self.router(service.name).set_endpoints(
                self.catalogue.endpoints(service.name, self.data_centre),
            )
        self._rebuild_limits()

    def _rebuild_limits(self) -> None:
        data_centres = self.catalogue.list_records(DataCentre)
        limits = {}
        splits = {}
        for account in self.catalogue.list_records(Account):
            split = split_limits(account, data_centres)
            splits[account.name] = split
            limit = split.get(self.data_centre)
            if limit is not None:
                limits[account.name] = limit
        self.splits = splits
        self.host_buckets.apply_limits(limits, self.now())

    def _rebuild_share_tables(self) -> None:
        tables = []
        for stored in self.table.iter_prefix(SHARE_PREFIX):
            try:
                tables.append(parse_json(ShareTable, stored.body or ''))
            except MalformedRecord:
                log_event('bad_object', name=stored.name)
        self.share_tables = tables

    def _rebuild_members(self) -> None:
        members = {}
        for stored in self.table.iter_prefix(HOST_PREFIX):
            try:
                record = parse_json(HostRecord, stored.body or '')
            except MalformedRecord:
                log_event('bad_object', name=stored.name)
                continue
            members[record.host] = record
        self.members = members

    def _rebuild_blocked(self) -> None:
        now = self.now()
        parts: list[BlockedParts] = []
        requests: list[RecordedRequest] = []
        records = self.blocked_store
        for stored in self.table.iter_prefix(FLEET_BLOCKED_PREFIX):
            blocked = records.parse(stored)
            if blocked is None:
                continue
            log_blocked('block_recorded', blocked)
            if isinstance(blocked, BlockedRequest):
                requests.append(
                    RecordedRequest(
                        blocked=blocked, version=stored.version, seen_at=now
                    )
                )
            else:
                parts.append(blocked)
        self.breaker.apply_recorded(parts, requests, now)
        self.metrics.blocked_requests.set(len(requests))
