"""Online load of the engines, and batch capacity of those this host owns."""

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
from jacinthmount_node.members.endpoint_owners import EndpointOwners
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
from jacinthmount_node.parts import PartGroup

__all__ = ('EngineCapacity',)

OWNER_CHECK_INTERVAL_S = 0.5
# All loads are reported again after this many owner checks.
FULL_REPORT_CHECKS = 20
# A closed engine reopens unless its owner closes it again within this time.
CLOSED_VALID_S = 30.0

CapacityCallback = Callable[[str], Awaitable[None]]


class EngineCapacity:
    """Tracks online requests per engine and computes batch capacity.

    Each engine has one owner among the hosts, to which the others report their
    online requests in flight.
    """

    __slots__ = (
        '_engine_slots',
        '_links',
        '_node',
        '_owners',
        '_polls',
        '_reporter',
        'on_capacity_change',
    )

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        polls: EnginePolls,
    ) -> None:
        self._node = node
        self._links = links
        self._polls = polls
        self._owners = EndpointOwners(node=node)
        self._reporter = EngineReporter(
            node=node,
            links=links,
            owners=self._owners,
        )
        self._engine_slots: dict[str, EngineSlots] = {}
        self.on_capacity_change: CapacityCallback | None = None

    async def run(self) -> None:
        """Sends reports and polls owned engines until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._reporter.run)
            await group.spawn(self._run_refresh)
            await group.spawn(
                self._polls.run,
                self.owned_endpoints,
                self._notify_silent,
            )

    def owned_endpoints(self) -> list[Endpoint]:
        """Lists the endpoints whose batch items and orders this host sends."""
        return self._owners.list_owned()

    def capacity(self, endpoint: Endpoint) -> int:
        """Counts the batch items that an endpoint may run now."""
        now = self._node.now()
        state = self._node.state_of(endpoint)
        if state is None or state.is_closed(now):
            return 0
        return self._slots_of(endpoint).capacity(now)

    def is_idle(self, endpoint: Endpoint) -> bool:
        """Checks whether nothing runs on an endpoint that this host owns."""
        state = self._node.state_of(endpoint)
        batch = state.batch if state else 0
        return not batch + self._slots_of(endpoint).online(self._node.now())

    async def on_closed(self, message: EngineClosed) -> None:
        """Stops or resumes new work for an engine, as its owner requests."""
        state = self._find_state(message.engine)
        if state is None:
            return
        valid_s = CLOSED_VALID_S if message.closed else 0
        state.closed_until = self._node.now() + valid_s
        await self._notify_change(message.engine)

    def on_silent(self, message: EngineSilent) -> None:
        """Records that an engine became unresponsive or recovered."""
        state = self._find_state(message.engine)
        if state is not None:
            state.silent = message.silent

    async def update_online(self, state: EndpointState) -> None:
        """Records the online requests of an engine or reports them."""
        engine = state.endpoint.name
        if self._owners.owner_of(engine) != self._node.host:
            await self._reporter.mark_changed(engine)
            return
        engine_slots = self._slots_of(state.endpoint)
        engine_slots.on_report(
            self._node.host,
            state.online,
            self._node.now(),
            waiting=self._node.has_waiting(state.endpoint.service),
        )
        self._update_state(state.endpoint)
        await self._notify_change(engine)

    async def update_waiting(self, service: str, waiting: int) -> None:
        """Records how many online requests of a service wait on this host."""
        before = self._node.has_waiting(service)
        self._node.waiting[service] = waiting
        if before is not bool(waiting):
            for state in self._node.router(service).states():
                await self.update_online(state)

    async def on_report(self, report: EngineReport) -> EngineReportReply:
        """Records the report of another host and returns the engines' state."""
        views = []
        for entry in report.engines:
            endpoint = self._node.catalogue.find(Endpoint, entry.engine)
            if endpoint is not None:
                views.append(
                    await self._record_report(report.host, endpoint, entry)
                )
        return EngineReportReply(views=views)

    async def _record_report(
        self,
        host: str,
        endpoint: Endpoint,
        entry: EngineOnline,
    ) -> EngineView:
        now = self._node.now()
        engine_slots = self._slots_of(endpoint)
        engine_slots.on_report(host, entry.online, now, waiting=entry.waiting)
        await self._notify_change(entry.engine)
        self._update_state(endpoint)
        load, at = self._polls.newest(entry.engine)
        return EngineView(
            engine=entry.engine,
            elsewhere=engine_slots.elsewhere(host, now),
            contenders=engine_slots.contenders(now),
            silent=self._polls.is_unresponsive(entry.engine),
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            age_s=load.age_s + now - at if load else 0,
        )

    def _find_state(self, engine: str) -> EndpointState | None:
        endpoint = self._node.catalogue.find(Endpoint, engine)
        return self._node.state_of(endpoint) if endpoint else None

    def _slots_of(self, endpoint: Endpoint) -> EngineSlots:
        profile = self._node.catalogue.profile_of(endpoint.service)
        batch_share = profile.batch_share if profile else 0
        engine_slots = self._engine_slots.get(endpoint.name)
        if engine_slots is None:
            engine_slots = EngineSlots(
                slots=endpoint.slots,
                batch_share=batch_share,
                now=self._node.now(),
            )
            self._engine_slots[endpoint.name] = engine_slots
        engine_slots.resize(endpoint.slots, batch_share)
        return engine_slots

    async def _notify_change(self, engine: str) -> None:
        if self.on_capacity_change is not None:
            await self.on_capacity_change(engine)

    def _update_state(self, endpoint: Endpoint) -> None:
        state = self._node.state_of(endpoint)
        engine_slots = self._engine_slots.get(endpoint.name)
        if state is not None and engine_slots is not None:
            now = self._node.now()
            state.elsewhere = engine_slots.elsewhere(self._node.host, now)
            state.contenders = engine_slots.contenders(now)

    async def _run_refresh(self) -> None:
        checks = 0
        while True:
            await curio.sleep(OWNER_CHECK_INTERVAL_S)
            checks += 1
            # A new owner needs the load of all hosts before it starts batch
            # items.
            await self._report_engines(self._owners.take_changed())
            await self._ask_about_silent()
            for endpoint in self.owned_endpoints():
                self._update_state(endpoint)
            self._drop_unowned()
            self._drop_lost_hosts()
            # Reports are sent when counts change; repeating them repairs lost
            # ones.
            if checks % FULL_REPORT_CHECKS == 0:
                await self._report_engines(None)

    async def _report_engines(self, engines: set[str] | None) -> None:
        for state in list(self._node.iter_states()):
            if engines is not None and state.endpoint.name not in engines:
                continue
            if state.online or self._node.has_waiting(state.endpoint.service):
                await self.update_online(state)

    async def _ask_about_silent(self) -> None:
        # The owner tells once that an engine goes on, and a host that missed it
        # sends no requests there that it would report.
        for state in list(self._node.iter_states()):
            if state.silent:
                await self.update_online(state)

    def _drop_unowned(self) -> None:
        # If this host owns the engine again later, its count starts empty and
        # waits for the reports of all hosts.
        owned = {endpoint.name for endpoint in self.owned_endpoints()}
        for engine in set(self._engine_slots) - owned:
            self._engine_slots.pop(engine)
            self._polls.drop(engine)

    def _drop_lost_hosts(self) -> None:
        live = set(self._node.live_hosts())
        for engine_slots in self._engine_slots.values():
            engine_slots.keep_only(live)

    async def _notify_silent(self, engine: str, silent: bool) -> None:
        message = EngineSilent(engine=engine, silent=silent)
        for host in self._node.live_hosts():
            if host != self._node.host:
                # A host that does not receive this gets the state in the reply
                # to its next report.
                await curio.spawn(
                    notify_host,
                    self._node,
                    self._links,
                    host,
                    message,
                    REPORT_TIMEOUT_S,
                    daemon=True,
                )
