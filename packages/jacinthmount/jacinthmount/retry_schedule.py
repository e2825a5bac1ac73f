"""When clients that were refused for their rate should come back.

Answers a burst of one account: all its refused clients told the same wait would
come back together and most would be refused again. Each is given a time of its
own, in the order of the refusals and as fast as tokens accrue here.
"""

__all__ = ('RetrySchedule',)

# Clients wait no longer than a third of the time they have left.
MAX_WAIT_S = 1.5


class RetrySchedule:
    """The next free time to return, by account; times are monotonic."""

    __slots__ = ('_next_at',)

    def __init__(self) -> None:
        """Starts with nobody told to come back."""
        self._next_at: dict[str, float] = {}

    def plan_retry_after_s(
        self,
        account: str,
        tokens_per_s: float,
        earliest_s: float,
        now: float,
    ) -> float:
        """Plans the return of one client, in seconds from now.

        :param tokens_per_s: rate at which tokens accrue for this host.
        :param earliest_s: seconds until there may be a token at all.
        """
        earliest_at = now + min(earliest_s, MAX_WAIT_S)
        at = max(earliest_at, self._next_at.get(account, 0.0))
        if at - now > MAX_WAIT_S:
            # Later clients share the last moment that they would honour.
            return MAX_WAIT_S
        self._next_at[account] = at + 1 / tokens_per_s
        return at - now
