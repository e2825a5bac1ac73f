"""Adaptive timeout of requests, from the times that replies have taken.

When the host that grants tokens is lost under load, each request to it runs
into its timeout. With a timeout much longer than the usual reply time, the
online requests that wait for a token would miss their latency target for
nothing.
"""

import math

__all__ = ('ReplyTime',)

# Smoothed mean and deviation, as in the retransmission timeout of TCP.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
MIN_LIMIT_S = 0.03


class ReplyTime:
    """Smoothed reply time and the timeout that follows from it, in seconds."""

    __slots__ = ('_deviation_s', '_max_limit_s', '_mean_s', '_timed_out_at')

    def __init__(self, *, max_limit_s: float) -> None:
        """Starts with no reply.

        :param max_limit_s: longest timeout, used until replies have arrived.
        """
        self._max_limit_s = max_limit_s
        self._mean_s = max_limit_s
        self._deviation_s = 0.0
        self._timed_out_at = -math.inf

    def on_reply(self, took_s: float) -> None:
        """Records the time that a reply took."""
        error_s = took_s - self._mean_s
        self._mean_s += error_s * MEAN_WEIGHT
        self._deviation_s += (
            abs(error_s) - self._deviation_s
        ) * DEVIATION_WEIGHT

    def on_timeout(self, now: float) -> None:
        """Records a reply that took longer than the timeout.

        Requests that time out together count once.
        """
        if now - self._timed_out_at > self._max_limit_s:
            self._timed_out_at = now
            self.on_reply(self.limit_s() * 2)

    def limit_s(self) -> float:
        """Returns the timeout of the next request."""
        limit_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(self._max_limit_s, max(MIN_LIMIT_S, limit_s))
