"""A token bucket whose rate and burst may change."""

__all__ = ('TokenBucket',)

UNKNOWN_WAIT_S = 1.0


class TokenBucket:
    """Tokens that accrue at a rate up to a burst; times are monotonic."""

    __slots__ = ('_at', 'burst', 'level', 'rate_per_s')

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        level: float,
        now: float,
    ) -> None:
        """Starts with a level."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self._at = now

    def resize(self, rate_per_s: float, burst: float, now: float) -> None:
        """Takes a changed rate and burst."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now: float) -> None:
        """Adds what has accrued."""
        gained = max(0.0, now - self._at) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self._at = max(now, self._at)

    def add(self, tokens: float) -> None:
        """Adds tokens up to the burst."""
        self.level = min(self.burst, self.level + tokens)

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        return bool(self.take_up_to(1, now))

    def take_up_to(self, wanted: int, now: float) -> int:
        """Takes as many whole tokens as there are, up to a number."""
        self.refill(now)
        taken = min(wanted, int(self.level))
        self.level -= taken
        return taken

    def wait_s(self, now: float) -> float:
        """Estimates the seconds until there is a token."""
        self.refill(now)
        if self.rate_per_s <= 0:
            return UNKNOWN_WAIT_S
        return max(0.0, 1 - self.level) / self.rate_per_s
