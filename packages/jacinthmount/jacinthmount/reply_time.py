"""How long an answer may take before it is no longer waited for.

Answers the loss of the host that grants tokens under load: each request that
asks it waits in vain, and one that waits much longer than answers have taken so
far misses its aim for nothing.
"""

import math

__all__ = ('ReplyTime',)

# As TCP does it: mean and deviation, smoothed.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
MIN_LIMIT_S = 0.03


class ReplyTime:
    """Times that answers took, in seconds."""

    __slots__ = ('_deviation_s', '_max_limit_s', '_mean_s', '_missed_at')

    def __init__(self, *, max_limit_s: float) -> None:
        """Starts with no answer seen.

        :param max_limit_s: longest wait, and the one before the first answer.
        """
        self._max_limit_s = max_limit_s
        self._mean_s = max_limit_s
        self._deviation_s = 0.0
        self._missed_at = -math.inf

    def on_reply(self, took_s: float) -> None:
        """Notes how long an answer took."""
        error_s = took_s - self._mean_s
        self._mean_s += error_s * MEAN_WEIGHT
        self._deviation_s += (
            abs(error_s) - self._deviation_s
        ) * DEVIATION_WEIGHT

    def on_timeout(self, now: float) -> None:
        """Notes an answer that took longer than the limit.

        Questions that were missed together count once.
        """
        if now - self._missed_at > self._max_limit_s:
            self._missed_at = now
            self.on_reply(self.limit_s() * 2)

    def limit_s(self) -> float:
        """Tells for how long to wait for the next answer."""
        limit_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(self._max_limit_s, max(MIN_LIMIT_S, limit_s))
