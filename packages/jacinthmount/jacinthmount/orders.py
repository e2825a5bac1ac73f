"""Orders to engines, sent by one lease holder at a time.

The holder writes the lease of an engine before each order. The write is
conditional, so an earlier holder can't renew a lease that another host has
taken. Each write increments the fencing number. Engines that ignore fencing
numbers are protected by a delay after a change of the holder.
"""

import enum

from jacinthmount.declarations import Endpoint, Service
from jacinthmount.ports import EngineOrder, EngineState
from jacinthmount.records import Record

__all__ = (
    'LoadSlot',
    'OrderLease',
    'OrderView',
    'Step',
    'Target',
    'runs_target',
    'lease_name',
    'make_order',
    'make_target',
    'may_send_order',
    'may_take_lease',
    'needs_load',
    'next_lease',
    'next_step',
    'order_delay_s',
    'serves',
    'slot_name',
    'slot_time_s',
)

# Longest time that an order takes.
ORDER_MAX_S = 5.0
# A holder sends no order later than this after it sent the write of the lease.
ORDER_STOP_S = 8.0
MIN_SLOT_S = 1.0
BYTES_PER_MIB = 1_048_576


class OrderLease(Record):
    """Lease of the host that may send orders to an engine.

    ``fencing`` increases with each write. ``basis`` is the version of the
    newest declaration on which any holder has based an order.
    """

    __slots__ = ('holder', 'incarnation', 'fencing', 'basis', 'write_id')

    holder: str
    incarnation: str
    fencing: int
    basis: int
    write_id: str


class LoadSlot(Record):
    """The engine of a data centre that loads weights from the store."""

    __slots__ = ('engine', 'holder', 'incarnation', 'write_id')

    engine: str
    holder: str
    incarnation: str
    write_id: str


class Target(Record):
    """Declared state of an engine; an empty field may have any value."""

    __slots__ = ('weights', 'version', 'adapters', 'role', 'basis')

    weights: str
    version: str
    adapters: list[str]
    role: str
    basis: int


class Step(enum.Enum):
    """Next action of the lease holder for one engine."""

    NOTHING = 'nothing'
    WAIT = 'wait'
    TAKE_SLOT = 'take_slot'
    CLOSE = 'close'
    ORDER = 'order'
    FINISH = 'finish'


class OrderView(Record):
    """State of one engine as known to the lease holder.

    ``state`` is None if the engine does not respond. ``closed`` is true once
    all hosts have stopped sending requests, and ``idle`` once none is running.
    ``siblings`` is the number of other engines of the service, ``others`` the
    number of those that are available. ``ordered_s`` is the age of the last
    order.
    """

    __slots__ = (
        'target',
        'state',
        'has_slot',
        'closed',
        'idle',
        'others',
        'siblings',
        'ordered_s',
    )

    target: Target | None
    state: EngineState | None
    has_slot: bool
    closed: bool
    idle: bool
    others: int
    siblings: int
    ordered_s: float | None


def make_target(
    service: Service | None,
    endpoint: Endpoint,
    basis: int,
) -> Target | None:
    """Creates the target of an engine, or None if nothing is declared.

    :param basis: version of the newer of the two declarations.
    """
    if service is None or not (service.weights or endpoint.role):
        return None
    return Target(
        weights=service.weights,
        version=service.version,
        adapters=sorted(service.adapters),
        role=endpoint.role,
        basis=basis,
    )


def needs_load(target: Target, state: EngineState) -> bool:
    """Returns whether an engine has to load weights from the store."""
    if not target.weights:
        return False
    loaded = (state.weights, state.version)
    return loaded != (target.weights, target.version)


def serves(target: Target | None, state: EngineState | None) -> bool:
    """Returns whether an engine may get requests, as far as is known.

    An engine with an earlier version serves until it is its turn to load.
    """
    if target is None or state is None:
        return True
    has_weights = not target.weights or state.weights == target.weights
    return has_weights and not state.loading


