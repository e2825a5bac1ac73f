"""An online request and the progress of its attempts."""

import math

from jacinthmount.crash_strikes import Suspect
from jacinthmount.fleet_config import RouteRule
from jacinthmount.request_digest import digest_request, digest_stream
from jacinthmount.resumable_text import ResumableText

from jacinthmount_node.relay.protocols import RelayedRequest, RelayMark

__all__ = ('OnlineCall', 'find_taken_at')


def find_taken_at(mark: RelayMark | None, arrived_at: float) -> float:
    """Returns when a request was taken, by which a planned stop judges it.

    Another host can send its requests elsewhere, so that only the time that
    they may take counts.

    :param mark: that of the host that sent it for its caller, or None.
    :param arrived_at: monotonic time in seconds.
    """
    return arrived_at if mark is None else math.inf


class OnlineCall(ResumableText):
    """An admitted request and the progress of its attempts.

    ``service`` serves its first attempt. ``assigned_id`` is the id of the
    endpoint that the runner chose for that attempt, or an empty string.
    ``resume_until`` bounds the wait of a stream that has begun for another
    endpoint, in monotonic seconds.
    ``events`` counts the events of the current attempt, which has
    ``progressed`` if they show that the endpoint did not crash on its answer.
    ``last_reply_at`` is the time of the last data, ``inf`` while the caller has
    not taken what was sent.
    ``stream`` is the digest of the attempt that brought its first event.
    ``suspect`` tells the request from others if an endpoint crashes. The only
    attempt of a request with ``is_trial`` may be sent although it is blocked.
    """

    __slots__ = (
        'account',
        'answered_at',
        'arrived_at',
        'attempts',
        'body',
        'deadline',
        'endpoint_id',
        'mark',
        'events',
        'is_trial',
        'last_reply_at',
        'assigned_id',
        'refusals',
        'progressed',
        'request',
        'resume_until',
        'route',
        'service',
        'stream',
        'suspect',
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
        service: str,
        mark: RelayMark | None = None,
    ) -> None:
        """Starts without attempts.

        :param arrived_at: monotonic time in seconds.
        :param deadline: monotonic time in seconds.
        :param mark: that of the host that sent it for its caller, or None.
        """
        super().__init__(last_event=request.received_events)
        self.request = request
        self.route = route
        self.account = account
        self.body = body
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.service = service
        self.assigned_id = ''
        self.last_reply_at = arrived_at
        self.answered_at = arrived_at
        self.endpoint_id = ''
        self.resume_until = deadline
        self.waited_s = 0.0
        self.mark = mark
        self.attempts = mark.attempts if mark else 0
        self.events = 0
        self.progressed = False
        self.is_trial = False
        self.refusals = 0
        self.tried: set[str] = set()
        self.stream = digest_stream(
            account, request.first_attempt or request.request_id
        )
        self.suspect = Suspect(
            request=digest_request(
                account,
                route.name,
                request.method,
                request.target,
                body,
            ),
            parts=request.shared_parts,
        )

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was sent to the caller."""
        return self.answered_at > self.arrived_at

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller has a part of the stream already."""
        return self.request.received_events is not None

    def may_repeat(self, now: float) -> bool:
        """Checks whether another endpoint may run the request again."""
        return (
            self.route.idempotent
            and not self.is_trial
            and self.attempts < self.route.max_attempts
            and self.deadline > now
        )
