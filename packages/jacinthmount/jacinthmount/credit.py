"""Tokens on credit while nobody allocates rates, within what is tolerated.

Answers the moments in which the runner that allocates is lost or out of reach.
In a small fleet each host may owe a few tokens by itself. Where hosts are so
many that none may owe a whole one, the other runners grant what all may owe.
"""

from collections import deque

__all__ = ('CreditGrants', 'credit_of_host')

# Of what is tolerated beyond a rate; the rest is left for hosts that restart.
CREDIT_PART = 0.5
# Of a rate and burst, beside the twentieth that parts and pool may exceed it.
CREDIT_RATE_PART = 0.04


def credit_of_host(slack: float, hosts: int) -> int:
    """Counts the tokens that one host may owe of an account in a window.

    :param slack: requests of an account that are tolerated in any window.
    :param hosts: hosts that share the rates; none is known while 0.
    """
    return int(slack * CREDIT_PART / hosts) if hosts else 0


class CreditGrants:
    """What this runner granted on credit in the last window, by account."""

    __slots__ = ('_granted_at', '_slack', '_window_s')

    def __init__(self, *, slack: float, window_s: float) -> None:
        """Starts with nothing granted.

        :param slack: requests of an account that are tolerated beyond its rate
            and burst, over all hosts, in any window.
        :param window_s: length of such a window in seconds.
        """
        self._slack = slack
        self._window_s = window_s
        self._granted_at: dict[str, deque[float]] = {}

    def grant(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        runners: int,
        now: float,
    ) -> bool:
        """Grants one token unless this runner's part of the credit is used.

        :param runners: runners that may grant credit at the same time.
        """
        granted_at = self._granted_at.setdefault(account, deque())
        while granted_at and now - granted_at[0] > self._window_s:
            granted_at.popleft()
        if not self._slack:
            return False
        in_window = rate_per_s * self._window_s + burst
        credit = self._slack * CREDIT_PART + in_window * CREDIT_RATE_PART
        if len(granted_at) >= int(credit / max(1, runners)):
            return False
        granted_at.append(now)
        return True
