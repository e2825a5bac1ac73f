"""Load of the engines: reported by hosts, known where batch is decided."""

from collections.abc import Awaitable, Callable

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import PeerUnavailable
from jacinthmount.members import rank_hosts
from jacinthmount.permits import EngineRoom
from jacinthmount.ports import EngineLoad, LoadReports
from jacinthmount.routing import EndpointState

from jacinthmount_node.messages import EngineReport, EngineReportReply
from jacinthmount_node.node import Node
from jacinthmount_node.peers import PeerLinks

__all__ = ('EngineRooms',)

FLUSH_INTERVAL_S = 0.005
REFRESH_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 1.0
RANK_VALID_S = 0.25
SILENT_AFTER_MISSES = 2

RoomChange = Callable[[str], Awaitable[None]]


class EngineRooms:
    """Sends reports of this host and keeps the rooms it decides about."""

    __slots__ = (
        '_decided_here',
        '_deciders',
        '_dirty',
        '_ranked_at',
        '_links',
        '_loads',
        '_missed',
        '_node',
        '_reports',
        '_rooms',
        '_wake',
        'on_room_change',
    )

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        reports: LoadReports,
    ) -> None:
        """Takes the port to read load reports from."""
        self._node = node
        self._links = links
        self._reports = reports
        self._rooms: dict[str, EngineRoom] = {}
        self._loads: dict[str, tuple[EngineLoad, float]] = {}
        self._dirty: set[str] = set()
        self._deciders: dict[str, str] = {}
        self._decided_here: list[Endpoint] = []
        self._ranked_at = -RANK_VALID_S
        self._missed: dict[str, int] = {}
        self._wake = curio.Event()
        self.on_room_change: RoomChange | None = None

    async def run(self) -> None:
        """Reports and polls until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_flush)
            await group.spawn(self._run_refresh)
            await group.spawn(self._run_polls)

    def decider(self, engine: str) -> str:
        """Names the host that runs the batch items of an engine."""
        self._refresh_deciders()
        return self._deciders.get(engine, self._node.host)

    def decided_here(self) -> list[Endpoint]:
        """Lists the endpoints whose batch items run on this host."""
        self._refresh_deciders()
        return self._decided_here

    def room(self, endpoint: Endpoint) -> int:
        """Counts the batch items that an endpoint may run now."""
        return self._room(endpoint).room(self._node.now())

    async def note_online(self, state: EndpointState) -> None:
        """Notes that the online requests in flight on an engine changed."""
        engine = state.endpoint.name
        if self.decider(engine) == self._node.host:
            room = self._room(state.endpoint)
            room.on_report(
                self._node.host,
                state.online,
                self._node.now(),
                waiting=self._waits(state.endpoint.service),
            )
            self._share_room(state.endpoint)
            await self._changed(engine)
            return
        self._dirty.add(engine)
        await self._wake.set()

    async def note_waiting(self, service: str, waiting: int) -> None:
        """Notes how many online requests of a service wait on this host."""
        before = self._node.waiting.get(service, 0)
        self._node.waiting[service] = waiting
        if bool(before) is not bool(waiting):
            for state in self._node.router(service).states():
                await self.note_online(state)

    async def on_report(self, report: EngineReport) -> EngineReportReply:
        """Takes the report of another host."""
        endpoint = self._node.catalogue.find(Endpoint, report.engine)
        now = self._node.now()
        if endpoint is None:
            return EngineReportReply(
                elsewhere=0,
                contenders=1,
                silent=False,
                running=0,
                waiting=0,
                age_s=0,
            )
        room = self._room(endpoint)
        room.on_report(
            report.host,
            report.online,
            now,
            waiting=report.waiting,
        )
        await self._changed(report.engine)
        self._share_room(endpoint)
        load, at = self._loads.get(report.engine, (None, now))
        return EngineReportReply(
            elsewhere=room.elsewhere(report.host, now),
            contenders=room.contenders(now),
            silent=self._is_silent(report.engine),
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            age_s=load.age_s + now - at if load else 0,
        )

    def _refresh_deciders(self) -> None:
        # Ranks change only with hosts and endpoints, requests come often.
        node = self._node
        now = node.now()
        if now - self._ranked_at < RANK_VALID_S:
            return
        self._ranked_at = now
        hosts = node.live_hosts() or [node.host]
        local = [
            endpoint
            for endpoint in node.catalogue.every(Endpoint)
            if endpoint.data_centre == node.data_centre
        ]
        self._deciders = {
            endpoint.name: rank_hosts(endpoint.name, hosts)[0]
            for endpoint in local
        }
        self._decided_here = [
            endpoint
            for endpoint in local
            if self._deciders[endpoint.name] == node.host
        ]

    def _room(self, endpoint: Endpoint) -> EngineRoom:
        profile = self._node.catalogue.profile_of(endpoint.service)
        batch_share = profile.batch_share if profile else 0
        room = self._rooms.get(endpoint.name)
        if room is None:
            room = EngineRoom(
                slots=endpoint.slots,
                batch_share=batch_share,
                now=self._node.now(),
            )
            self._rooms[endpoint.name] = room
        room.resize(endpoint.slots, batch_share)
        return room

    async def _changed(self, engine: str) -> None:
        if self.on_room_change is not None:
            await self.on_room_change(engine)

    def _share_room(self, endpoint: Endpoint) -> None:
        state = self._node.router(endpoint.service).find(endpoint.name)
        if state is not None:
            room = self._rooms[endpoint.name]
            now = self._node.now()
            state.elsewhere = room.elsewhere(self._node.host, now)
            state.contenders = room.contenders(now)

    def _waits(self, service: str) -> bool:
        return self._node.waiting.get(service, 0) > 0

    async def _run_flush(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            dirty = self._dirty
            self._dirty = set()
            for engine in sorted(dirty):
                await curio.spawn(self._report, engine, daemon=True)
            await curio.sleep(FLUSH_INTERVAL_S)

    async def _run_refresh(self) -> None:
        while True:
            await curio.sleep(REFRESH_INTERVAL_S)
            for state in self._states():
                waits = self._waits(state.endpoint.service)
                if state.online or state.elsewhere or waits:
                    await self.note_online(state)
            for endpoint in self.decided_here():
                self._share_room_if_known(endpoint)
            self._forget_rooms()

    def _share_room_if_known(self, endpoint: Endpoint) -> None:
        if endpoint.name in self._rooms:
            self._share_room(endpoint)

    def _forget_rooms(self) -> None:
        # A room decided elsewhere starts anew, with time to hear all hosts.
        here = {endpoint.name for endpoint in self.decided_here()}
        for engine in set(self._rooms) - here:
            self._rooms.pop(engine)
            self._loads.pop(engine, None)
            self._missed.pop(engine, None)

    async def _report(self, engine: str) -> None:
        node = self._node
        endpoint = node.catalogue.find(Endpoint, engine)
        if endpoint is None:
            return
        state = node.router(endpoint.service).find(engine)
        record = node.members.get(self.decider(engine))
        if state is None or record is None or record.host == node.host:
            return
        report = EngineReport(
            host=node.host,
            engine=engine,
            online=state.online,
            waiting=self._waits(endpoint.service),
        )
        try:
            reply = await self._links.request(record, report, REPORT_TIMEOUT_S)
        except PeerUnavailable:
            state.elsewhere = 0
            state.contenders = 1
            state.silent = False
            return
        if isinstance(reply, EngineReportReply):
            self._take_reply(state, reply)

    def _take_reply(
        self,
        state: EndpointState,
        reply: EngineReportReply,
    ) -> None:
        state.elsewhere = reply.elsewhere
        state.contenders = reply.contenders
        state.silent = reply.silent
        self._set_load(
            state,
            EngineLoad(
                running=reply.running,
                waiting=reply.waiting,
                slots=state.endpoint.slots,
                age_s=reply.age_s,
            ),
        )

    def _set_load(
        self,
        state: EndpointState,
        load: EngineLoad | None,
    ) -> None:
        if load is None:
            return
        state.reported = load
        state.reported_at = self._node.now()

    async def _run_polls(self) -> None:
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            for endpoint in self.decided_here():
                await curio.spawn(self._poll, endpoint, daemon=True)

    async def _poll(self, endpoint: Endpoint) -> None:
        if self._node.catalogue.kind_of(endpoint.service) != 'model':
            return
        state = self._node.router(endpoint.service).find(endpoint.name)
        try:
            load = await self._reports.read_load(endpoint.address)
        except PeerUnavailable:
            self._missed[endpoint.name] = self._missed.get(endpoint.name, 0) + 1
            load = None
        if load is not None:
            self._missed.pop(endpoint.name, None)
            self._loads[endpoint.name] = (load, self._node.now())
        if state is not None:
            state.silent = self._is_silent(endpoint.name)
            self._set_load(state, load or state.reported)

    def _is_silent(self, engine: str) -> bool:
        return self._missed.get(engine, 0) >= SILENT_AFTER_MISSES

    def _states(self) -> list[EndpointState]:
        return [
            state
            for router in self._node.routers.values()
            for state in router.states()
        ]
