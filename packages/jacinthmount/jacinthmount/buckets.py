"""Token buckets whose parts can be lent for a time."""

from jacinthmount.records import Record
from jacinthmount.token_bucket import TokenBucket

__all__ = ('Bucket', 'Loan', 'TAKE_VALID_S')

TAKE_VALID_S = 0.05
LOAN_S = 5.0
LOAN_MARGIN_S = 0.5
MIN_LOAN_TOKENS = 1.0


class Loan(Record):
    """A part of a bucket: rate, capacity and level moved together.

    ``valid_s`` counts from the moment at which the borrower asked.
    """

    __slots__ = ('loan_id', 'rate_per_s', 'capacity', 'level', 'valid_s')

    loan_id: str
    rate_per_s: float
    capacity: float
    level: float
    valid_s: float


class _Part(TokenBucket):
    """A part of a bucket; a loan ends at a time."""

    __slots__ = ('until',)

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        level: float,
        now: float,
        until: float | None,
    ) -> None:
        super().__init__(
            rate_per_s=rate_per_s,
            burst=burst,
            level=level,
            now=now,
        )
        self.until = until


class Bucket:
    """The share of one account that one host holds.

    A token taken here is used within ``TAKE_VALID_S`` or not at all, and the
    capacity is lowered by what refills in that time, so that admissions in any
    window stay within burst plus rate times window.
    """

    __slots__ = ('_borrowed', '_capacity', '_lent', '_own', '_rate_per_s')

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        now: float,
        level: float = 0.0,
    ) -> None:
        """Starts with a level, which is zero unless it was handed over."""
        safe_rate_per_s, capacity = _safe_limits(rate_per_s, burst)
        self._rate_per_s = safe_rate_per_s
        self._capacity = capacity
        self._own = _Part(
            rate_per_s=safe_rate_per_s,
            burst=capacity,
            level=level,
            now=now,
            until=None,
        )
        self._borrowed: list[_Part] = []
        self._lent: dict[str, _Part] = {}

    def level(self, now: float) -> float:
        """Counts the tokens at hand."""
        self._settle(now)
        return self._own.level + sum(part.level for part in self._borrowed)

    def take(self, tokens: float, now: float) -> bool:
        """Takes tokens if all of them are at hand."""
        if self.level(now) < tokens:
            return False
        for part in (*self._borrowed, self._own):
            used = min(part.level, tokens)
            part.level -= used
            tokens -= used
        return True

    def wait_s(self, tokens: float, now: float) -> float:
        """Estimates the seconds until the tokens are at hand."""
        rate = self._own.rate_per_s + sum(
            part.rate_per_s for part in self._borrowed
        )
        missing = max(0.0, tokens - self.level(now))
        return missing / rate if rate > 0 else LOAN_S

    def lend(self, loan_id: str, fraction: float, now: float) -> Loan | None:
        """Lends a part of what the own bucket still has.

        :param fraction: part of the own rate, capacity and level.
        :returns: None where the part would not hold one token.
        """
        self._settle(now)
        capacity = self._own.burst * fraction
        if capacity < MIN_LOAN_TOKENS or loan_id in self._lent:
            return None
        part = _Part(
            rate_per_s=self._own.rate_per_s * fraction,
            burst=capacity,
            level=self._own.level * fraction,
            now=now,
            until=now + LOAN_S + LOAN_MARGIN_S,
        )
        self._own.level -= part.level
        self._lent[loan_id] = part
        self._fit_own()
        return Loan(
            loan_id=loan_id,
            rate_per_s=part.rate_per_s,
            capacity=part.burst,
            level=part.level,
            valid_s=LOAN_S,
        )

    def borrow(self, loan: Loan, asked_at: float, now: float) -> bool:
        """Adds a loan that was asked for at a time.

        :returns: whether the loan is still valid.
        """
        until = asked_at + loan.valid_s
        if now >= until:
            return False
        self._borrowed.append(
            _Part(
                rate_per_s=loan.rate_per_s,
                burst=loan.capacity,
                level=loan.level,
                now=now,
                until=until,
            )
        )
        return True

    def resize(self, rate_per_s: float, burst: float, now: float) -> None:
        """Applies a changed rate and burst; loans keep their size."""
        self._settle(now)
        safe_rate_per_s, capacity = _safe_limits(rate_per_s, burst)
        self._rate_per_s = safe_rate_per_s
        self._capacity = capacity
        self._fit_own()

    def total_rate(self, now: float) -> float:
        """Sums own and borrowed rate in tokens per second."""
        self._settle(now)
        borrowed = sum(part.rate_per_s for part in self._borrowed)
        return self._own.rate_per_s + borrowed

    def total_capacity(self, now: float) -> float:
        """Sums own and borrowed capacity in tokens."""
        self._settle(now)
        borrowed = sum(part.burst for part in self._borrowed)
        return self._own.burst + borrowed

    def own_level(self, now: float) -> float:
        """Counts the tokens of the own part, without borrowed ones."""
        self._settle(now)
        return self._own.level

    def own_capacity(self) -> float:
        """Tells the capacity of the own part in tokens."""
        return self._own.burst

    def lent_for_s(self, now: float) -> float:
        """Tells how long until every part lent is back, in seconds."""
        self._settle(now)
        ends = [part.until or now for part in self._lent.values()]
        return max(ends, default=now) - now

    def _settle(self, now: float) -> None:
        self._own.refill(now)
        self._borrowed = [
            part for part in self._borrowed if (part.until or 0) > now
        ]
        for part in self._borrowed:
            part.refill(now)
        over = [
            loan_id
            for loan_id, lent in self._lent.items()
            if (lent.until or 0) <= now
        ]
        for loan_id in over:
            self._lent.pop(loan_id)
        if over:
            self._fit_own()

    def _fit_own(self) -> None:
        # The level of a loan that ended stays gone: it may have been used.
        lent_rate = sum(part.rate_per_s for part in self._lent.values())
        lent_capacity = sum(part.burst for part in self._lent.values())
        self._own.rate_per_s = max(0.0, self._rate_per_s - lent_rate)
        self._own.burst = max(0.0, self._capacity - lent_capacity)
        self._own.level = min(self._own.level, self._own.burst)


def _safe_limits(rate_per_s: float, burst: float) -> tuple[float, float]:
    # Capacity plus what refills while a token is valid must not exceed the
    # burst. At least half of the burst stays capacity, at the cost of rate.
    capacity = burst - rate_per_s * TAKE_VALID_S
    if capacity >= burst / 2:
        return rate_per_s, capacity
    return burst / 2 / TAKE_VALID_S, burst / 2
