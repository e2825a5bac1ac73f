"""An online request, how far it came, and the error that it may end with."""

from jacinthmount.dispatch import Next
from jacinthmount.errors import (
    DeadlineExceeded,
    EndpointFailed,
    EndpointsFull,
    JacinthmountError,
    OutcomeUnknown,
)
from jacinthmount.fleet_config import RouteRule

from jacinthmount_node.relay.protocols import RelayedRequest

__all__ = ('OnlineCall', 'make_failure')


class OnlineCall:
    """An admitted request and how far it came."""

    __slots__ = (
        'account',
        'answered_at',
        'arrived_at',
        'attempts',
        'body',
        'deadline',
        'endpoint_id',
        'heard_at',
        'last_event',
        'refusals',
        'request',
        'route',
        'tried',
        'waited_s',
    )

    def __init__(
        self,
        *,
        request: RelayedRequest,
        route: RouteRule,
        account: str,
        body: bytes,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Keeps the facts; times are monotonic seconds."""
        self.request = request
        self.route = route
        self.account = account
        self.body = body
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.last_event = request.received_events
        self.heard_at = arrived_at
        self.answered_at = arrived_at
        self.endpoint_id = ''
        self.waited_s = 0.0
        self.attempts = 0
        self.refusals = 0
        self.tried: set[str] = set()


def make_failure(outcome: Next, *, time_left: bool) -> JacinthmountError:
    """Makes the error that tells a caller how its request ended."""
    if outcome is Next.NOT_RUN:
        return EndpointsFull(
            detail='no endpoint took the request',
            retry_after_s=0.5,
        )
    if outcome is Next.UNKNOWN:
        return OutcomeUnknown(detail='the connection was lost')
    if not time_left:
        return DeadlineExceeded(detail='no whole answer before the deadline')
    return EndpointFailed(detail='endpoints failed')
