"""Simulates ways to split a rate limit over hosts and counts refusals."""

import random
from collections.abc import Callable

from jacinthmount.buckets import LOAN_S, TAKE_VALID_S, Bucket

__all__ = ('study_splits',)

HOSTS = 6
RATE_PER_S = 20.0
BURST = 40.0
SECONDS = 600
SEED = 20261204
LOAN_REQUEST_INTERVAL_S = 0.25
ROUNDING_DIGITS = 4
SKEWED_FRACTION = 0.8
HOST_CHANGE_INTERVAL_S = 10
PHASE_S = 5
HIGH_LOAD = 1.5
LOW_LOAD = 0.4
LEND_FRACTION = 0.5

Admit = Callable[[int, float], bool]
PickHost = Callable[[random.Random, float], int]


def study_splits() -> dict[str, dict[str, float]]:
    """Simulates each way to split the rate under each demand pattern.

    :returns: relative shortfall in admitted requests against a single bucket
        for all hosts, by way and demand pattern.
    """
    ways: dict[str, Callable[[], Admit]] = {
        'equal static shares': _with_static_shares,
        'shares with loans': _with_loans,
        'shares, single tokens from elsewhere': _with_single_tokens,
        'home host, asked for each request': _with_owner_host,
    }
    demands: dict[str, PickHost] = {
        'even': _pick_even,
        'skewed': _pick_skewed,
        'moving': _pick_moving,
    }
    return {
        name: {
            demand: round(_run(make(), pick_host), ROUNDING_DIGITS)
            for demand, pick_host in demands.items()
        }
        for name, make in ways.items()
    }


def _pick_even(rng: random.Random, now: float) -> int:
    return rng.randrange(HOSTS)


def _pick_skewed(rng: random.Random, now: float) -> int:
    return 0 if rng.random() < SKEWED_FRACTION else rng.randrange(HOSTS)


def _pick_moving(rng: random.Random, now: float) -> int:
    return int(now / HOST_CHANGE_INTERVAL_S) % HOSTS


def _run(admit: Admit, pick_host: PickHost) -> float:
    rng = random.Random(SEED)
    # The reference bucket reserves no capacity for response time.
    ideal = Bucket(
        rate_per_s=RATE_PER_S,
        burst=BURST + RATE_PER_S * TAKE_VALID_S,
        now=0,
        level=BURST,
    )
    now = 0.0
    ideal_admitted = 0
    admitted = 0
    while now < SECONDS:
        # Phases above the rate alternate with phases below it.
        high = int(now / PHASE_S) % 2 == 0
        load = HIGH_LOAD if high else LOW_LOAD
        now += rng.expovariate(RATE_PER_S * load)
        admitted += admit(pick_host(rng, now), now)
        ideal_admitted += ideal.take(1, now)
    return 1 - admitted / ideal_admitted


def _make_shares() -> list[Bucket]:
    return [
        Bucket(
            rate_per_s=RATE_PER_S / HOSTS,
            burst=BURST / HOSTS,
            now=0,
            level=BURST / HOSTS,
        )
        for _ in range(HOSTS)
    ]


def _with_static_shares() -> Admit:
    shares = _make_shares()
    return lambda host, now: shares[host].take(1, now)


class _LendingShares:
    __slots__ = ('_last_requested_at', '_shares')

    def __init__(self) -> None:
        self._shares = _make_shares()
        self._last_requested_at = [-LOAN_S for _ in range(HOSTS)]

    def admit(self, host: int, now: float) -> bool:
        own = self._shares[host]
        if own.take(1, now):
            return True
        if now - self._last_requested_at[host] >= LOAN_REQUEST_INTERVAL_S:
            self._last_requested_at[host] = now
            for lender in self._shares:
                if lender is not own:
                    self._borrow_from(lender, own, now)
        return own.take(1, now)

    def _borrow_from(self, lender: Bucket, own: Bucket, now: float) -> None:
        if lender.own_level(now) < lender.own_capacity() / 2:
            return
        loan = lender.lend(f'{id(own)}-{now}', LEND_FRACTION, now)
        if loan is not None:
            own.borrow(loan, now, now)


def _with_loans() -> Admit:
    return _LendingShares().admit


def _with_single_tokens() -> Admit:
    shares = _make_shares()
    return lambda host, now: any(
        shares[(host + step) % HOSTS].take(1, now) for step in range(HOSTS)
    )


def _with_owner_host() -> Admit:
    bucket = Bucket(rate_per_s=RATE_PER_S, burst=BURST, now=0, level=BURST)
    # The response takes a tenth of the time for which a token is valid.
    return lambda host, now: bucket.take(1, now + TAKE_VALID_S / 10)
