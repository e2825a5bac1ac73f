"""Rate and burst of accounts over all hosts, without a wait a request.

A part of each rate is split evenly over all registered hosts and never moves;
one host grants the rest on demand. A host that is cut off keeps its even part,
so the sum holds in a partition, and no grantor acts without a majority.
"""

__all__ = ('CreditBook', 'GrantBook', 'TokenBucket')

EVEN_PART = 0.3
GRANTED_PART = 0.75
CREDIT_VALID_S = 1.0
MAX_EXTRA_TOKENS = 10.0


class TokenBucket:
    """A token bucket; times are monotonic seconds."""

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

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        self.refill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Estimates the seconds until there is a token."""
        self.refill(now)
        if self.rate_per_s <= 0:
            return 1.0
        return max(0.0, 1 - self.level) / self.rate_per_s


class _Credit:
    __slots__ = ('even', 'granted', 'valid_until')

    def __init__(self, *, even: TokenBucket) -> None:
        self.even = even
        self.granted = 0
        self.valid_until = 0.0


class CreditBook:
    """Tokens that this host may use: granted ones and its even part."""

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        """Starts empty."""
        self._credits: dict[str, _Credit] = {}

    def take(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        hosts: int,
        now: float,
    ) -> bool:
        """Takes one token, granted ones first.

        :param hosts: hosts over which the even part is split.
        """
        credit = self._credit(account, rate_per_s, burst, hosts, now)
        if now >= credit.valid_until:
            credit.granted = 0
        if credit.granted >= 1:
            credit.granted -= 1
            return True
        return credit.even.take(now)

    def on_grant(self, account: str, tokens: int, asked_at: float) -> None:
        """Adds tokens that were granted to a question sent at a time."""
        credit = self._credits.get(account)
        if credit is not None:
            credit.granted += tokens
            credit.valid_until = asked_at + CREDIT_VALID_S

    def at_hand(self, account: str, now: float) -> int:
        """Counts the granted tokens that are still valid."""
        credit = self._credits.get(account)
        if credit is None or now >= credit.valid_until:
            return 0
        return credit.granted

    def _credit(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        hosts: int,
        now: float,
    ) -> _Credit:
        part = EVEN_PART / max(1, hosts)
        # A bucket must hold one token to be of use.
        least = min(1.0, MAX_EXTRA_TOKENS / max(1, hosts))
        capacity = max(least, burst * part)
        credit = self._credits.get(account)
        if credit is None:
            even = TokenBucket(
                rate_per_s=rate_per_s * part,
                burst=capacity,
                level=0.0,
                now=now,
            )
            credit = _Credit(even=even)
            self._credits[account] = credit
        credit.even.resize(rate_per_s * part, capacity, now)
        return credit


class GrantBook:
    """Buckets of the host that grants tokens; they start empty.

    A new grantor can't know what the one before gave away.
    """

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        """Starts without buckets."""
        self._buckets: dict[str, TokenBucket] = {}

    def grant(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        wanted: int,
        now: float,
    ) -> int:
        """Grants up to a number of tokens."""
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = TokenBucket(
                rate_per_s=rate_per_s * GRANTED_PART,
                burst=max(1.0, burst * GRANTED_PART),
                level=0.0,
                now=now,
            )
            self._buckets[account] = bucket
        bucket.resize(
            rate_per_s * GRANTED_PART,
            max(1.0, burst * GRANTED_PART),
            now,
        )
        granted = min(wanted, int(bucket.level))
        bucket.level -= granted
        return granted

    def wait_s(self, account: str, now: float) -> float:
        """Estimates the seconds until a token can be granted."""
        bucket = self._buckets.get(account)
        return bucket.wait_s(now) if bucket else 0.0

    def clear(self) -> None:
        """Forgets all levels, when another host may have granted meanwhile."""
        self._buckets.clear()
