"""State that the tasks of one relay process share."""

import math
import random
import uuid

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

from jacinthmount_node.logs import log_event
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.settings import RelaySettings

__all__ = ('RelayState',)

UUID_BITS = 128


class RelayState:
    """Configuration, endpoints and hosts as this process knows them."""

    __slots__ = (
        '_active_fed_at',
        '_config',
        '_fed_at',
        '_fed_by',
        '_fronts',
        '_hosts',
        '_hosts_by_address',
        'centres',
        'clock',
        'config_revision',
        'endpoints',
        'incarnation',
        'leadership',
        'leaving',
        'metrics',
        'pace',
        'peer_choice',
        'placements',
        'rng',
        'segments',
        'settings',
        'store',
        'short_store_timeout_until',
    )

    def __init__(
        self,
        *,
        settings: RelaySettings,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Starts without configuration."""
        self.settings = settings
        self.store = store
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.incarnation = uuid.UUID(int=rng.getrandbits(UUID_BITS)).hex
        self._config: FleetConfig | None = None
        self.config_revision = 0
        self.endpoints = EndpointTable()
        self.placements: dict[str, Placement] = {}
        self._hosts: dict[str, RelayHost] = {}
        self._hosts_by_address: dict[str, RelayHost] = {}
        self._fronts: list[str] = []
        self.pace = ReportPace(hosts=0)
        self.leadership = Leadership(host=settings.host, now=clock.now())
        self.centres = DataCentreContacts(own=settings.data_centre)
        # When a runner that reaches the store last answered this host.
        self._fed_at = -math.inf
        self._active_fed_at = -math.inf
        self._fed_by = ''
        self.segments = SegmentCounts()
        self.peer_choice = PeerChoice(rng=rng)
        # Until then the store is given little time, since the runner was
        # silent.
        self.short_store_timeout_until = -math.inf
        self.leaving = False

    def now(self) -> float:
        """Reads monotonic time in seconds."""
        return self.clock.now()

    @property
    def host(self) -> str:
        """Names this host."""
        return self.settings.host

    @property
    def hosts(self) -> dict[str, RelayHost]:
        """Gives the registered hosts by name."""
        return self._hosts

    def update_hosts(self, hosts: list[RelayHost]) -> None:
        """Takes the registered hosts."""
        self._hosts = {one.host: one for one in hosts}
        self._hosts_by_address = {one.peer_address: one for one in hosts}
        self._fronts = [one.host for one in hosts if not one.runs_batches]
        self.pace = ReportPace(hosts=len(hosts))

    @property
    def configured(self) -> bool:
        """Tells whether a configuration is in force."""
        return self._config is not None

    @property
    def config(self) -> FleetConfig:
        """Gives the configuration in force.

        :raises NotConfigured: none is known yet.
        """
        if self._config is None:
            raise NotConfigured(
                detail='no configuration is known yet',
                retry_after_s=0.5,
            )
        return self._config

    def apply_config(self, config: FleetConfig, revision: int) -> bool:
        """Puts a configuration in force unless a newer one is.

        :returns: whether it is in force now.
        """
        if revision <= self.config_revision:
            return False
        self._config = config
        self.config_revision = revision
        return True

    def placement(self, service: str) -> Placement:
        """Finds the endpoints of a service."""
        found = self.placements.get(service)
        if found is None:
            found = Placement(rng=self.rng, centres=self.centres)
            found.set_entries(self.endpoints.usable(service))
            self.placements[service] = found
        return found

    def refresh_placements(self) -> None:
        """Brings all placements in line with the registrations."""
        for service, placement in self.placements.items():
            placement.set_entries(self.endpoints.usable(service))

    def note_leaving(self, entry: EndpointEntry) -> None:
        """Notes that an endpoint announced in an answer that it leaves."""
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
        """Takes which endpoints announced that they leave."""
        news = [one for one in leaving if self.endpoints.note_leaving(one)]
        for one in news:
            log_event('endpoint_leaves', endpoint=one.endpoint_id)
        if news:
            self.refresh_placements()

    def find_endpoint_use(self, endpoint_id: str) -> EndpointUse | None:
        """Finds what is known of the load of an endpoint."""
        entry = self.endpoints.find(endpoint_id)
        if entry is None:
            return None
        return self.placement(entry.service).find(endpoint_id)

    def note_update_source(self, address: str, *, by_active: bool) -> None:
        """Notes that a runner that reaches the store answered this host."""
        now = self.now()
        if by_active:
            self._active_fed_at = now
        elif not self._may_be_fed_by_standby(now):
            return
        self._fed_at = now
        self._fed_by = address

    def find_update_source(self) -> str:
        """Finds the peer address over which a runner feeds this host.

        Empty where none did lately.
        """
        if self.now() - self._fed_at >= self.pace.update_source_valid_s:
            return ''
        return self._fed_by

    def find_host_by_address(self, address: str) -> RelayHost | None:
        """Finds the host with a peer address."""
        return self._hosts_by_address.get(address)

    def fronts(self) -> list[str]:
        """Names the hosts that serve callers."""
        return self._fronts

    def pick_peer(self) -> RelayHost | None:
        """Picks another host that serves callers, to ask on its behalf."""
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

    def _may_be_fed_by_standby(self, now: float) -> bool:
        # Not for long, as it may not notice that the store turns it away.
        silent_s = now - self._active_fed_at
        feeds_s = self.pace.standby_updates_s
        latest_s = self.pace.update_source_valid_s + feeds_s
        return (
            bool(feeds_s)
            and self.pace.update_source_lost_after_s <= silent_s < latest_s
        )