def runs_target(target: Target | None, state: EngineState | None) -> bool:
    """Returns whether an engine runs its target and is not loading."""
    if target is None or state is None:
        return False
    return not state.loading and not _differs(target, state)


def next_step(view: OrderView) -> Step:
    """Returns the next step for one engine.

    An engine that serves is closed only while another engine of its service is
    available, unless it is the only one.
    """
    state = view.state
    if view.target is None or state is None:
        return Step.NOTHING
    if not _differs(view.target, state):
        done = view.has_slot and not state.loading
        return Step.FINISH if done else Step.NOTHING
    if state.loading or _ordered_recently(view.ordered_s):
        return Step.WAIT
    if not view.has_slot and needs_load(view.target, state):
        return Step.TAKE_SLOT
    if view.closed:
        return Step.ORDER if view.idle else Step.WAIT
    return Step.CLOSE if _may_close(view, state) else Step.WAIT


def make_order(target: Target, lease: OrderLease) -> EngineOrder:
    """Creates the order for a lease that was just written."""
    return EngineOrder(
        weights=target.weights,
        version=target.version,
        adapters=target.adapters,
        role=target.role,
        fencing=lease.fencing,
    )


def may_take_lease(current: OrderLease | None, basis: int) -> bool:
    """Returns whether a host knows every declaration that holders acted on.

    A host with older declarations would order a state that was since replaced.
    """
    return current is None or current.basis <= basis


def next_lease(
    current: OrderLease | None,
    host: str,
    incarnation: str,
    basis: int,
    write_id: str,
) -> OrderLease:
    """Creates the lease that replaces or renews the current one."""
    return OrderLease(
        holder=host,
        incarnation=incarnation,
        fencing=current.fencing + 1 if current else 1,
        basis=basis,
        write_id=write_id,
    )


def may_send_order(written_at: float, now: float) -> bool:
    """Returns whether a holder may still send its order.

    :param written_at: time at which the write of the lease was sent.
    """
    return now - written_at < ORDER_STOP_S


def order_delay_s(
    current: OrderLease | None,
    known_fencing: int,
    *,
    fenced: bool,
) -> float:
    """Returns how long a holder waits before its order, in seconds.

    An engine that ignores fencing numbers may still receive the last order of
    the previous holder, so the new holder waits until that has ended. A lease
    of this process counts as that of another holder if the process does not
    know that it wrote it: the response was lost, and the delay did not take
    place.

    :param current: the lease that was replaced.
    :param known_fencing: number of the last lease that this process knows to
        have written, 0 for none.
    :param fenced: whether the engine checks fencing numbers.
    """
    if current is None or fenced or current.fencing == known_fencing:
        return 0.0
    return ORDER_STOP_S + ORDER_MAX_S


def slot_time_s(size_bytes: int, rate_mib_per_s: float) -> float:
    """Returns the minimum time for which a load keeps its slot, in seconds.

    :param rate_mib_per_s: bandwidth of the store for one slot, 0 for no limit.
    """
    if not rate_mib_per_s:
        return MIN_SLOT_S
    return max(MIN_SLOT_S, size_bytes / BYTES_PER_MIB / rate_mib_per_s)


def lease_name(engine: str) -> str:
    """Returns the name of the lease object of an engine."""
    return f'orders/lease/{engine}'


def slot_name(data_centre: str, index: int) -> str:
    """Returns the name of the object of a load slot."""
    return f'orders/slot/{data_centre}/{index}'


def _differs(target: Target, state: EngineState) -> bool:
    if needs_load(target, state):
        return True
    if target.role and target.role != state.role:
        return True
    return bool(target.weights) and target.adapters != sorted(state.adapters)


def _may_close(view: OrderView, state: EngineState) -> bool:
    if not serves(view.target, state):
        return True
    return view.others > 0 or view.siblings == 0


def _ordered_recently(ordered_s: float | None) -> bool:
    return ordered_s is not None and ordered_s < ORDER_MAX_S
