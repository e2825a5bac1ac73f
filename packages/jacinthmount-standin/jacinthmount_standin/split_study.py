"""Compares ways to split a rate over hosts by refusals within the rate."""

import random
from collections.abc import Callable

from jacinthmount.buckets import LOAN_S, TAKE_VALID_S, Bucket

__all__ = ('study_splits',)

HOSTS = 6
RATE_PER_S = 20.0
BURST = 40.0
SECONDS = 600
SEED = 20261204
LOAN_PAUSE_S = 0.25
ROUNDING_DIGITS = 4
SKEW = 0.8
MOVE_EVERY_S = 10
PHASE_S = 5
BUSY_LOAD = 1.5
QUIET_LOAD = 0.4
LEND_FRACTION = 0.5

Admit = Callable[[int, float], bool]
Pick = Callable[[random.Random, float], int]


def study_splits() -> dict[str, dict[str, float]]:
    """Runs each way on each demand.

    :returns: part of what one bucket for all hosts would have admitted that
        was refused, by way and demand.
    """
    ways: dict[str, Callable[[], Admit]] = {
        'equal static shares': _static,
        'shares with loans': _with_loans,
        'shares, single tokens from elsewhere': _with_single_tokens,
        'home host, asked for each request': _home,
    }
    demands: dict[str, Pick] = {
        'even': _pick_even,
        'skewed': _pick_skewed,
        'moving': _pick_moving,
    }
    return {
        name: {
            demand: round(_run(make(), pick), ROUNDING_DIGITS)
            for demand, pick in demands.items()
        }
        for name, make in ways.items()
    }


def _pick_even(rng: random.Random, now: float) -> int:
    return rng.randrange(HOSTS)


def _pick_skewed(rng: random.Random, now: float) -> int:
    return 0 if rng.random() < SKEW else rng.randrange(HOSTS)


def _pick_moving(rng: random.Random, now: float) -> int:
    return int(now / MOVE_EVERY_S) % HOSTS


def _run(admit: Admit, pick: Pick) -> float:
    rng = random.Random(SEED)
    # No capacity is set aside here for the time that an answer takes.
    ideal = Bucket(
        rate_per_s=RATE_PER_S,
        burst=BURST + RATE_PER_S * TAKE_VALID_S,
        now=0,
        level=BURST,
    )
    now = 0.0
    wanted = 0
    admitted = 0
    while now < SECONDS:
        # Bursts above the rate follow quiet times.
        busy = int(now / PHASE_S) % 2 == 0
        load = BUSY_LOAD if busy else QUIET_LOAD
        now += rng.expovariate(RATE_PER_S * load)
        admitted += admit(pick(rng, now), now)
        wanted += ideal.take(1, now)
    return 1 - admitted / wanted


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


def _static() -> Admit:
    shares = _make_shares()
    return lambda host, now: shares[host].take(1, now)


class _Lending:
    __slots__ = ('_asked', '_shares')

    def __init__(self) -> None:
        self._shares = _make_shares()
        self._asked = [-LOAN_S for _ in range(HOSTS)]

    def admit(self, host: int, now: float) -> bool:
        own = self._shares[host]
        if own.take(1, now):
            return True
        if now - self._asked[host] >= LOAN_PAUSE_S:
            self._asked[host] = now
            for lender in self._shares:
                if lender is not own:
                    self._move(lender, own, now)
        return own.take(1, now)

    def _move(self, lender: Bucket, own: Bucket, now: float) -> None:
        if lender.own_level(now) < lender.own_capacity() / 2:
            return
        loan = lender.lend(f'{id(own)}-{now}', LEND_FRACTION, now)
        if loan is not None:
            own.borrow(loan, now, now)


def _with_loans() -> Admit:
    return _Lending().admit


def _with_single_tokens() -> Admit:
    shares = _make_shares()
    return lambda host, now: any(
        shares[(host + step) % HOSTS].take(1, now) for step in range(HOSTS)
    )


def _home() -> Admit:
    bucket = Bucket(rate_per_s=RATE_PER_S, burst=BURST, now=0, level=BURST)
    # The answer takes a part of the time for which a token is valid.
    return lambda host, now: bucket.take(1, now + TAKE_VALID_S / 10)
