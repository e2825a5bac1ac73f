"""Loans between two data centres: no time window admits more than the limits.

The reference is one bucket with the whole rate and burst, from which every
take is deducted; it must never go below zero. Replies to loan requests arrive
late or not at all. The buckets are the production code; one tick is one second.
"""

from collections.abc import Callable

from jacinthmount.buckets import Bucket, Loan
from minicheck import Protocol

from spec.checking import freeze, thaw

__all__ = ('Rules', 'build')

RATE_PER_S = 0.5
BURST = 8.0
LAST_TICK = 8
ROUNDING_TOLERANCE = 1e-6
MAX_TAKES = 4


class LenderKeepsAll(Bucket):
    """Broken variant: the lender does not deduct what it lends."""

    __slots__ = ()

    def _fit_own(self) -> None:
        """Does not fit the own part to the loans."""


class LenderRefills(Bucket):
    """Broken variant: a loan moves tokens, but not capacity and rate."""

    __slots__ = ()

    def _fit_own(self) -> None:
        self._own.rate_per_s = self._rate_per_s
        self._own.burst = self._capacity


class Rules:
    """Rules that a broken variant replaces."""

    __slots__ = ('bucket', 'count_from_reply')

    def __init__(
        self,
        *,
        bucket: type[Bucket] = Bucket,
        count_from_reply: bool = False,
    ) -> None:
        """Follows every rule by default.

        :param count_from_reply: a loan starts when its reply arrives, not
            when it was requested
        """
        self.bucket = bucket
        self.count_from_reply = count_from_reply


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    ``reply`` is ``(requested at, loan)`` of a reply in flight, or None.
    """
    shares = tuple(
        freeze(
            rules.bucket(
                rate_per_s=RATE_PER_S / 2,
                burst=BURST / 2,
                now=0,
                level=BURST / 2,
            )
        )
        for _ in range(2)
    )
    return Protocol(
        name='loans',
        candidate=False,
        fields=('now', 'lender', 'borrower', 'reply', 'reference', 'takes'),
        initial=(0, *shares, None, BURST, 0),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={
            'within_limits': lambda fields: (
                fields['reference'] >= -ROUNDING_TOLERANCE
            ),
        },
    )


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    steps: tuple[Callable, ...] = (
        _tick,
        _take_lender,
        _take_borrower,
        _request_loan,
        _receive_reply,
    )
    successors = []
    for step in steps:
        after = step(fields, rules)
        if after is not None:
            successors.append((step.__name__.strip('_'), after))
    return successors


def _tick(fields: tuple, rules: Rules) -> tuple | None:
    now, lender, borrower, reply, reference, takes = fields
    if now >= LAST_TICK:
        return None
    refilled = min(BURST, reference + RATE_PER_S)
    return (now + 1, lender, borrower, reply, refilled, takes)


def _take_lender(fields: tuple, rules: Rules) -> tuple | None:
    now, lender, borrower, reply, reference, takes = fields
    bucket = thaw(lender)
    # Bursts are what exceeds limits, so each take empties the bucket.
    tokens = bucket.level(now)
    if takes >= MAX_TAKES or not tokens or not bucket.take(tokens, now):
        return None
    return (
        now,
        freeze(bucket),
        borrower,
        reply,
        reference - tokens,
        takes + 1,
    )


def _take_borrower(fields: tuple, rules: Rules) -> tuple | None:
    now, lender, borrower, reply, reference, takes = fields
    swapped = _take_lender(
        (now, borrower, lender, reply, reference, takes),
        rules,
    )
    if swapped is None:
        return None
    return (now, lender, swapped[1], reply, *swapped[4:])


def _request_loan(fields: tuple, rules: Rules) -> tuple | None:
    now, lender, borrower, reply, reference, takes = fields
    if reply is not None:
        return None
    bucket = thaw(lender)
    loan = bucket.lend(f'loan-{now}', 0.5, now)
    if loan is None:
        return None
    return (
        now,
        freeze(bucket),
        borrower,
        (now, freeze(loan)),
        reference,
        takes,
    )


def _receive_reply(fields: tuple, rules: Rules) -> tuple | None:
    now, lender, borrower, reply, reference, takes = fields
    if reply is None:
        return None
    requested_at, frozen = reply
    loan: Loan = thaw(frozen)
    bucket = thaw(borrower)
    bucket.borrow(loan, now if rules.count_from_reply else requested_at, now)
    return (now, lender, freeze(bucket), None, reference, takes)
