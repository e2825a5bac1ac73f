"""Load of the engines, and batch room on those that this host decides about."""

from collections.abc import Awaitable, Callable

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.engine_slots import EngineSlots
from jacinthmount.routing import EndpointState

from jacinthmount_node.engines.engine_polls import EnginePolls
from jacinthmount_node.engines.engine_reports import (
    REPORT_TIMEOUT_S,
    EngineReporter,
)
from jacinthmount_node.members.endpoint_owners import Deciders
from jacinthmount_node.members.notify import notify_host
from jacinthmount_node.messages import (
    EngineClosed,
    EngineOnline,
    EngineReport,
    EngineReportReply,
    EngineSilent,
    EngineView,
)
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('EngineCapacity',)

MOVE_CHECK_S = 0.5
REFRESH_CHECKS = 20
CLOSED_VALID_S = 30.0

RoomChange = Callable[[str], Awaitable[None]]


class EngineCapacity:
    """Notes online requests and keeps the rooms that this host decides."""

    __slots__ = (
        '_deciders',
        '_links',
        '_node',
        '_polls',
        '_reporter',
        '_rooms',
        'on_capacity_change',
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
        self._deciders = Deciders(node=node)
        self._reporter = EngineReporter(
            node=node,
            links=links,
            deciders=self._deciders,
        )
        self._rooms: dict[str, EngineSlots] = {}
        self.on_capacity_change: RoomChange | None = None

    async def run(self) -> None:
        """Reports and polls until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._reporter.run)
            await group.spawn(self._run_refresh)
            await group.spawn(
                self._polls.run,
                self.owned_endpoints,
                self._tell_silent,
            )

    def owned_endpoints(self) -> list[Endpoint]:
        """Lists the endpoints whose batch items run on this host."""
        return self._deciders.endpoints_here()

    def capacity(self, endpoint: Endpoint) -> int:
        """Counts the batch items that an endpoint may run now."""
        now = self._node.now()
        state = self._node.state_of(endpoint)
        if state is None or state.is_closed(now):
            return 0
        return self._room(endpoint).capacity(now)

    def is_idle(self, endpoint: Endpoint) -> bool:
        """Tells whether nothing runs on an endpoint decided here."""
        state = self._node.state_of(endpoint)
        batch = state.batch if state else 0
        return not batch + self._room(endpoint).online(self._node.now())

    async def on_closed(self, message: EngineClosed) -> None:
        """Stops or resumes sending work to an engine."""
        state = self._find_state(message.engine)
        if state is None:
            return
        valid_s = CLOSED_VALID_S if message.closed else 0
        state.closed_until = self._node.now() + valid_s
        await self._changed(message.engine)

    def on_silent(self, message: EngineSilent) -> None:
        """Notes that an engine turned silent, or no longer is."""
        state = self._find_state(message.engine)
        if state is not None:
            state.silent = message.silent

    async def note_online(self, state: EndpointState) -> None:
        """Notes that the online requests in flight on an engine changed."""
        engine = state.endpoint.name
        if self._deciders.host_of(engine) != self._node.host:
            await self._reporter.note(engine)
            return
        capacity = self._room(state.endpoint)
        capacity.on_report(
            self._node.host,
            state.online,
            self._node.now(),
            waiting=self._node.waits(state.endpoint.service),
        )
        self._share_room(state.endpoint)
        await self._changed(engine)

    async def note_waiting(self, service: str, waiting: int) -> None:
        """Notes how many online requests of a service wait on this host."""
        before = self._node.waits(service)
        self._node.waiting[service] = waiting
        if before is not bool(waiting):
            for state in self._node.router(service).states():
                await self.note_online(state)

    async def on_report(self, report: EngineReport) -> EngineReportReply:
        """Takes the report of another host."""
        views = []
        for row in report.engines:
            endpoint = self._node.catalogue.find(Endpoint, row.engine)
            if endpoint is not None:
                views.append(await self._on_row(report.host, endpoint, row))
        return EngineReportReply(views=views)

    async def _on_row(
        self,
        host: str,
        endpoint: Endpoint,
        row: EngineOnline,
    ) -> EngineView:
        now = self._node.now()
        capacity = self._room(endpoint)
        capacity.on_report(host, row.online, now, waiting=row.waiting)
        await self._changed(row.engine)
        self._share_room(endpoint)
        load, at = self._polls.newest(row.engine)
        return EngineView(
            engine=row.engine,
            elsewhere=capacity.elsewhere(host, now),
            contenders=capacity.contenders(now),
            silent=self._polls.is_silent(row.engine),
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            age_s=load.age_s + now - at if load else 0,
        )

    def _find_state(self, engine: str) -> EndpointState | None:
        endpoint = self._node.catalogue.find(Endpoint, engine)
        return self._node.state_of(endpoint) if endpoint else None

    def _room(self, endpoint: Endpoint) -> EngineSlots:
        profile = self._node.catalogue.profile_of(endpoint.service)
        batch_share = profile.batch_share if profile else 0
        capacity = self._rooms.get(endpoint.name)
        if capacity is None:
            capacity = EngineSlots(
                slots=endpoint.slots,
                batch_share=batch_share,
                now=self._node.now(),
            )
            self._rooms[endpoint.name] = capacity
        capacity.resize(endpoint.slots, batch_share)
        return capacity

    async def _changed(self, engine: str) -> None:
        if self.on_capacity_change is not None:
            await self.on_capacity_change(engine)

    def _share_room(self, endpoint: Endpoint) -> None:
        state = self._node.state_of(endpoint)
        capacity = self._rooms.get(endpoint.name)
        if state is not None and capacity is not None:
            now = self._node.now()
            state.elsewhere = capacity.elsewhere(self._node.host, now)
            state.contenders = capacity.contenders(now)

    async def _run_refresh(self) -> None:
        checks = 0
        while True:
            await curio.sleep(MOVE_CHECK_S)
            checks += 1
            # A new decider has to hear of what runs before it makes room.
            await self._note_all(self._deciders.take_moved())
            for endpoint in self.owned_endpoints():
                self._share_room(endpoint)
            self._forget_rooms()
            self._forget_hosts()
            # Reports are sent as counts change; this mends what was lost.
            if checks % REFRESH_CHECKS == 0:
                await self._note_all(None)

    async def _note_all(self, engines: set[str] | None) -> None:
        for state in list(self._node.iter_states()):
            if engines is not None and state.endpoint.name not in engines:
                continue
            if state.online or self._node.waits(state.endpoint.service):
                await self.note_online(state)

    def _forget_rooms(self) -> None:
        # A room decided elsewhere starts anew, with time to hear all hosts.
        here = {endpoint.name for endpoint in self.owned_endpoints()}
        for engine in set(self._rooms) - here:
            self._rooms.pop(engine)
            self._polls.forget(engine)

    def _forget_hosts(self) -> None:
        live = set(self._node.live_hosts())
        for capacity in self._rooms.values():
            capacity.keep_only(live)

    async def _tell_silent(self, engine: str, silent: bool) -> None:
        message = EngineSilent(engine=engine, silent=silent)
        for host in self._node.live_hosts():
            if host != self._node.host:
                # A host that misses it learns of it with its next report.
                await curio.spawn(
                    notify_host,
                    self._node,
                    self._links,
                    host,
                    message,
                    REPORT_TIMEOUT_S,
                    daemon=True,
                )
