"""Limits the requests to cold endpoints, over all hosts together.

Answers the load of a data centre whose endpoints return empty at the same
time: every host finds them the least loaded, and a burst that goes to one of
them overloads it while it warms up.

The runner that places requests uses the larger part of what a cold endpoint
may get. The rest belongs to hosts that choose on their own; each of them sends
a request to a cold endpoint once in so many seconds that all of them together
stay within their part, without messages between them.
"""

import random

from jacinthmount.records import Record

__all__ = (
    'HOSTS_FRACTION',
    'RUNNER_FRACTION',
    'ColdLimit',
    'ColdPeriod',
    'host_limit',
    'runner_limit',
)

# Two runners that both count as active still exceed the rate by a third only.
RUNNER_FRACTION = 2 / 3
HOSTS_FRACTION = 1 - RUNNER_FRACTION


class ColdLimit(Record):
    """How this process treats the cold endpoints of a service.

    ``period_s`` is how long an endpoint stays cold after its start.
    ``interval_s`` is the time between two requests of this process to the same
    cold endpoint; 0 means no limit. ``first_wait_s`` is the longest time before
    the first of them.
    """

    __slots__ = ('period_s', 'interval_s', 'first_wait_s')

    period_s: float
    interval_s: float
    first_wait_s: float


def runner_limit(period_s: float, per_s: float) -> ColdLimit:
    """Returns the limit of the runner that places requests.

    :param per_s: requests per second that a cold endpoint tolerates, 0 if
        there is no such limit.
    """
    interval_s = 1 / (per_s * RUNNER_FRACTION) if per_s else 0.0
    return ColdLimit(period_s=period_s, interval_s=interval_s, first_wait_s=0.0)


def host_limit(period_s: float, per_s: float, hosts: int) -> ColdLimit:
    """Returns the limit of each of several hosts that choose on their own.

    :param per_s: requests per second that a cold endpoint tolerates, 0 if
        there is no such limit.
    """
    interval_s = max(1, hosts) / (per_s * HOSTS_FRACTION) if per_s else 0.0
    return ColdLimit(
        period_s=period_s, interval_s=interval_s, first_wait_s=interval_s
    )


class ColdPeriod:
    """Whether an endpoint is cold, as known to this process.

    The endpoint states how long it stays cold. After a time in which nothing
    was known of it, it may have restarted, so it is presumed cold until its
    next statement.
    """

    __slots__ = ('_ends_at', '_next_at', '_presumed', 'limit')

    def __init__(self, *, limit: ColdLimit) -> None:
        self.limit = limit
        self._ends_at = 0.0
        self._next_at = 0.0
        self._presumed = False

    def on_stated(self, left_s: float, rng: random.Random, now: float) -> None:
        """Records that the endpoint stated how long it stays cold.

        :param left_s: seconds, 0 if it is not cold.
        """
        self._presumed = False
        self._begin(left_s, rng, now)

    def presume(self, rng: random.Random, now: float) -> None:
        """Presumes that the endpoint has just become cold."""
        self._presumed = True
        self._begin(self.limit.period_s, rng, now)

    def is_cold(self, now: float) -> bool:
        """Returns whether the endpoint counts as cold."""
        return now < self._ends_at

    def may_send(self, now: float) -> bool:
        """Returns whether this process may choose the endpoint now."""
        return now >= min(self._ends_at, self._next_at)

    def may_send_assigned(self, now: float) -> bool:
        """Returns whether a request that the runner placed may be sent.

        The runner counts the requests to endpoints that state to be cold, but
        does not know what this process presumes.
        """
        return not self._presumed or self.may_send(now)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until this process may choose the endpoint."""
        return max(0.0, min(self._ends_at, self._next_at) - now)

    def on_sent(self, now: float) -> None:
        """Records that a request is about to be sent."""
        self._next_at = now + self.limit.interval_s

    def _begin(self, left_s: float, rng: random.Random, now: float) -> None:
        if not self.is_cold(now):
            wait_s = rng.uniform(0, self.limit.first_wait_s)
            self._next_at = max(self._next_at, now + wait_s)
        self._ends_at = now + left_s
