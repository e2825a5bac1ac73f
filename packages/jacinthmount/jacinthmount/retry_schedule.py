"""Retry times for clients that were refused because of their rate.

After a burst of one account, clients that were given the same retry time would
return together, and most would be refused again. So each client gets its own
retry time, in the order of the refusals and at the rate at which tokens accrue.
"""

__all__ = ('RetrySchedule',)

# Clients wait no longer than a third of their remaining time.
MAX_WAIT_S = 1.5


class RetrySchedule:
    """Next free retry time by account, in monotonic seconds."""

    __slots__ = ('_next_at',)

    def __init__(self) -> None:
        self._next_at: dict[str, float] = {}

    def plan_retry_after_s(
        self,
        account: str,
        tokens_per_s: float,
        earliest_s: float,
        now: float,
    ) -> float:
        """Assigns a retry time to one client, in seconds from now.

        :param tokens_per_s: rate at which tokens accrue for this host.
        :param earliest_s: seconds until a token may be available.
        """
        earliest_at = now + min(earliest_s, MAX_WAIT_S)
        at = max(earliest_at, self._next_at.get(account, 0.0))
        if at - now > MAX_WAIT_S:
            # All later clients get the longest wait that clients accept.
            return MAX_WAIT_S
        self._next_at[account] = at + 1 / tokens_per_s
        return at - now
