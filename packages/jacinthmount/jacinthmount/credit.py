"""Tokens on credit while no active runner grants tokens.

While the active runner is lost or unreachable, requests are admitted on credit,
within the excess over a rate that the operator tolerates. In a small fleet each
host admits a few requests on its own. In a fleet so large that the credit of
one host is less than one token, the other runners grant the credit of all
hosts.
"""

from collections import deque

__all__ = ('CreditGrants', 'credit_of_host')

# Part of the tolerated excess; the rest is reserved for hosts that restart.
CREDIT_FRACTION = 0.5
# Part of rate and burst, in addition to the twentieth by which allocated parts
# and the pool may exceed them.
RATE_CREDIT_FRACTION = 0.04


def credit_of_host(slack: float, hosts: int) -> int:
    """Returns the tokens of an account that one host may use on credit.

    :param slack: requests of an account that are tolerated beyond its rate in
        any window, over all hosts.
    :param hosts: number of hosts that share the rates, 0 while unknown.
    """
    return int(slack * CREDIT_FRACTION / hosts) if hosts else 0


class CreditGrants:
    """Grants tokens on credit, limited by account and time window."""

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
        """Grants one token unless this runner's part of the credit is used up.

        :param runners: number of runners that may grant credit at a time.
        :returns: whether the token was granted.
        """
        granted_at = self._granted_at.setdefault(account, deque())
        while granted_at and now - granted_at[0] > self._window_s:
            granted_at.popleft()
        if not self._slack:
            return False
        in_window = rate_per_s * self._window_s + burst
        credit = (
            self._slack * CREDIT_FRACTION + in_window * RATE_CREDIT_FRACTION
        )
        if len(granted_at) >= int(credit / max(1, runners)):
            return False
        granted_at.append(now)
        return True
