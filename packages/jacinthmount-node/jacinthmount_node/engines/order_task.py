"""Orders to the engines that this host decides about."""

import curio
from jacinthmount.declarations import (
    Endpoint,
    Profile,
    Service,
    object_name,
)
from jacinthmount.errors import (
    JacinthmountError,
    OrderFenced,
    PeerUnavailable,
)
from jacinthmount.orders import (
    OrderLease,
    OrderView,
    Step,
    Target,
    lease_name,
    make_order,
    make_target,
    may_send_order,
    may_take_lease,
    next_lease,
    next_step,
    order_delay_s,
    runs_target,
    serves,
)
from jacinthmount.ports import ABSENT, EngineControl, EngineState
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.engines.load_slots import HeldSlot, LoadSlots
from jacinthmount_node.logs import log_event
from jacinthmount_node.members.notify import notify_host
from jacinthmount_node.messages import EngineClosed
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('OrderTask',)

TICK_S = 1.0
IDLE_POLL_S = 5.0
CLOSE_TIMEOUT_S = 0.8


class _Engine:
    __slots__ = (
        'acknowledged',
        'closed_at',
        'closing',
        'endpoint',
        'known_fencing',
        'ordered_at',
        'polled_at',
        'ready_at',
        'shut',
        'slot',
        'state',
        'target',
    )

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.target: Target | None = None
        self.state: EngineState | None = None
        self.slot: HeldSlot | None = None
        self.closing = False
        # An earlier decider may have closed it, so hosts are told either way.
        self.shut = True
        self.closed_at = 0.0
        self.acknowledged: set[str] = set()
        self.ordered_at: float | None = None
        self.known_fencing = 0
        self.ready_at = 0.0
        self.polled_at = -IDLE_POLL_S

    def settled(self) -> bool:
        """Tells whether the engine runs what is declared."""
        return self.slot is None and runs_target(self.target, self.state)


