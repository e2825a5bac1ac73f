"""State shared by the tasks of one relay process."""

import math
import random
import uuid

from jacinthmount.cold_period import ColdLimit, host_limit, runner_limit
from jacinthmount.crash_breaker import CrashBreaker
from jacinthmount.endpoint_limit import RUNNER_SHARE, host_share
from jacinthmount.endpoint_reach import EndpointReach
from jacinthmount.endpoint_table import (
    EndpointEntry,
    EndpointTable,
    LeavingEndpoint,
)
from jacinthmount.errors import NotConfigured
from jacinthmount.fleet_config import FleetConfig
from jacinthmount.item_batches import SegmentCounts
from jacinthmount.leadership import Leadership
from jacinthmount.peer_choice import PeerChoice
from jacinthmount.placement import EndpointUse, Placement
from jacinthmount.ports import Clock, ObjectStore
from jacinthmount.reachability import DataCentreContacts
from jacinthmount.report_pace import ReportPace
from jacinthmount.stop_time import StopTime
from jacinthmount.stream_origins import StreamOrigins
from jacinthmount.version_history import VersionHistory

from jacinthmount_node.logs import log_event
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.settings import RelaySettings

__all__ = ('RelayState',)

UUID_BITS = 128
# The longest stream, and the pauses of a caller that takes it up.
STREAM_VALID_S = 15.0


