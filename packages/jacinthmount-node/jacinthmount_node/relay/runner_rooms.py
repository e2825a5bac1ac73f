"""Load of every endpoint, as all hosts report it to the active runner."""

from jacinthmount.batch_order import ItemRun
from jacinthmount.permits import EngineRoom

from jacinthmount_node.relay.messages import EndpointViews, HostReport
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunnerRooms',)

HOST_LIVE_S = 1.5
BATCH_SHARE = 1.0
SETTLE_S = 0.6


class RunnerRooms:
    """Room for batch items on each endpoint.

    What a host reports counts until it reports anew or stays silent.
    """

    __slots__ = ('_heard', '_rooms', '_running', '_state')

    def __init__(self, *, state: RelayState) -> None:
        """Starts with nothing reported."""
        self._state = state
        self._rooms: dict[str, EngineRoom] = {}
        self._heard: dict[str, float] = {}
        self._running: dict[str, dict[str, ItemRun]] = {}

    def take_report(self, report: HostReport) -> None:
        """Takes what a host has in flight; endpoints left out have none."""
        now = self._state.now()
        self._heard[report.host] = now
        named = {use.endpoint_id: use.online for use in report.uses}
        for entry in self._state.endpoints.entries():
            self._room(entry.endpoint_id, entry.slots).on_report(
                report.host,
                named.get(entry.endpoint_id, 0),
                now,
                waiting=False,
            )

    def views(self, host: str) -> EndpointViews:
        """Tells a host what others have in flight."""
        now = self._state.now()
        ids = list(self._rooms)
        return EndpointViews(
            endpoint_ids=ids,
            online=[self._rooms[one].elsewhere(host, now) for one in ids],
            batch=[len(self._running.get(one, ())) for one in ids],
        )

    def heard_hosts(self) -> int:
        """Counts the hosts that reported lately."""
        return len(self._heard)

    def forget_silent(self) -> None:
        """Drops the counts of hosts and endpoints that are gone."""
        now = self._state.now()
        for host, at in list(self._heard.items()):
            if now - at >= HOST_LIVE_S:
                self._heard.pop(host)
        live = set(self._heard)
        known = {one.endpoint_id for one in self._state.endpoints.entries()}
        for endpoint_id in set(self._rooms) - known:
            self._rooms.pop(endpoint_id)
        for room in self._rooms.values():
            room.keep_only(live)

    def begin(self, run: ItemRun) -> None:
        """Notes that an item runs."""
        self._running.setdefault(run.endpoint_id, {})[run.item_id] = run

    def end(self, run: ItemRun) -> None:
        """Notes that an item no longer runs."""
        self._running.get(run.endpoint_id, {}).pop(run.item_id, None)

    def running(self, endpoint_id: str) -> list[ItemRun]:
        """Lists the items that run on an endpoint."""
        return list(self._running.get(endpoint_id, {}).values())

    def room(self, endpoint_id: str) -> int:
        """Counts the items that may run on an endpoint beside online."""
        room = self._rooms.get(endpoint_id)
        return room.room(self._state.now()) if room else 0

    def free(self, endpoint_id: str) -> int:
        """Counts the items that may be added on an endpoint."""
        return self.room(endpoint_id) - len(
            self._running.get(endpoint_id, ()),
        )

    def _room(self, endpoint_id: str, slots: int) -> EngineRoom:
        room = self._rooms.get(endpoint_id)
        if room is None:
            room = EngineRoom(
                slots=slots,
                batch_share=BATCH_SHARE,
                now=self._state.now(),
                settle_s=SETTLE_S,
            )
            self._rooms[endpoint_id] = room
        room.resize(slots, BATCH_SHARE)
        return room
