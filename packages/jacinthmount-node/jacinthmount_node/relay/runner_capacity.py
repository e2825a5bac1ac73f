"""Capacity for batch items, from the online load that all hosts report."""

import math

from jacinthmount.batch_capacity import BatchCapacity
from jacinthmount.batch_order import ItemRun
from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.online_load import OnlineLoad
from jacinthmount.placement import EndpointUse

from jacinthmount_node.relay.messages import EndpointViews, HostReport
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunnerCapacity',)

# Time in which the hosts report their load on a new endpoint, or to a new
# active runner, before batch items may use it.
SETTLE_S = 0.6
# Largest number of endpoints that are compared for one request.
COMPARED_ENDPOINTS = 64
# Weight of one sample in the moving average; there are ten samples a second.
CAPACITY_WEIGHT = 0.02
# Largest count that is sent to hosts.
MAX_COUNT = 255


class RunnerCapacity:
    """Online load and batch items of each endpoint, on the active runner.

    The report of a host is valid until its next one, or until it expires.
    """

    __slots__ = (
        '_batch_capacities',
        '_load',
        '_mean_capacity',
        '_batch_starts_at',
        '_running',
        '_known_since',
        '_state',
    )

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._load = OnlineLoad()
        self._batch_capacities: dict[str, BatchCapacity] = {}
        self._known_since: dict[str, float] = {}
        self._batch_starts_at = -math.inf
        self._running: dict[str, dict[str, ItemRun]] = {}
        self._mean_capacity = 0.0

    def record_report(self, report: HostReport) -> None:
        """Records what a host has in flight; omitted endpoints have none."""
        uses = {use.endpoint_id: use.online for use in report.uses}
        self._load.take(report.host, uses, self._state.now())

    def place(self, host: str, service: str) -> str:
        """Chooses the endpoint for a request that a host is about to send.

        :returns: its id, or an empty string if all endpoints are full.
        """
        now = self._state.now()
        placement = self._state.placement(service)
        uses = placement.uses()
        # The first of equally loaded endpoints is chosen, so the order is
        # random.
        compared = self._state.rng.sample(
            uses,
            min(len(uses), COMPARED_ENDPOINTS),
        )
        candidates = [
            use
            for use in compared
            if self._accepts_online(use.entry)
            and placement.is_available(use, now)
            and use.may_send(now)
        ]
        if not candidates:
            return ''
        registered = self._state.hosts.get(host)
        data_centre = registered.data_centre if registered else ''
        chosen = min(candidates, key=lambda use: self._rank(use, data_centre))
        chosen.on_paced(now)
        self._load.begin(host, chosen.entry.endpoint_id, now)
        return chosen.entry.endpoint_id

    def delay_batch(self) -> None:
        """Delays batch items until all hosts had time to report.

        Called when a runner becomes active; there is no delay if most hosts
        have reported to it already.
        """
        if self._load.hosts() * 2 < len(self._state.hosts):
            self._batch_starts_at = self._state.now() + SETTLE_S

    def views(self, host: str) -> EndpointViews:
        """Returns the load of each endpoint apart from a host's own requests.

        :param host: the host whose online requests are left out.
        """
        known = self._state.endpoints.ids()
        return EndpointViews(
            digest=known.digest,
            online=bytes(
                min(MAX_COUNT, self._load.elsewhere(host, each_id))
                for each_id in known.ids
            ),
            batch=bytes(
                min(MAX_COUNT, len(self._running.get(each_id, ())))
                for each_id in known.ids
            ),
        )

    def reporting_hosts(self) -> int:
        """Counts the hosts with a valid report."""
        return self._load.hosts()

    def refresh(self) -> None:
        """Drops expired reports and removed endpoints, and adds new ones."""
        now = self._state.now()
        self._load.drop_stale_hosts(now - self._state.pace.host_valid_s)
        known = {entry.endpoint_id for entry in self._state.endpoints.entries()}
        for endpoint_id in set(self._known_since) - known:
            self._known_since.pop(endpoint_id)
        for endpoint_id in known:
            self._known_since.setdefault(endpoint_id, now)
        capacity = sum(self.capacity(known_id) for known_id in known)
        self._mean_capacity += (
            capacity - self._mean_capacity
        ) * CAPACITY_WEIGHT
        for service in self._state.placements:
            online = sum(
                self._load.total(entry.endpoint_id)
                for entry in self._state.endpoints.usable(service)
            )
            self._batch_capacity(service).note_online(online, now)

    def begin(self, run: ItemRun) -> None:
        """Records that an item starts to run."""
        self._running.setdefault(run.endpoint_id, {})[run.item_id] = run

    def end(self, run: ItemRun) -> None:
        """Records that an item no longer runs."""
        self._running.get(run.endpoint_id, {}).pop(run.item_id, None)

    def online(self, endpoint_id: str) -> int:
        """Counts the online requests in flight at an endpoint."""
        return self._load.total(endpoint_id)

    def running(self, endpoint_id: str) -> list[ItemRun]:
        """Lists the items that run on an endpoint."""
        return list(self._running.get(endpoint_id, {}).values())

    def all_running(self) -> list[ItemRun]:
        """Lists the items that run on any endpoint."""
        return [run for runs in self._running.values() for run in runs.values()]

    def mean_capacity(self) -> int:
        """Returns the moving average of the capacity of all endpoints."""
        return int(self._mean_capacity)

    def capacity(self, endpoint_id: str) -> int:
        """Counts the slots of an endpoint without an online request."""
        entry = self._state.endpoints.find(endpoint_id)
        if entry is None or not self._accepts_batch(endpoint_id):
            return 0
        return max(0, entry.slots - self.online(endpoint_id))

    def free(self, endpoint_id: str) -> int:
        """Counts the items that may be added on an endpoint.

        It is negative while items have to be preempted.
        """
        return self.capacity(endpoint_id) - len(
            self._running.get(endpoint_id, ()),
        )

    def excess(self, endpoint_id: str) -> int:
        """Counts the items that have to be preempted on an endpoint."""
        entry = self._state.endpoints.find(endpoint_id)
        running = len(self._running.get(endpoint_id, ()))
        if entry is None or not running:
            return 0
        available = entry.slots - self.online(endpoint_id)
        return max(0, running - max(0, available))

    def spare(self, service: str) -> int:
        """Counts the items of a service that fit beside recent online peaks."""
        entries = [
            entry
            for entry in self._state.endpoints.usable(service)
            if entry.data_centre not in self._state.evacuated
        ]
        return self._batch_capacity(service).spare(
            sum(entry.slots for entry in entries),
            sum(
                len(self._running.get(entry.endpoint_id, ()))
                for entry in entries
            ),
        )

    def _batch_capacity(self, service: str) -> BatchCapacity:
        return self._batch_capacities.setdefault(service, BatchCapacity())

    def _accepts_online(self, entry: EndpointEntry) -> bool:
        # One request beyond the slots may wait at the endpoint, since a slot
        # soon becomes free.
        return self._load.total(entry.endpoint_id) <= entry.slots

    def _in_flight(self, use: EndpointUse) -> int:
        endpoint_id = use.entry.endpoint_id
        running = len(self._running.get(endpoint_id, ()))
        return self._load.total(endpoint_id) + running

    def _rank(
        self, use: EndpointUse, data_centre: str
    ) -> tuple[bool, bool, int, bool]:
        # Endpoints that name a limit come after those with a free slot. Of
        # equally loaded endpoints one near the host is chosen, which saves
        # traffic between data centres.
        in_flight = self._in_flight(use)
        return (
            in_flight >= use.entry.slots,
            use.limit.is_named,
            in_flight,
            use.entry.data_centre != data_centre,
        )

    def _accepts_batch(self, endpoint_id: str) -> bool:
        now = self._state.now()
        known_since = self._known_since.setdefault(endpoint_id, now)
        if now < max(self._batch_starts_at, known_since + SETTLE_S):
            return False
        use = self._state.find_endpoint_use(endpoint_id)
        # What a cold endpoint tolerates is left to online requests.
        return use is not None and not (use.evacuated or use.cold.is_cold(now))
