"""Refusal of online requests that would wait too long, and when to return.

Answers a peak in which more requests arrive than endpoints can start: the
estimate follows from how fast this host's own places are given back.
"""

import random

__all__ = ('OverloadGuard',)

FIRST_HOLD_S = 0.8
HOLD_WEIGHT = 0.1
MIN_RETRY_S = 0.3
MAX_RETRY_S = 1.5


class OverloadGuard:
    """Estimates waits from how long places are held."""

    __slots__ = ('_hold_s',)

    def __init__(self) -> None:
        """Starts with a guess of how long a place is held."""
        self._hold_s = FIRST_HOLD_S

    def on_release(self, took_s: float) -> None:
        """Notes for how long a place was held."""
        self._hold_s += (took_s - self._hold_s) * HOLD_WEIGHT

    def ahead(self, *, waiting: int, own: int, accounts: int) -> int:
        """Counts the requests that go before one that arrives now.

        Fair turns put at most as many of each other account ahead as this
        account has waiting itself.
        """
        return min(waiting, (own + 1) * (accounts + 1))

    def estimate_wait_s(self, ahead: int, places: int) -> float:
        """Estimates the wait of a request in seconds.

        :param ahead: requests that go before it.
        :param places: places that this host holds now.
        """
        return self._hold_s * (ahead + 1) / max(1, places)

    def retry_after_s(self, wait_s: float, rng: random.Random) -> float:
        """Spreads the return of refused callers over the time that frees up.

        :param wait_s: expected wait at this moment.
        """
        spread_s = max(MIN_RETRY_S, min(MAX_RETRY_S, wait_s * 2))
        return rng.uniform(MIN_RETRY_S, spread_s + MIN_RETRY_S)
