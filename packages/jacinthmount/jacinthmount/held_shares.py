"""Parts of account rates held by this host, and tokens granted to it.

For a small account the part of a host may be less than one token, so that the
host depends on the runner that grants tokens. While that runner is replaced,
the host admits requests on credit, within the excess that the operator
tolerates, and repays it from later grants.
"""

from collections import deque

from jacinthmount.credit import credit_of_host
from jacinthmount.rate_shares import (
    DEMAND_WINDOW_S,
    AccountDemand,
    AccountPart,
    ShareReport,
    initial_part,
)
from jacinthmount.token_bucket import TokenBucket

__all__ = ('HeldShares',)

# Parts expire if nothing was allocated to this host for this time.
PART_EXPIRY_S = 50.0
GRANT_VALID_S = 1.0
# Demand of this time is requested in advance, so that requests that arrive
# meanwhile need no request of their own to the runner.
PREFETCH_S = 0.5
MAX_PREFETCH = 2
MAX_REPAID = 2
# A restarted host may use this much of its rate at once. Its predecessor may
# have used as much just before, so it is far less than a burst.
START_LEVEL_S = 0.4


class _AccountState:
    __slots__ = (
        'decayed_at',
        'bucket',
        'credit_times',
        'demand_per_s',
        'granted',
        'granted_until',
        'is_new',
        'is_reported',
        'outstanding',
        'part',
    )

    def __init__(self, *, part: float, now: float) -> None:
        self.part = part
        # An initial part is reported from the start: the runner assumes that a
        # host that does not report an account has its initial part.
        self.is_reported = part > 0
        self.is_new = True
        self.decayed_at = now
        self.demand_per_s = 0.0
        self.granted = 0
        self.granted_until = 0.0
        self.outstanding = 0
        # Times at which tokens were taken on credit in the last window.
        self.credit_times: deque[float] = deque()
        self.bucket = TokenBucket(rate_per_s=0, burst=1, level=1, now=now)

    def decay(self, now: float) -> None:
        kept = max(0.0, 1 - (now - self.decayed_at) / DEMAND_WINDOW_S)
        self.demand_per_s *= kept
        self.decayed_at = now


