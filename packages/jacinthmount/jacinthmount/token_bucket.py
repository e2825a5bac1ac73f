"""A token bucket whose rate and burst may change."""

__all__ = ('TokenBucket',)

# Wait to report for a bucket that does not refill.
UNKNOWN_WAIT_S = 1.0


class TokenBucket:
    """Token bucket; times are monotonic seconds."""

    __slots__ = ('_updated_at', 'burst', 'level', 'rate_per_s')

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        level: float,
        now: float,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self._updated_at = now

    def resize(self, rate_per_s: float, burst: float, now: float) -> None:
        """Changes rate and burst."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now: float) -> None:
        """Adds the tokens that have accrued."""
        accrued = max(0.0, now - self._updated_at) * self.rate_per_s
        self.level = min(self.burst, self.level + accrued)
        self._updated_at = max(now, self._updated_at)

    def add(self, tokens: float) -> None:
        """Adds tokens up to the burst."""
        self.level = min(self.burst, self.level + tokens)

    def take(self, now: float) -> bool:
        """Takes one token if one is available."""
        return bool(self.take_up_to(1, now))

    def take_up_to(self, wanted: int, now: float) -> int:
        """Takes whole tokens, at most ``wanted``, and returns their number."""
        self.refill(now)
        taken = min(wanted, int(self.level))
        self.level -= taken
        return taken

    def wait_s(self, now: float) -> float:
        """Estimates the seconds until a token is available."""
        self.refill(now)
        if self.rate_per_s <= 0:
            return UNKNOWN_WAIT_S
        return max(0.0, 1 - self.level) / self.rate_per_s
