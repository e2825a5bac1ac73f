"""Budget that bounds retries to a part of the requests."""

__all__ = ('RetryBudget',)

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
RETRIES_PER_S = 2.0


class RetryBudget:
    """Retries earned by requests, so that failures can't multiply load.

    A few retries a second are earned without requests, so that a host with
    little traffic is not left without any after a failure.
    """

    __slots__ = ('_level', '_reserve', '_stamp')

    def __init__(
        self,
        *,
        reserve: float = RETRY_RESERVE,
        now: float = 0,
    ) -> None:
        """Starts full.

        :param reserve: most retries that can be saved up.
        :param now: monotonic seconds.
        """
        self._reserve = reserve
        self._level = reserve
        self._stamp = now

    def on_request(self) -> None:
        """Earns a part of a retry with a first attempt."""
        self._level = min(self._reserve, self._level + RETRY_RATIO)

    def spend(self, now: float) -> bool:
        """Spends one retry if there is one."""
        earned = max(0.0, now - self._stamp) * RETRIES_PER_S
        self._level = min(self._reserve, self._level + earned)
        self._stamp = max(now, self._stamp)
        if self._level < 1:
            return False
        self._level -= 1
        return True