class RelayState:
    """Configuration, endpoints and hosts as known to this process."""

    __slots__ = (
        '_active_reply_at',
        '_config',
        '_source_reply_at',
        '_source_address',
        '_fronts',
        '_hosts',
        '_hosts_by_address',
        '_limit_share',
        'breaker',
        'centres',
        'clock',
        'config_revision',
        'endpoints',
        'evacuated',
        'incarnation',
        'leadership',
        'leaving',
        'metrics',
        'origins',
        'pace',
        'peer_choice',
        'placements',
        'reach',
        'rng',
        'segments',
        'settings',
        'stop',
        'store',
        'short_store_timeout_until',
        'versions',
    )

    def __init__(
        self,
        *,
        settings: RelaySettings,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.incarnation = uuid.UUID(int=rng.getrandbits(UUID_BITS)).hex
        self._config: FleetConfig | None = None
        self.config_revision = 0
        self.endpoints = EndpointTable()
        self.reach = EndpointReach()
        self.breaker = CrashBreaker()
        self.placements: dict[str, Placement] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._hosts: dict[str, RelayHost] = {}
        self._hosts_by_address: dict[str, RelayHost] = {}
        self._fronts: list[str] = []
        # Part of the limits of endpoints that this process may use.
        self._limit_share = RUNNER_SHARE
        self.pace = ReportPace(hosts=0)
        self.leadership = Leadership(host=settings.host, now=clock.now())
        self.centres = DataCentreContacts(own=settings.data_centre)
        # Last reply of a runner that can reach the store, which makes it the
        # update source of this host.
        self._source_reply_at = -math.inf
        self._active_reply_at = -math.inf
        self._source_address = ''
        self.segments = SegmentCounts()
        self.peer_choice = PeerChoice(rng=rng)
        # Until then store calls have a short time-out: the active runner did
        # not reply, so the store may be unreachable as well.
        self.short_store_timeout_until = -math.inf
        self.leaving = False
        self.stop = StopTime()
        self.origins = StreamOrigins(valid_s=STREAM_VALID_S)
        self.versions = VersionHistory(now=clock.now())

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self.clock.now()

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.settings.host

    @property
    def hosts(self) -> dict[str, RelayHost]:
        """Registered hosts by name."""
        return self._hosts

    def update_hosts(self, hosts: list[RelayHost]) -> None:
        """Replaces the registered hosts."""
        self._hosts = {one.host: one for one in hosts}
        self._hosts_by_address = {one.peer_address: one for one in hosts}
        self._fronts = [one.host for one in hosts if not one.runs_batches]
        self.pace = ReportPace(hosts=len(hosts))
        if not self.settings.runs_batches:
            self._limit_share = host_share(len(self._fronts))
        self._update_cold_limits()

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._config is not None

    @property
    def config(self) -> FleetConfig:
        """Configuration in force.

        :raises NotConfigured: none is known yet.
        """
        if self._config is None:
            raise NotConfigured(
                detail='no configuration is known yet',
                retry_after_s=0.5,
            )
        return self._config

    def apply_config(self, config: FleetConfig, revision: int) -> bool:
        """Applies a configuration unless one as new is in force already.

        :returns: whether the configuration was applied.
        """
        if revision <= self.config_revision:
            return False
        self._config = config
        self.config_revision = revision
        self._update_cold_limits()
        return True

    def placement(self, service: str) -> Placement:
        """Returns the placement over the endpoints of a service."""
        found = self.placements.get(service)
        if found is None:
            now = self.now()
            found = Placement(rng=self.rng, centres=self.centres)
            found.apply_limit(self._cold_limit(service))
            found.apply_share(self._limit_share, now)
            found.apply_evacuations(self.evacuated, now)
            found.set_entries(self.endpoints.usable(service), now)
            self.placements[service] = found
        return found

    def apply_evacuations(self, data_centres: frozenset[str]) -> None:
        """Sets the data centres whose endpoints get no requests."""
        self.evacuated = data_centres
        for placement in self.placements.values():
            placement.apply_evacuations(data_centres, self.now())

    def refresh_placements(self) -> None:
        """Updates all placements from the registered endpoints."""
        self.versions.update(self.endpoints.entries(), self.now())
        for service, placement in self.placements.items():
            placement.set_entries(self.endpoints.usable(service), self.now())

    def note_leaving(self, entry: EndpointEntry) -> None:
        """Records that an endpoint announced its shutdown in a response."""
        self.add_leaving(
            [
                LeavingEndpoint(
                    endpoint_id=entry.endpoint_id,
                    address=entry.address,
                    started_at_ms=entry.started_at_ms,
                ),
            ],
        )

    def add_leaving(self, leaving: list[LeavingEndpoint]) -> None:
        """Records endpoints that announced their shutdown."""
        added = [one for one in leaving if self.endpoints.note_leaving(one)]
        for one in added:
            log_event('endpoint_leaves', endpoint=one.endpoint_id)
        if added:
            self.refresh_placements()

    def find_endpoint_use(self, endpoint_id: str) -> EndpointUse | None:
        """Finds the load of an endpoint, or None if it is not registered."""
        entry = self.endpoints.find(endpoint_id)
        if entry is None:
            return None
        return self.placement(entry.service).find(endpoint_id)

    def note_update_source(self, address: str, *, by_active: bool) -> None:
        """Records a reply of a runner that can reach the store.

        :param address: peer address of the runner.
        :param by_active: whether it is the active runner.
        """
        now = self.now()
        if by_active:
            self._active_reply_at = now
        elif not self._accepts_standby_updates(now):
            return
        self._source_reply_at = now
        self._source_address = address

    def has_update_source(self) -> bool:
        """Returns whether a runner sends updates to this host.

        Runners query the store themselves.
        """
        return not self.settings.runs_batches and bool(
            self.find_update_source()
        )

    def find_update_source(self) -> str:
        """Finds the peer address of the runner that sends updates.

        :returns: empty if no runner replied within the validity period.
        """
        if (
            self.now() - self._source_reply_at
            >= self.pace.update_source_valid_s
        ):
            return ''
        return self._source_address

    def find_host_by_address(self, address: str) -> RelayHost | None:
        """Finds the host with a peer address."""
        return self._hosts_by_address.get(address)

    def fronts(self) -> list[str]:
        """Lists the names of the hosts that serve callers."""
        return self._fronts

    def pick_peer(self) -> RelayHost | None:
        """Picks another front that may forward requests of this host."""
        others = [one for one in self._fronts if one != self.host]
        chosen = self.peer_choice.choose(others, self.now())
        return self._hosts[chosen] if chosen else None

    def runners(self) -> list[RelayHost]:
        """Lists the other hosts that can run batch items."""
        return [
            one
            for one in self._hosts.values()
            if one.runs_batches and one.host != self.host
        ]

    def _update_cold_limits(self) -> None:
        for service, placement in self.placements.items():
            placement.apply_limit(self._cold_limit(service))
            placement.apply_share(self._limit_share, self.now())

    def _cold_limit(self, service: str) -> ColdLimit:
        rule = self._config.services.get(service) if self._config else None
        period_s = rule.cold_start_s if rule else 0.0
        per_s = rule.cold_per_s if rule else 0.0
        if self.settings.runs_batches:
            return runner_limit(period_s, per_s)
        return host_limit(period_s, per_s, len(self._fronts))

    def _accepts_standby_updates(self, now: float) -> bool:
        # Only for a limited time: a standby that is not active may not detect
        # that the store refuses its requests.
        since_active_reply_s = now - self._active_reply_at
        standby_updates_s = self.pace.standby_updates_s
        latest_s = self.pace.update_source_valid_s + standby_updates_s
        return (
            bool(standby_updates_s)
            and self.pace.update_source_lost_after_s
            <= since_active_reply_s
            < latest_s
        )
