"""Limits that endpoints name in their answers, over all hosts together.

Answers the load that an endpoint in need names as a number of requests per
second from all hosts. It is divided as what a cold endpoint tolerates is: the
runner that places requests has the larger part, and the hosts that choose on
their own the rest. If an endpoint is cold as well, both bounds hold.

Cold periods are too short for many hosts to stay idle and then send at once.
Here the runner saves up a second of its part for a burst, and hosts take
turns: a turn that is not used expires.
"""

import math
import random

from jacinthmount.cold_period import HOSTS_FRACTION, RUNNER_FRACTION
from jacinthmount.records import Record
from jacinthmount.token_bucket import TokenBucket

__all__ = (
    'RUNNER_SHARE',
    'EndpointLimit',
    'LimitPace',
    'LimitShare',
    'host_share',
)

BURST_S = 1.0
MIN_BURST = 2.0
# A batch item leaves a token for an online request.
ITEM_LEVEL = 2.0
# A smaller limit is taken for this one, since an endpoint that gets nothing
# can't say that its limit has ended.
MIN_PER_S = 0.02


class LimitShare(Record):
    """The part of the limits of endpoints that a process may use."""

    __slots__ = ('fraction', 'takes_turns')

    fraction: float
    takes_turns: bool


RUNNER_SHARE = LimitShare(fraction=RUNNER_FRACTION, takes_turns=False)


class EndpointLimit(Record):
    """What an endpoint named last; ``per_s`` is 0 if it named no limit.

    ``age_s`` is how many seconds ago the answer arrived that told.
    """

    __slots__ = ('endpoint_id', 'started_at_ms', 'per_s', 'age_s')

    endpoint_id: str
    started_at_ms: int
    per_s: float
    age_s: float


def host_share(hosts: int) -> LimitShare:
    """Returns the part of each host that chooses on its own."""
    return LimitShare(fraction=HOSTS_FRACTION / max(1, hosts), takes_turns=True)


class LimitPace:
    """Spaces the requests of this process to an endpoint that names a limit."""

    __slots__ = ('_bucket', '_share', '_turn_at', 'named_at', 'per_s')

    def __init__(self, *, share: LimitShare) -> None:
        self._share = share
        self.per_s = 0.0
        self.named_at = -math.inf
        self._turn_at = 0.0
        self._bucket = TokenBucket(
            rate_per_s=0.0, burst=MIN_BURST, level=0.0, now=0.0
        )

    @property
    def is_named(self) -> bool:
        """Whether the endpoint named a limit last."""
        return bool(self.per_s)

    def apply_share(self, share: LimitShare, now: float) -> None:
        """Sets the part of the limit that this process may use."""
        self._share = share
        self._resize(now)

    def on_named(
        self,
        per_s: float,
        named_at: float,
        rng: random.Random,
        now: float,
    ) -> bool:
        """Records what an answer named, unless a later one is known.

        :param per_s: requests per second from all hosts, 0 for no limit.
        :param named_at: when the answer arrived.
        :returns: whether the limit has changed.
        """
        if named_at <= self.named_at:
            return False
        self.named_at = named_at
        before = self.per_s
        self.per_s = max(per_s, MIN_PER_S) if per_s else 0.0
        self._resize(now)
        if self.per_s and not before:
            self._bucket.level = 0.0
            # Hosts that learn it at the same time take turns.
            self._turn_at = now + rng.uniform(0, self._interval_s())
        return self.per_s != before

    def wait_s(self, now: float) -> float:
        """Returns the seconds until this process may send a request."""
        if not self.per_s:
            return 0.0
        if not self._share.takes_turns:
            return self._bucket.wait_s(now)
        self._skip_turns(now)
        return max(0.0, self._turn_at - now)

    def may_send(self, now: float) -> bool:
        """Returns whether this process may send a request now."""
        return not self.wait_s(now)

    def may_send_item(self, now: float) -> bool:
        """Returns whether a batch item may be sent now."""
        if not self.per_s:
            return True
        self._bucket.refill(now)
        return not self._share.takes_turns and self._bucket.level >= ITEM_LEVEL

    def on_sent(self, now: float) -> None:
        """Records that a request is about to be sent."""
        if not self.per_s:
            return
        self._bucket.refill(now)
        self._bucket.level -= 1
        self._skip_turns(now)
        if self._turn_at <= now:
            self._turn_at += self._interval_s()

    def _resize(self, now: float) -> None:
        rate_per_s = self.per_s * self._share.fraction
        self._bucket.resize(
            rate_per_s, max(MIN_BURST, rate_per_s * BURST_S), now
        )

    def _skip_turns(self, now: float) -> None:
        """Goes on to the first turn that has not ended."""
        turn_s = 1 / (self.per_s * HOSTS_FRACTION)
        missed_s = now - self._turn_at - turn_s
        if missed_s >= 0:
            interval_s = self._interval_s()
            self._turn_at += interval_s * (missed_s // interval_s + 1)

    def _interval_s(self) -> float:
        return 1 / (self.per_s * self._share.fraction)