class OrderTask:
    """Brings engines to what is declared, one order at a time each."""

    __slots__ = ('_control', '_engines', '_links', '_node', '_rooms', '_slots')

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        rooms: EngineCapacity,
        control: EngineControl,
        slots: LoadSlots,
    ) -> None:
        """Starts with nothing known of any engine."""
        self._node = node
        self._links = links
        self._rooms = rooms
        self._control = control
        self._slots = slots
        self._engines: dict[str, _Engine] = {}

    async def run(self) -> None:
        """Looks at each engine until cancelled."""
        while True:
            await curio.sleep(TICK_S)
            if self._node.loaded:
                await self._look()

    async def _look(self) -> None:
        decided = {one.name: one for one in self._rooms.owned_endpoints()}
        for name in set(self._engines) - set(decided):
            self._engines.pop(name)
        async with curio.TaskGroup(wait=all) as group:
            for endpoint in decided.values():
                await group.spawn(self._look_at, endpoint)

    async def _look_at(self, endpoint: Endpoint) -> None:
        engine = self._engines.get(endpoint.name)
        target = self._target(endpoint)
        if target is None:
            await self._let_go(endpoint)
            return
        if engine is None or engine.endpoint.address != endpoint.address:
            engine = _Engine(endpoint=endpoint)
        changed = engine.target != target
        engine.endpoint = endpoint
        engine.target = target
        self._engines[endpoint.name] = engine
        now = self._node.now()
        waited = now - engine.polled_at >= IDLE_POLL_S
        if engine.settled() and not changed and not waited:
            return
        engine.polled_at = now
        try:
            await self._advance(engine)
        except JacinthmountError as exc:
            log_event('order_waits', engine=endpoint.name, error=str(exc))

    async def _let_go(self, endpoint: Endpoint) -> None:
        # Nothing is declared any more: it serves as it is.
        engine = self._engines.pop(endpoint.name, None)
        if engine is not None:
            engine.target = None
            engine.closing = False
            await self._tell_closed(engine)

    async def _advance(self, engine: _Engine) -> None:
        await self._read_state(engine)
        if runs_target(engine.target, engine.state):
            engine.closing = False
        await self._tell_closed(engine)
        await self._renew_slot(engine)
        step = next_step(self._view(engine))
        if step is Step.TAKE_SLOT:
            await self._take_slot(engine)
        elif step is Step.CLOSE:
            engine.closing = True
            engine.closed_at = self._node.now()
            await self._tell_closed(engine)
        elif step is Step.ORDER:
            await self._order(engine)
        elif step is Step.FINISH:
            await self._free_slot(engine)

    async def _read_state(self, engine: _Engine) -> None:
        try:
            engine.state = await self._control.read_state(
                engine.endpoint.address,
            )
        except PeerUnavailable:
            engine.state = None

    def _target(self, endpoint: Endpoint) -> Target | None:
        node = self._node
        service = node.catalogue.find(Service, endpoint.service)
        names = (
            object_name('service', endpoint.service),
            object_name('endpoint', endpoint.name),
        )
        found = [node.table.read(name) for name in names]
        basis = max((one.version for one in found if one), default=ABSENT)
        return make_target(service, endpoint, basis)

    def _view(self, engine: _Engine) -> OrderView:
        node = self._node
        now = node.now()
        siblings = [
            state
            for state in node.router(engine.endpoint.service).states()
            if state.endpoint.name != engine.endpoint.name
            and not state.endpoint.leaving
        ]
        ordered_s = None
        if engine.ordered_at is not None:
            ordered_s = now - engine.ordered_at
        return OrderView(
            target=engine.target,
            state=engine.state,
            has_slot=engine.slot is not None,
            closed=engine.shut
            and engine.acknowledged.issuperset(node.live_hosts()),
            idle=self._is_idle(engine, now),
            others=sum(state.available(now) for state in siblings),
            siblings=len(siblings),
            ordered_s=ordered_s,
        )

    def _is_idle(self, engine: _Engine, now: float) -> bool:
        if self._rooms.is_idle(engine.endpoint):
            return True
        # What runs for longer than any request may is not waited for.
        profile: Profile | None = self._node.catalogue.profile_of(
            engine.endpoint.service,
        )
        limit_s = profile.deadline_s if profile else 0
        return engine.closing and now - engine.closed_at >= limit_s

    async def _tell_closed(self, engine: _Engine) -> None:
        serving = serves(engine.target, engine.state)
        closed = engine.closing or not serving
        if not closed and not engine.shut:
            return
        if closed and not engine.shut:
            engine.acknowledged = set()
        engine.shut = closed
        message = EngineClosed(engine=engine.endpoint.name, closed=closed)
        await self._rooms.on_closed(message)
        engine.acknowledged.add(self._node.host)
        async with curio.TaskGroup(wait=all) as group:
            for host in self._node.live_hosts():
                if host != self._node.host:
                    await group.spawn(self._tell_host, engine, host, message)

    async def _tell_host(
        self,
        engine: _Engine,
        host: str,
        message: EngineClosed,
    ) -> None:
        heard = await notify_host(
            self._node,
            self._links,
            host,
            message,
            CLOSE_TIMEOUT_S,
        )
        if heard:
            engine.acknowledged.add(host)
        else:
            engine.acknowledged.discard(host)

    async def _take_slot(self, engine: _Engine) -> None:
        target = engine.target
        if target is not None:
            engine.slot = await self._slots.take(
                engine.endpoint.name,
                target.weights,
                target.version,
            )

    async def _renew_slot(self, engine: _Engine) -> None:
        if engine.slot is None:
            return
        if not await self._slots.renew(engine.endpoint.name, engine.slot):
            engine.slot = None

    async def _free_slot(self, engine: _Engine) -> None:
        if engine.slot is not None and await self._slots.free(engine.slot):
            engine.slot = None

    async def _order(self, engine: _Engine) -> None:
        target = engine.target
        now = self._node.now()
        if target is None or now < engine.ready_at:
            return
        lease, wait_s = await self._write_lease(engine, target)
        if lease is None:
            return
        if wait_s:
            engine.ready_at = self._node.now() + wait_s
            return
        if may_send_order(now, self._node.now()):
            await self._send(engine, target, lease)

    async def _write_lease(
        self,
        engine: _Engine,
        target: Target,
    ) -> tuple[OrderLease | None, float]:
        node = self._node
        endpoint = engine.endpoint
        name = lease_name(endpoint.name)
        stored = await node.store.read(name)
        found = parse_json(OrderLease, stored.body or '') if stored else None
        if not may_take_lease(found, target.basis):
            log_event('order_basis_old', engine=endpoint.name)
            return None, 0
        lease = next_lease(
            found,
            node.host,
            node.incarnation,
            target.basis,
            new_write_id(),
        )
        await write_with_retry(
            node.store,
            name,
            serialize_json(lease),
            stored.version if stored else ABSENT,
        )
        wait_s = order_delay_s(
            found,
            engine.known_fencing,
            fenced=endpoint.fenced,
        )
        engine.known_fencing = lease.fencing
        return lease, wait_s

    async def _send(
        self,
        engine: _Engine,
        target: Target,
        lease: OrderLease,
    ) -> None:
        outcome = 'taken'
        engine.ordered_at = self._node.now()
        try:
            await self._control.send_order(
                engine.endpoint.address,
                make_order(target, lease),
            )
        except OrderFenced:
            outcome = 'fenced'
        except PeerUnavailable:
            outcome = 'unknown'
        self._node.metrics.orders.labels(outcome).inc()
        log_event(
            'order',
            engine=engine.endpoint.name,
            weights=target.weights,
            version=target.version,
            fencing=lease.fencing,
            outcome=outcome,
        )
