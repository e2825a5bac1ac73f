"""Token buckets that can lend a part of their rate to another data centre."""

from jacinthmount.records import Record
from jacinthmount.token_bucket import TokenBucket

__all__ = ('Bucket', 'Loan', 'TAKE_VALID_S')

# A token that is not used within this time after it was taken is lost.
TAKE_VALID_S = 0.05
LOAN_S = 5.0
# The lender waits this much longer than the loan is valid for the borrower.
LOAN_MARGIN_S = 0.5
MIN_LOAN_TOKENS = 1.0


class Loan(Record):
    """A part of a bucket on loan: rate, capacity and level move together.

    ``valid_s`` counts from the time at which the borrower sent its request.
    """

    __slots__ = ('loan_id', 'rate_per_s', 'capacity', 'level', 'valid_s')

    loan_id: str
    rate_per_s: float
    capacity: float
    level: float
    valid_s: float


class _Part(TokenBucket):
    """A part of a bucket; ``until`` is the end of a loan, or None."""

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
    """The token bucket of one account in one data centre.

    A token taken from it is used within ``TAKE_VALID_S`` or not at all, and the
    capacity is reduced by the tokens that accrue in that time. So admissions in
    any window stay within the burst plus rate times window.
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
        """Returns the available tokens, including borrowed ones."""
        self._update_parts(now)
        return self._own.level + sum(part.level for part in self._borrowed)

    def take(self, tokens: float, now: float) -> bool:
        """Takes tokens if that many are available.

        :returns: whether they were taken.
        """
        if self.level(now) < tokens:
            return False
        for part in (*self._borrowed, self._own):
            used = min(part.level, tokens)
            part.level -= used
            tokens -= used
        return True

    def wait_s(self, tokens: float, now: float) -> float:
        """Estimates the seconds until that many tokens are available."""
        rate = self._own.rate_per_s + sum(
            part.rate_per_s for part in self._borrowed
        )
        missing = max(0.0, tokens - self.level(now))
        return missing / rate if rate > 0 else LOAN_S

    def lend(self, loan_id: str, fraction: float, now: float) -> Loan | None:
        """Lends a part of the own rate, capacity and level.

        :param fraction: part to lend, 0 to 1.
        :returns: None if the part could not hold one token, or if the id is
            already in use.
        """
        self._update_parts(now)
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

    def borrow(self, loan: Loan, requested_at: float, now: float) -> bool:
        """Adds a loan.

        :param requested_at: monotonic time at which the loan was requested.
        :returns: whether the loan is still valid.
        """
        until = requested_at + loan.valid_s
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
        """Changes rate and burst; loans keep their size."""
        self._update_parts(now)
        safe_rate_per_s, capacity = _safe_limits(rate_per_s, burst)
        self._rate_per_s = safe_rate_per_s
        self._capacity = capacity
        self._fit_own()

    def total_rate(self, now: float) -> float:
        """Returns the own and borrowed rate in tokens per second."""
        self._update_parts(now)
        borrowed = sum(part.rate_per_s for part in self._borrowed)
        return self._own.rate_per_s + borrowed

    def total_capacity(self, now: float) -> float:
        """Returns the own and borrowed capacity in tokens."""
        self._update_parts(now)
        borrowed = sum(part.burst for part in self._borrowed)
        return self._own.burst + borrowed

    def own_level(self, now: float) -> float:
        """Returns the available tokens without borrowed ones."""
        self._update_parts(now)
        return self._own.level

    def own_capacity(self) -> float:
        """Returns the capacity without borrowed parts, in tokens."""
        return self._own.burst

    def lent_for_s(self, now: float) -> float:
        """Returns the seconds until every loan to others has ended."""
        self._update_parts(now)
        ends = [part.until or now for part in self._lent.values()]
        return max(ends, default=now) - now

    def _update_parts(self, now: float) -> None:
        self._own.refill(now)
        self._borrowed = [
            part for part in self._borrowed if (part.until or 0) > now
        ]
        for part in self._borrowed:
            part.refill(now)
        expired = [
            loan_id
            for loan_id, lent in self._lent.items()
            if (lent.until or 0) <= now
        ]
        for loan_id in expired:
            self._lent.pop(loan_id)
        if expired:
            self._fit_own()

    def _fit_own(self) -> None:
        # The level of an ended loan does not return: the borrower may have used
        # it.
        lent_rate = sum(part.rate_per_s for part in self._lent.values())
        lent_capacity = sum(part.burst for part in self._lent.values())
        self._own.rate_per_s = max(0.0, self._rate_per_s - lent_rate)
        self._own.burst = max(0.0, self._capacity - lent_capacity)
        self._own.level = min(self._own.level, self._own.burst)


def _safe_limits(rate_per_s: float, burst: float) -> tuple[float, float]:
    # The capacity plus the tokens that accrue while a token is valid must not
    # exceed the burst. The capacity is at least half of the burst; where that
    # is not enough, the rate is reduced instead.
    capacity = burst - rate_per_s * TAKE_VALID_S
    if capacity >= burst / 2:
        return rate_per_s, capacity
    return burst / 2 / TAKE_VALID_S, burst / 2
