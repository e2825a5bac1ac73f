"""Orders that bring this host's engines to their declared weights."""

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

CHECK_INTERVAL_S = 1.0
SETTLED_POLL_INTERVAL_S = 5.0
CLOSE_REQUEST_TIMEOUT_S = 0.8


class _Engine:
    """Progress of one engine towards its declared weights.

    ``closing`` is set while an order needs the engine idle. ``closed_notified``
    is the state last sent to the hosts; ``acknowledged`` are those that
    confirmed it.
    """

    __slots__ = (
        'acknowledged',
        'closed_at',
        'closed_notified',
        'closing',
        'endpoint',
        'known_fencing',
        'ordered_at',
        'polled_at',
        'ready_at',
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
        # A previous owner may have closed it, so the first state is always
        # sent.
        self.closed_notified = True
        self.closed_at = 0.0
        self.acknowledged: set[str] = set()
        self.ordered_at: float | None = None
        self.known_fencing = 0
        self.ready_at = 0.0
        self.polled_at = -SETTLED_POLL_INTERVAL_S

    def is_settled(self) -> bool:
        """Checks whether the engine runs the declared weights."""
        return self.slot is None and runs_target(self.target, self.state)


class OrderTask:
    """Brings engines to their declared weights, one order at a time each."""

    __slots__ = (
        '_capacity',
        '_control',
        '_engines',
        '_links',
        '_node',
        '_slots',
    )

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        rooms: EngineCapacity,
        control: EngineControl,
        slots: LoadSlots,
    ) -> None:
        self._node = node
        self._links = links
        self._capacity = rooms
        self._control = control
        self._slots = slots
        self._engines: dict[str, _Engine] = {}

    async def run(self) -> None:
        """Checks each owned engine until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            if self._node.loaded:
                await self._check_engines()

    async def _check_engines(self) -> None:
        owned = {
            declared.name: declared
            for declared in self._capacity.owned_endpoints()
        }
        for name in set(self._engines) - set(owned):
            self._engines.pop(name)
        async with curio.TaskGroup(wait=all) as group:
            for endpoint in owned.values():
                await group.spawn(self._check_engine, endpoint)

    async def _check_engine(self, endpoint: Endpoint) -> None:
        engine = self._engines.get(endpoint.name)
        target = self._find_target(endpoint)
        if target is None:
            await self._stop_orders(endpoint)
            return
        if engine is None or engine.endpoint.address != endpoint.address:
            engine = _Engine(endpoint=endpoint)
        changed = engine.target != target
        engine.endpoint = endpoint
        engine.target = target
        self._engines[endpoint.name] = engine
        now = self._node.now()
        poll_due = now - engine.polled_at >= SETTLED_POLL_INTERVAL_S
        is_settled = engine.is_settled() and self._is_acknowledged(engine)
        if is_settled and not changed and not poll_due:
            return
        engine.polled_at = now
        try:
            await self._advance(engine)
        except JacinthmountError as exc:
            log_event('order_waits', engine=endpoint.name, error=str(exc))

    async def _stop_orders(self, endpoint: Endpoint) -> None:
        # No weights are declared any more: the engine keeps those it has.
        engine = self._engines.pop(endpoint.name, None)
        if engine is not None:
            engine.target = None
            engine.closing = False
            await self._notify_closed(engine)

    async def _advance(self, engine: _Engine) -> None:
        await self._read_state(engine)
        if runs_target(engine.target, engine.state):
            engine.closing = False
        await self._notify_closed(engine)
        await self._renew_slot(engine)
        step = next_step(self._make_view(engine))
        if step is Step.TAKE_SLOT:
            await self._take_slot(engine)
        elif step is Step.CLOSE:
            engine.closing = True
            engine.closed_at = self._node.now()
            await self._notify_closed(engine)
        elif step is Step.ORDER:
            await self._give_order(engine)
        elif step is Step.FINISH and self._is_acknowledged(engine):
            # A host that takes this engine for closed would have none left if
            # the next one were closed.
            await self._free_slot(engine)

    async def _read_state(self, engine: _Engine) -> None:
        try:
            engine.state = await self._control.read_state(
                engine.endpoint.address,
            )
        except PeerUnavailable:
            engine.state = None

    def _find_target(self, endpoint: Endpoint) -> Target | None:
        node = self._node
        service = node.catalogue.find(Service, endpoint.service)
        names = (
            object_name('service', endpoint.service),
            object_name('endpoint', endpoint.name),
        )
        objects = [node.table.read(name) for name in names]
        basis = max(
            (stored.version for stored in objects if stored), default=ABSENT
        )
        return make_target(service, endpoint, basis)

    def _make_view(self, engine: _Engine) -> OrderView:
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
            closed=engine.closed_notified and self._is_acknowledged(engine),
            idle=self._is_idle(engine, now),
            others=sum(state.available(now) for state in siblings),
            siblings=len(siblings),
            ordered_s=ordered_s,
        )

    def _is_acknowledged(self, engine: _Engine) -> bool:
        return engine.acknowledged.issuperset(self._node.live_hosts())

    def _is_idle(self, engine: _Engine, now: float) -> bool:
        if self._capacity.is_idle(engine.endpoint):
            return True
        # No request may run past its deadline, so one that is still counted
        # after that time is not waited for.
        profile: Profile | None = self._node.catalogue.profile_of(
            engine.endpoint.service,
        )
        limit_s = profile.deadline_s if profile else 0
        return engine.closing and now - engine.closed_at >= limit_s

    async def _notify_closed(self, engine: _Engine) -> None:
        serving = serves(engine.target, engine.state)
        closed = engine.closing or not serving
        if closed is not engine.closed_notified:
            engine.acknowledged = set()
        elif not closed and self._is_acknowledged(engine):
            return
        engine.closed_notified = closed
        message = EngineClosed(engine=engine.endpoint.name, closed=closed)
        await self._capacity.on_closed(message)
        engine.acknowledged.add(self._node.host)
        async with curio.TaskGroup(wait=all) as group:
            for host in self._node.live_hosts():
                if host != self._node.host:
                    await group.spawn(self._notify_host, engine, host, message)

    async def _notify_host(
        self,
        engine: _Engine,
        host: str,
        message: EngineClosed,
    ) -> None:
        delivered = await notify_host(
            self._node,
            self._links,
            host,
            message,
            CLOSE_REQUEST_TIMEOUT_S,
        )
        if delivered:
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

    async def _give_order(self, engine: _Engine) -> None:
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
            await self._send_order(engine, target, lease)

    async def _write_lease(
        self,
        engine: _Engine,
        target: Target,
    ) -> tuple[OrderLease | None, float]:
        node = self._node
        endpoint = engine.endpoint
        name = lease_name(endpoint.name)
        stored = await node.store.read(name)
        current_lease = (
            parse_json(OrderLease, stored.body or '') if stored else None
        )
        if not may_take_lease(current_lease, target.basis):
            log_event('order_basis_old', engine=endpoint.name)
            return None, 0
        lease = next_lease(
            current_lease,
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
            current_lease,
            engine.known_fencing,
            fenced=endpoint.fenced,
        )
        engine.known_fencing = lease.fencing
        return lease, wait_s

    async def _send_order(
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
