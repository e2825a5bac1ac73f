"""Load of the engines: reported by hosts, known where batch is decided."""

from collections.abc import Awaitable, Callable

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import PeerUnavailable
from jacinthmount.members import rank_hosts
from jacinthmount.permits import EngineRoom
from jacinthmount.ports import EngineLoad
from jacinthmount.routing import EndpointState

from jacinthmount_node.engine_polls import EnginePolls
from jacinthmount_node.messages import (
    EngineClosed,
    EngineReport,
    EngineReportReply,
)
from jacinthmount_node.node import Node
from jacinthmount_node.peers import PeerLinks

__all__ = ('EngineRooms',)

FLUSH_INTERVAL_S = 0.005
REFRESH_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.5
RANK_VALID_S = 0.25
CLOSED_VALID_S = 5.0

RoomChange = Callable[[str], Awaitable[None]]


class EngineRooms:
    """Sends reports of this host and keeps the rooms it decides about."""

    __slots__ = (
        '_decided_here',
        '_deciders',
        '_dirty',
        '_ranked_at',
        '_links',
        '_node',
        '_polls',
        '_rooms',
        '_wake',
        'on_room_change',
    )

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        polls: EnginePolls,
    ) -> None:
        """Takes what reads the load reports."""
        self._node = node
        self._links = links
        self._polls = polls
        self._rooms: dict[str, EngineRoom] = {}
        self._dirty: set[str] = set()
        self._deciders: dict[str, str] = {}
        self._decided_here: list[Endpoint] = []
        self._ranked_at = -RANK_VALID_S
        self._wake = curio.Event()
        self.on_room_change: RoomChange | None = None

    async def run(self) -> None:
        """Reports and polls until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_flush)
            await group.spawn(self._run_refresh)
            await group.spawn(self._polls.run, self.decided_here)

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
        now = self._node.now()
        state = self._node.router(endpoint.service).find(endpoint.name)
        if state is None or state.is_closed(now):
            return 0
        return self._room(endpoint).room(now)

    def is_idle(self, endpoint: Endpoint) -> bool:
        """Tells whether nothing runs on an endpoint decided here."""
        state = self._node.router(endpoint.service).find(endpoint.name)
        batch = state.batch if state else 0
        return not batch + self._room(endpoint).online(self._node.now())

    async def on_closed(self, message: EngineClosed) -> None:
        """Stops or resumes sending work to an engine."""
        endpoint = self._node.catalogue.find(Endpoint, message.engine)
        if endpoint is None:
            return
        state = self._node.router(endpoint.service).find(endpoint.name)
        if state is None:
            return
        valid_s = CLOSED_VALID_S if message.closed else 0
        state.closed_until = self._node.now() + valid_s
        await self._changed(message.engine)

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
        load, at = self._polls.newest(report.engine)
        return EngineReportReply(
            elsewhere=room.elsewhere(report.host, now),
            contenders=room.contenders(now),
            silent=self._polls.is_silent(report.engine),
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
            self._polls.forget(engine)

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
        state.reported = EngineLoad(
            running=reply.running,
            waiting=reply.waiting,
            slots=state.endpoint.slots,
            age_s=reply.age_s,
        )
        state.reported_at = self._node.now()

    def _states(self) -> list[EndpointState]:
        return [
            state
            for router in self._node.routers.values()
            for state in router.states()
        ]
