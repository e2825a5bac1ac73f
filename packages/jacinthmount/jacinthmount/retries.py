"""Budget that limits retries to a fraction of the requests."""

__all__ = ('RetryBudget',)

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
RETRIES_PER_S = 2.0


class RetryBudget:
    """Retry budget that accrues with requests, so that load can't multiply.

    A few retries per second accrue without requests, so that a host with little
    traffic has some after a failure.
    """

    __slots__ = ('_level', '_reserve', '_updated_at')

    def __init__(
        self,
        *,
        reserve: float = RETRY_RESERVE,
        now: float = 0,
    ) -> None:
        """Starts full.

        :param reserve: maximum of accrued retries.
        :param now: monotonic seconds.
        """
        self._reserve = reserve
        self._level = reserve
        self._updated_at = now

    def on_request(self) -> None:
        """Adds a fraction of a retry for the first attempt of a request."""
        self._level = min(self._reserve, self._level + RETRY_RATIO)

    def spend(self, now: float) -> bool:
        """Uses one retry.

        :returns: whether one was available.
        """
        earned = max(0.0, now - self._updated_at) * RETRIES_PER_S
        self._level = min(self._reserve, self._level + earned)
        self._updated_at = max(now, self._updated_at)
        if self._level < 1:
            return False
        self._level -= 1
        return True
