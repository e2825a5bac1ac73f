"""Budget that bounds retries to a part of the requests."""

__all__ = ('RetryBudget',)

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0


class RetryBudget:
    """Retries earned by requests, so that failures can't multiply load."""

    __slots__ = ('_level', '_reserve')

    def __init__(self, *, reserve: float = RETRY_RESERVE) -> None:
        """Starts full.

        :param reserve: most retries that can be saved up.
        """
        self._reserve = reserve
        self._level = reserve

    def on_request(self) -> None:
        """Earns a part of a retry with a first attempt."""
        self._level = min(self._reserve, self._level + RETRY_RATIO)

    def spend(self) -> bool:
        """Spends one retry if there is one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True
