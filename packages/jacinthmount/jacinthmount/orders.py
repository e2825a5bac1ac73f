"""Orders to engines: one holder at a time, also without fencing."""

from jacinthmount.records import Record

__all__ = ('OrderLease', 'may_order', 'next_lease', 'ready_after_s')

ORDER_MAX_S = 5.0
ORDER_LEASE_S = 20.0
ORDER_STOP_S = 8.0


class OrderLease(Record):
    """Who may order an engine; ``fencing`` rises with each holder."""

    __slots__ = ('holder', 'incarnation', 'fencing', 'write_id')

    holder: str
    incarnation: str
    fencing: int
    write_id: str


def next_lease(
    found: OrderLease | None,
    host: str,
    incarnation: str,
    write_id: str,
) -> OrderLease:
    """Makes the lease that replaces or renews the one found."""
    fencing = 1
    if found is not None:
        same = found.holder == host and found.incarnation == incarnation
        fencing = found.fencing if same else found.fencing + 1
    return OrderLease(
        holder=host,
        incarnation=incarnation,
        fencing=fencing,
        write_id=write_id,
    )


def may_order(renewed_at: float, now: float) -> bool:
    """Tells whether a holder may still send an order.

    :param renewed_at: time at which the last confirmed renewal was sent.
    """
    return now - renewed_at < ORDER_STOP_S


def ready_after_s(*, fenced: bool, first: bool) -> float:
    """Tells how long a new holder waits before its first order, in seconds.

    An endpoint that ignores fencing numbers could still receive the last
    order of the previous holder, which ends before its lease does.
    """
    if first or fenced:
        return 0.0
    return ORDER_STOP_S + ORDER_MAX_S
