"""Load of every endpoint, as all hosts report it to the active runner."""

import math

from jacinthmount.batch_order import ItemRun
from jacinthmount.online_load import OnlineLoad

from jacinthmount_node.relay.messages import EndpointViews, HostReport
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunnerRooms',)

SETTLE_S = 0.6
# With online at work, a slot stays free for its next request.
RESERVED_SLOTS = 1


class RunnerRooms:
    """Room for batch items on each endpoint.

    What a host reports counts until it reports anew or stays silent.
    """

    __slots__ = ('_load', '_open_at', '_running', '_seen_at', '_state')

    def __init__(self, *, state: RelayState) -> None:
        """Starts with nothing reported."""
        self._state = state
        self._load = OnlineLoad()
        self._seen_at: dict[str, float] = {}
        self._open_at = -math.inf
        self._running: dict[str, dict[str, ItemRun]] = {}

    def take_report(self, report: HostReport) -> None:
        """Takes what a host has in flight; endpoints left out have none."""
        uses = {use.endpoint_id: use.online for use in report.uses}
        self._load.take(report.host, uses, self._state.now())

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

    def heard_hosts(self) -> int:
        """Counts the hosts that reported lately."""
        return self._load.hosts()

    def refresh(self) -> None:
        """Drops what is gone of hosts and endpoints, and notes new ones."""
        now = self._state.now()
        self._load.forget_silent(now - self._state.pace.host_valid_s)
        known = {one.endpoint_id for one in self._state.endpoints.entries()}
        for endpoint_id in set(self._seen_at) - known:
            self._seen_at.pop(endpoint_id)
        for endpoint_id in known:
            self._seen_at.setdefault(endpoint_id, now)

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

    def room(self, endpoint_id: str) -> int:
        """Counts the items that may run on an endpoint beside online."""
        entry = self._state.endpoints.find(endpoint_id)
        if entry is None or not self._is_open(endpoint_id):
            return 0
        online = self._load.total(endpoint_id)
        reserved = RESERVED_SLOTS if online else 0
        return max(0, entry.slots - online - reserved)

    def free(self, endpoint_id: str) -> int:
        """Counts the items that may be added on an endpoint."""
        return self.room(endpoint_id) - len(
            self._running.get(endpoint_id, ()),
        )

    def _is_open(self, endpoint_id: str) -> bool:
        now = self._state.now()
        seen_at = self._seen_at.setdefault(endpoint_id, now)
        return now >= max(self._open_at, seen_at + SETTLE_S)
