"""Load of every endpoint, as all hosts report it to the active runner."""

import math

from jacinthmount.batch_capacity import BatchCapacity
from jacinthmount.batch_order import ItemRun
from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.online_load import OnlineLoad

from jacinthmount_node.relay.messages import EndpointViews, HostReport
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunnerCapacity',)

SETTLE_S = 0.6
# More than that are not compared for one request.
COMPARED_ENDPOINTS = 64
# Of each look at the room, ten times a second.
ROOM_WEIGHT = 0.02


class RunnerCapacity:
    """Room for batch items on each endpoint.

    What a host reports counts until it reports anew or stays silent.
    """

    __slots__ = (
        '_batch_rooms',
        '_load',
        '_mean_room',
        '_open_at',
        '_running',
        '_seen_at',
        '_state',
    )

    def __init__(self, *, state: RelayState) -> None:
        """Starts with nothing reported."""
        self._state = state
        self._load = OnlineLoad()
        self._batch_rooms: dict[str, BatchCapacity] = {}
        self._seen_at: dict[str, float] = {}
        self._open_at = -math.inf
        self._running: dict[str, dict[str, ItemRun]] = {}
        self._mean_room = 0.0

    def record_report(self, report: HostReport) -> None:
        """Takes what a host has in flight; endpoints left out have none."""
        uses = {use.endpoint_id: use.online for use in report.uses}
        self._load.take(report.host, uses, self._state.now())

    def place(self, host: str, service: str) -> str:
        """Chooses the endpoint for a request that a host is about to send.

        :returns: its id, or nothing where all endpoints are full.
        """
        now = self._state.now()
        placement = self._state.placement(service)
        uses = placement.uses()
        # Of equals the first one is taken, which must not be always the same.
        compared = self._state.rng.sample(
            uses,
            min(len(uses), COMPARED_ENDPOINTS),
        )
        roomy = [
            use.entry.endpoint_id
            for use in compared
            if self._takes_online(use.entry)
            and placement.is_available(use, now)
        ]
        if not roomy:
            return ''
        chosen = min(roomy, key=self._in_flight)
        self._load.begin(host, chosen, now)
        return chosen

    def settle(self) -> None:
        """Waits for the reports of all hosts before batch may run.

        For a runner that becomes active, unless most hosts told it already.
        """
        if self._load.hosts() * 2 < len(self._state.hosts):
            self._open_at = self._state.now() + SETTLE_S

    def views(self, host: str) -> EndpointViews:
        """Tells a host what others have in flight."""
        ids = [one.endpoint_id for one in self._state.endpoints.entries()]
        return EndpointViews(
            endpoint_ids=ids,
            online=[self._load.elsewhere(host, one) for one in ids],
            batch=[len(self._running.get(one, ())) for one in ids],
        )

    def reporting_hosts(self) -> int:
        """Counts the hosts that reported lately."""
        return self._load.hosts()

    def refresh(self) -> None:
        """Drops what is gone of hosts and endpoints, and notes new ones."""
        now = self._state.now()
        self._load.drop_stale_hosts(now - self._state.pace.host_valid_s)
        known = {one.endpoint_id for one in self._state.endpoints.entries()}
        for endpoint_id in set(self._seen_at) - known:
            self._seen_at.pop(endpoint_id)
        for endpoint_id in known:
            self._seen_at.setdefault(endpoint_id, now)
        room = sum(self.room(one) for one in known)
        self._mean_room += (room - self._mean_room) * ROOM_WEIGHT
        for service in self._state.placements:
            online = sum(
                self._load.total(one.endpoint_id)
                for one in self._state.endpoints.usable(service)
            )
            self._batch_room(service).note_online(online, now)

    def begin(self, run: ItemRun) -> None:
        """Notes that an item runs."""
        self._running.setdefault(run.endpoint_id, {})[run.item_id] = run

    def end(self, run: ItemRun) -> None:
        """Notes that an item no longer runs."""
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

    def mean_room(self) -> int:
        """Counts the items that could run lately on all endpoints."""
        return int(self._mean_room)

    def room(self, endpoint_id: str) -> int:
        """Counts the items that may run on an endpoint beside online."""
        entry = self._state.endpoints.find(endpoint_id)
        if entry is None or not self._is_open(endpoint_id):
            return 0
        return max(0, entry.slots - self.online(endpoint_id))

    def free(self, endpoint_id: str) -> int:
        """Counts the items that may be added on an endpoint."""
        return self.room(endpoint_id) - len(
            self._running.get(endpoint_id, ()),
        )

    def excess(self, endpoint_id: str) -> int:
        """Counts the items that have to give way on an endpoint."""
        entry = self._state.endpoints.find(endpoint_id)
        running = len(self._running.get(endpoint_id, ()))
        if entry is None or not running:
            return 0
        left = entry.slots - self.online(endpoint_id)
        return max(0, running - max(0, left))

    def spare(self, service: str) -> int:
        """Counts the items of a service for which slots are to spare."""
        entries = self._state.endpoints.usable(service)
        return self._batch_room(service).spare(
            sum(one.slots for one in entries),
            sum(len(self._running.get(one.endpoint_id, ())) for one in entries),
        )

    def _batch_room(self, service: str) -> BatchCapacity:
        return self._batch_rooms.setdefault(service, BatchCapacity())

    def _takes_online(self, entry: EndpointEntry) -> bool:
        # One beyond the slots waits at the endpoint, but not for long.
        return self._load.total(entry.endpoint_id) <= entry.slots

    def _in_flight(self, endpoint_id: str) -> int:
        running = len(self._running.get(endpoint_id, ()))
        return self._load.total(endpoint_id) + running

    def _is_open(self, endpoint_id: str) -> bool:
        now = self._state.now()
        seen_at = self._seen_at.setdefault(endpoint_id, now)
        return now >= max(self._open_at, seen_at + SETTLE_S)
