"""Orders to one engine: an outdated order never follows a newer one.

Two hosts both act as if they were responsible for the engine. Time moves in
steps; a host may be paused between any two of its steps, an order may arrive at
any time within its time limit, and the answer to a lease write may be lost.
One host may still hold old declarations. The lease, the wait and the check
before an order are the production code.
"""

from jacinthmount.orders import (
    ORDER_MAX_S,
    OrderLease,
    may_send_order,
    may_take_lease,
    next_lease,
    order_delay_s,
)
from minicheck import Protocol

__all__ = ('Rules', 'build')

HOSTS = 2
STEP_S = 4
END_S = 28
MAX_FENCING = 4
NO_HOLDER = -1
IDLE_HOST = ('idle', 0, 0, 0, 0)


class Rules:
    """Whether the engine checks fencing, and the rules that a variant omits."""

    __slots__ = (
        'fenced',
        'forget_lost_answer',
        'ignore_basis',
        'order_late',
        'skip_wait',
    )

    def __init__(
        self,
        *,
        fenced: bool,
        skip_wait: bool = False,
        order_late: bool = False,
        ignore_basis: bool = False,
        forget_lost_answer: bool = False,
    ) -> None:
        self.fenced = fenced
        self.skip_wait = skip_wait
        self.order_late = order_late
        self.ignore_basis = ignore_basis
        self.forget_lost_answer = forget_lost_answer


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    ``lease`` is ``(holder, fencing, basis)``. A host is ``(phase, time,
    fencing, basis, known fencing)``, where time is that of its lease write or
    of the end of its wait. An order in flight is ``(sent at, fencing,
    basis)``. The engine is ``(fencing, basis, reverted)``, where reverted means
    that it ran an order with an older basis than that of an earlier one.
    """
    return Protocol(
        name='engine orders',
        candidate=False,
        fields=('now', 'lease', 'hosts', 'orders', 'engine'),
        initial=(
            0,
            (NO_HOLDER, 0, 0),
            (IDLE_HOST, IDLE_HOST),
            (),
            (0, 0, False),
        ),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={
            'never_reverts': lambda fields: not fields['engine'][2],
        },
    )


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    successors = list(_advance_time(fields))
    for index in range(HOSTS):
        for label, after in _host_steps(fields, index, rules):
            successors.append((f'host {index} {label}', after))
    for order in fields[3]:
        successors.append((
            f'order {order} arrives',
            _arrive(fields, order, rules),
        ))
    return successors


def _advance_time(fields: tuple):
    now, lease, hosts, orders, engine = fields
    if now >= END_S:
        return
    after = now + STEP_S
    # An order that exceeds its time limit is cancelled with its connection.
    remaining = tuple(
        order for order in orders if after - order[0] < ORDER_MAX_S
    )
    yield 'time', (after, lease, hosts, remaining, engine)


def _host_steps(fields: tuple, index: int, rules: Rules):
    phase = fields[2][index][0]
    if phase == 'idle':
        yield from _write_lease(fields, index, rules)
    elif phase == 'ready':
        yield from _send(fields, index, rules)
    elif fields[0] >= fields[2][index][1]:
        yield 'has waited', _to_idle(fields, index)


def _write_lease(fields: tuple, index: int, rules: Rules):
    now, lease, hosts, orders, engine = fields
    holder, fencing, _ = lease
    if fencing >= MAX_FENCING:
        return
    # The second host has the newer declarations.
    basis = index + 1
    current = _as_lease(lease)
    if not rules.ignore_basis and not may_take_lease(current, basis):
        return
    taken = next_lease(current, f'host {index}', str(index), basis, '')
    known = hosts[index][4]
    if (
        rules.forget_lost_answer
        and current
        and current.holder == f'host {index}'
    ):
        known = fencing
    wait_s = order_delay_s(current, known, fenced=rules.fenced)
    if rules.skip_wait:
        wait_s = 0
    after = (now, (index, taken.fencing, basis), hosts, orders, engine)
    state = ('ready', now, taken.fencing, basis, taken.fencing)
    if wait_s:
        state = ('waiting', now + wait_s, 0, 0, taken.fencing)
    yield 'writes the lease', _with_host(after, index, state)
    yield 'writes the lease, answer lost', after


def _send(fields: tuple, index: int, rules: Rules):
    now, lease, hosts, orders, engine = fields
    _, written_at, fencing, basis, _ = hosts[index]
    if rules.order_late or may_send_order(written_at, now):
        order = (now, fencing, basis)
        sent = (now, lease, hosts, tuple(sorted({*orders, order})), engine)
        yield 'sends its order', _to_idle(sent, index)
    yield 'drops its order', _to_idle(fields, index)


def _arrive(fields: tuple, order: tuple, rules: Rules) -> tuple:
    now, lease, hosts, orders, engine = fields
    _, fencing, basis = order
    remaining = tuple(other for other in orders if other != order)
    if rules.fenced and fencing < engine[0]:
        return (now, lease, hosts, remaining, engine)
    reverted = engine[2] or basis < engine[1]
    return (now, lease, hosts, remaining, (fencing, basis, reverted))


def _as_lease(lease: tuple) -> OrderLease | None:
    holder, fencing, basis = lease
    if holder == NO_HOLDER:
        return None
    return OrderLease(
        holder=f'host {holder}',
        incarnation=str(holder),
        fencing=fencing,
        basis=basis,
        write_id='',
    )


def _to_idle(fields: tuple, index: int) -> tuple:
    known = fields[2][index][4]
    return _with_host(fields, index, ('idle', 0, 0, 0, known))


def _with_host(fields: tuple, index: int, host: tuple) -> tuple:
    now, lease, hosts, orders, engine = fields
    changed = list(hosts)
    changed[index] = host
    return (now, lease, tuple(changed), orders, engine)
