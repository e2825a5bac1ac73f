"""Wait estimates and retry times for online requests under overload.

In a peak more requests arrive than endpoints can start. The wait is estimated
from how long requests of this host keep their slots.
"""

import random

__all__ = ('OverloadGuard',)

INITIAL_SLOT_TIME_S = 0.8
SLOT_TIME_WEIGHT = 0.1
MIN_RETRY_S = 0.3
MAX_RETRY_S = 1.5


class OverloadGuard:
    """Estimates the wait of requests from the time that slots are in use."""

    __slots__ = ('_slot_time_s',)

    def __init__(self) -> None:
        self._slot_time_s = INITIAL_SLOT_TIME_S

    def on_release(self, took_s: float) -> None:
        """Records for how long a request used its slot."""
        self._slot_time_s += (took_s - self._slot_time_s) * SLOT_TIME_WEIGHT

    def ahead(self, *, waiting: int, own: int, accounts: int) -> int:
        """Returns how many requests are served before one that arrives now.

        By fair queueing, at most as many requests of each other account are
        served first as this account has waiting, plus one.

        :param waiting: waiting requests of all accounts.
        :param own: waiting requests of the same account.
        :param accounts: number of accounts with waiting requests.
        """
        return min(waiting, (own + 1) * (accounts + 1))

    def estimate_wait_s(self, ahead: int, slots: int) -> float:
        """Estimates the wait of a request in seconds.

        :param ahead: requests that are served before it.
        :param slots: slots that this host uses now.
        """
        return self._slot_time_s * (ahead + 1) / max(1, slots)

    def retry_after_s(self, wait_s: float, rng: random.Random) -> float:
        """Returns a random retry time in seconds, to spread refused callers.

        :param wait_s: estimated wait at this moment.
        """
        spread_s = max(MIN_RETRY_S, min(MAX_RETRY_S, wait_s * 2))
        return rng.uniform(MIN_RETRY_S, spread_s + MIN_RETRY_S)
