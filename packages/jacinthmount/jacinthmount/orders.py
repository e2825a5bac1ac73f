"""Orders to engines: one holder at a time, also without fencing.

The holder writes the lease of an engine before each order. The write is
conditional, so that an earlier holder can't renew once another has taken the
lease, and it carries a fencing number that rises with each order.
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

ORDER_MAX_S = 5.0
ORDER_STOP_S = 8.0
MIN_SLOT_S = 1.0
BYTES_PER_MIB = 1_048_576


class OrderLease(Record):
    """Who may order an engine.

    ``fencing`` rises with each write. ``basis`` is the version of the
    newest declaration that any holder has acted on.
    """

    __slots__ = ('holder', 'incarnation', 'fencing', 'basis', 'write_id')

    holder: str
    incarnation: str
    fencing: int
    basis: int
    write_id: str


class LoadSlot(Record):
    """Which engine of a data centre takes weights from the store."""

    __slots__ = ('engine', 'holder', 'incarnation', 'write_id')

    engine: str
    holder: str
    incarnation: str
    write_id: str


class Target(Record):
    """What an engine is declared to run; an empty field is left alone."""

    __slots__ = ('weights', 'version', 'adapters', 'role', 'basis')

    weights: str
    version: str
    adapters: list[str]
    role: str
    basis: int


class Step(enum.Enum):
    """What the holder does next about one engine."""

    NOTHING = 'nothing'
    WAIT = 'wait'
    TAKE_SLOT = 'take_slot'
    CLOSE = 'close'
    ORDER = 'order'
    FINISH = 'finish'


class OrderView(Record):
    """What the holder knows of one engine.

    ``state`` is None where the engine does not answer. ``closed`` tells that
    every host has stopped sending work, ``idle`` that none is running, and
    ``others`` counts the engines of the service that serve meanwhile.
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
    """Makes the target of an engine, or None where nothing is declared.

    :param basis: version of the newer one of the two declarations.
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
    """Tells whether an engine has to take weights from the store."""
    if not target.weights:
        return False
    held = (state.weights, state.version)
    return held != (target.weights, target.version)


def serves(target: Target | None, state: EngineState | None) -> bool:
    """Tells whether an engine may get work, as far as is known.

    One with an earlier version goes on until its own turn to load.
    """
    if target is None or state is None:
        return True
    ours = not target.weights or state.weights == target.weights
    return ours and not state.loading


def runs_target(target: Target | None, state: EngineState | None) -> bool:
    """Tells whether an engine runs what is declared."""
    if target is None or state is None:
        return False
    return not state.loading and not _differs(target, state)


def next_step(view: OrderView) -> Step:
    """Decides the next step about one engine.

    An engine that serves is closed only while another one of its service
    serves, unless it is the only one there is.
    """
    state = view.state
    if view.target is None or state is None:
        return Step.NOTHING
    if not _differs(view.target, state):
        done = view.has_slot and not state.loading
        return Step.FINISH if done else Step.NOTHING
    if state.loading or _recently(view.ordered_s):
        return Step.WAIT
    if not view.has_slot and needs_load(view.target, state):
        return Step.TAKE_SLOT
    if view.closed:
        return Step.ORDER if view.idle else Step.WAIT
    return Step.CLOSE if _may_close(view, state) else Step.WAIT


def make_order(target: Target, lease: OrderLease) -> EngineOrder:
    """Makes the order under a lease that was just written."""
    return EngineOrder(
        weights=target.weights,
        version=target.version,
        adapters=target.adapters,
        role=target.role,
        fencing=lease.fencing,
    )


def may_take_lease(found: OrderLease | None, basis: int) -> bool:
    """Tells whether a host knows as much as every earlier holder did.

    A host that lags behind would otherwise order what is no longer declared.
    """
    return found is None or found.basis <= basis


def next_lease(
    found: OrderLease | None,
    host: str,
    incarnation: str,
    basis: int,
    write_id: str,
) -> OrderLease:
    """Makes the lease that replaces or renews the one found."""
    return OrderLease(
        holder=host,
        incarnation=incarnation,
        fencing=found.fencing + 1 if found else 1,
        basis=basis,
        write_id=write_id,
    )


def may_send_order(written_at: float, now: float) -> bool:
    """Tells whether a holder may still send its order.

    :param written_at: time at which the write of the lease was sent.
    """
    return now - written_at < ORDER_STOP_S


def order_delay_s(
    found: OrderLease | None,
    known_fencing: int,
    *,
    fenced: bool,
) -> float:
    """Tells how long a holder waits before its order, in seconds.

    An endpoint that ignores fencing numbers could still receive the last
    order of the previous holder, so that the new one lets it end first. A
    lease in the name of this process counts as another's where it does not
    know that it wrote it: the answer was lost, and with it the wait.

    :param found: the lease that was replaced.
    :param known_fencing: number of the last lease that this process knows to
        have written, 0 for none.
    """
    if found is None or fenced or found.fencing == known_fencing:
        return 0.0
    return ORDER_STOP_S + ORDER_MAX_S


def slot_time_s(size_bytes: int, rate_mib_per_s: float) -> float:
    """Tells how long a load keeps its slot at least, in seconds.

    :param rate_mib_per_s: part of the store's rate for one slot; 0 is
        without a limit.
    """
    if not rate_mib_per_s:
        return MIN_SLOT_S
    return max(MIN_SLOT_S, size_bytes / BYTES_PER_MIB / rate_mib_per_s)


def lease_name(engine: str) -> str:
    """Names the object of an engine's lease."""
    return f'orders/lease/{engine}'


def slot_name(data_centre: str, index: int) -> str:
    """Names the object of one load slot of a data centre."""
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


def _recently(ordered_s: float | None) -> bool:
    return ordered_s is not None and ordered_s < ORDER_MAX_S