class HeldShares:
    """Token buckets for the parts of account rates that this host holds.

    A host starts with an equal part of every rate that is large enough to
    split, which it uses until a runner allocates parts. All parts expire when
    no runner has allocated any for ``PART_EXPIRY_S``.
    """

    __slots__ = (
        '_allocated_at',
        '_reply_received',
        '_accounts',
        '_report_number',
        '_slack',
        '_window_s',
    )

    def __init__(
        self,
        *,
        now: float,
        slack: float = 0.0,
        window_s: float = 5.0,
    ) -> None:
        """Starts without accounts.

        :param slack: requests of an account that are tolerated beyond its rate
            and burst, over all hosts, in any window.
        :param window_s: length of such a window in seconds.
        """
        self._slack = slack
        self._window_s = window_s
        self._report_number = 0
        self._reply_received = True
        self._accounts: dict[str, _AccountState] = {}
        self._allocated_at = now

    def take(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        hosts: int,
        now: float,
    ) -> bool:
        """Takes one token of an account.

        :param hosts: number of hosts that share the rates.
        :returns: whether a token was available.
        """
        state = self._find_or_add(account, burst, hosts, now)
        if now - self._allocated_at > PART_EXPIRY_S:
            state.part = 0
        capacity = burst * state.part
        if state.part > 0:
            # A bucket that can't hold one token would never admit a request.
            capacity = max(1.0, capacity)
        state.bucket.resize(rate_per_s * state.part, capacity, now)
        if state.is_new:
            state.is_new = False
            state.bucket.add(rate_per_s * state.part * START_LEVEL_S)
        if state.bucket.take(now):
            if state.outstanding and state.bucket.take(now):
                state.outstanding -= 1
            return True
        if state.granted >= 1 and now < state.granted_until:
            state.granted -= 1
            return True
        return False

    def take_on_credit(self, account: str, hosts: int, now: float) -> bool:
        """Takes a token on credit, to be repaid from later grants.

        Used while no runner responds to requests for tokens.

        :param hosts: number of hosts that share the rates; while it is 0 the
            credit of a host is unknown and none is given.
        :returns: whether a token was taken.
        """
        state = self._accounts.setdefault(
            account, _AccountState(part=0.0, now=now)
        )
        while (
            state.credit_times and now - state.credit_times[0] > self._window_s
        ):
            state.credit_times.popleft()
        if len(state.credit_times) >= credit_of_host(self._slack, hosts):
            return False
        state.credit_times.append(now)
        state.outstanding += 1
        return True

    def note_demand(
        self,
        account: str,
        burst: float,
        hosts: int,
        now: float,
    ) -> None:
        """Counts a request in the demand, whether or not it gets a token."""
        state = self._find_or_add(account, burst, hosts, now)
        state.decay(now)
        state.demand_per_s += 1 / DEMAND_WINDOW_S

    def tokens_wanted(self, account: str, now: float) -> int:
        """Returns the tokens to request: one, the outstanding, and a prefetch.

        Granted tokens that are not used in time are lost to the other hosts, so
        the prefetch is small. Without an allocated part there is none, as each
        request then requests its own token.
        """
        state = self._accounts.get(account)
        if state is None:
            return 1
        state.decay(now)
        prefetch = 0
        if state.is_reported:
            prefetch = min(MAX_PREFETCH, int(state.demand_per_s * PREFETCH_S))
        return 1 + prefetch + min(state.outstanding, MAX_REPAID)

    def on_grant(self, account: str, tokens: int, requested_at: float) -> None:
        """Adds granted tokens.

        :param requested_at: monotonic time at which the request was sent.
        """
        state = self._accounts.get(account)
        if state is not None:
            # The first token belongs to the request that caused the grant.
            repaid = min(state.outstanding, max(0, tokens - 1))
            state.outstanding -= repaid
            state.granted += tokens - repaid
            state.granted_until = requested_at + GRANT_VALID_S

    def on_parts(
        self,
        number: int,
        parts: list[AccountPart],
        now: float,
    ) -> None:
        """Applies the parts allocated in reply to a report.

        Only the first reply to the newest report is applied, since the runner
        that has that report assumes that this host holds the reported parts.

        :param number: number of the report.
        """
        if number != self._report_number or self._reply_received:
            return
        self._reply_received = True
        self._allocated_at = now
        for allocated in parts:
            state = self._accounts.get(allocated.account)
            if state is None:
                state = _AccountState(part=allocated.part, now=now)
                self._accounts[allocated.account] = state
            state.part = allocated.part
            state.is_reported = True

    def describe(self, account: str, now: float) -> str:
        """Describes the part and demand of an account for the log."""
        state = self._accounts.get(account)
        if state is None:
            return 'no part'
        state.decay(now)
        age_s = now - self._allocated_at
        return (
            f'part {state.part:.3f} allocated {age_s:.2f} s ago, '
            f'demand {state.demand_per_s:.1f} a second'
        )

    def make_report(self, incarnation: str, now: float) -> ShareReport:
        """Creates the next report of this host."""
        self._report_number += 1
        self._reply_received = False
        return ShareReport(
            incarnation=incarnation,
            number=self._report_number,
            demands=self.demands(now),
        )

    def demands(self, now: float) -> list[AccountDemand]:
        """Lists demand and part of each account that has to be reported.

        An account that is not listed has neither demand nor part, and had no
        initial part either.
        """
        reported = []
        for account, state in self._accounts.items():
            state.decay(now)
            if state.is_reported or state.demand_per_s:
                reported.append(
                    AccountDemand(
                        account=account,
                        demand_per_s=state.demand_per_s,
                        part=state.part,
                    ),
                )
        return reported

    def _find_or_add(
        self,
        account: str,
        burst: float,
        hosts: int,
        now: float,
    ) -> _AccountState:
        state = self._accounts.get(account)
        if state is None:
            state = _AccountState(part=initial_part(burst, hosts), now=now)
            self._accounts[account] = state
        return state
