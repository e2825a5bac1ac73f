"""The parts of rates that a host holds, and tokens granted to it.

Answers as well small accounts whose parts would not hold a token while the
runner that grants tokens is replaced: hosts then admit on credit, out of what
the operator tolerates beyond a rate, and pay it back from later grants.
"""

from collections import deque

from jacinthmount.credit import credit_of_host
from jacinthmount.rate_shares import (
    DEMAND_WINDOW_S,
    AccountDemand,
    AccountPart,
    ShareReport,
    first_part,
)
from jacinthmount.token_bucket import TokenBucket

__all__ = ('HeldShares',)

KEPT_UNHEARD_S = 50.0
GRANT_VALID_S = 1.0
# Requests that come meanwhile need not ask themselves.
AHEAD_S = 0.5
MAX_AHEAD = 2
MAX_REPAID = 2
# What a restarted host may use at once, of which its predecessor may have
# used as much; far less than a burst.
START_LEVEL_S = 0.4


class _Held:
    __slots__ = (
        'at',
        'bucket',
        'credits',
        'demand_per_s',
        'granted',
        'granted_until',
        'is_new',
        'is_told',
        'owed',
        'part',
    )

    def __init__(self, *, part: float, now: float) -> None:
        self.part = part
        # Whoever allocates takes it for the first part unless told.
        self.is_told = part > 0
        self.is_new = True
        self.at = now
        self.demand_per_s = 0.0
        self.granted = 0
        self.granted_until = 0.0
        self.owed = 0
        # When tokens were taken on credit in the last window.
        self.credits: deque[float] = deque()
        self.bucket = TokenBucket(rate_per_s=0, burst=1, level=1, now=now)

    def decay(self, now: float) -> None:
        kept = max(0.0, 1 - (now - self.at) / DEMAND_WINDOW_S)
        self.demand_per_s *= kept
        self.at = now


class HeldShares:
    """The parts that this host holds, and tokens granted to it.

    It starts with an equal part of every rate that can be parted, for the time
    in which nobody allocates, and gives up its parts when it has not been
    allocated any for long.
    """

    __slots__ = (
        '_allocated_at',
        '_answered',
        '_held',
        '_number',
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
        self._number = 0
        self._answered = True
        self._held: dict[str, _Held] = {}
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

        :param hosts: hosts that share the rates.
        """
        held = self._find(account, burst, hosts, now)
        if now - self._allocated_at > KEPT_UNHEARD_S:
            held.part = 0
        capacity = burst * held.part
        if held.part > 0:
            # A bucket must hold one token to be of use.
            capacity = max(1.0, capacity)
        held.bucket.resize(rate_per_s * held.part, capacity, now)
        if held.is_new:
            held.is_new = False
            held.bucket.add(rate_per_s * held.part * START_LEVEL_S)
        if held.bucket.take(now):
            if held.owed and held.bucket.take(now):
                held.owed -= 1
            return True
        if held.granted >= 1 and now < held.granted_until:
            held.granted -= 1
            return True
        return False

    def take_on_credit(self, account: str, hosts: int, now: float) -> bool:
        """Takes a token that is paid back later, if any may be owed.

        For the time in which nobody answers a question for tokens.

        :param hosts: hosts that share the rates; without them it is not known
            how much each may owe.
        """
        held = self._held.setdefault(account, _Held(part=0.0, now=now))
        while held.credits and now - held.credits[0] > self._window_s:
            held.credits.popleft()
        if len(held.credits) >= credit_of_host(self._slack, hosts):
            return False
        held.credits.append(now)
        held.owed += 1
        return True

    def note_demand(
        self,
        account: str,
        burst: float,
        hosts: int,
        now: float,
    ) -> None:
        """Counts a request, whether it gets a token or not."""
        held = self._find(account, burst, hosts, now)
        held.decay(now)
        held.demand_per_s += 1 / DEMAND_WINDOW_S

    def tokens_wanted(self, account: str, now: float) -> int:
        """Counts the tokens to ask for: one, those owed, and some ahead.

        Tokens that no request uses in time are lost to the other hosts, and
        where hosts have no parts each request asks for its place as well.
        """
        held = self._held.get(account)
        if held is None:
            return 1
        held.decay(now)
        ahead = 0
        if held.is_told:
            ahead = min(MAX_AHEAD, int(held.demand_per_s * AHEAD_S))
        return 1 + ahead + min(held.owed, MAX_REPAID)

    def on_grant(self, account: str, tokens: int, asked_at: float) -> None:
        """Adds tokens granted to a question that was sent at a time."""
        held = self._held.get(account)
        if held is not None:
            # The first token is for the request that asked.
            repaid = min(held.owed, max(0, tokens - 1))
            held.owed -= repaid
            held.granted += tokens - repaid
            held.granted_until = asked_at + GRANT_VALID_S

    def on_parts(
        self,
        number: int,
        parts: list[AccountPart],
        now: float,
    ) -> None:
        """Takes the parts allocated in answer to a report.

        Only the first answer to the newest report counts, since whoever has
        that report takes its parts for what this host holds.
        """
        if number != self._number or self._answered:
            return
        self._answered = True
        self._allocated_at = now
        for one in parts:
            held = self._held.get(one.account)
            if held is None:
                held = _Held(part=one.part, now=now)
                self._held[one.account] = held
            held.part = one.part
            held.is_told = True

    def describe(self, account: str, now: float) -> str:
        """Describes part and demand of an account for a log line."""
        held = self._held.get(account)
        if held is None:
            return 'no part'
        held.decay(now)
        age_s = now - self._allocated_at
        return (
            f'part {held.part:.3f} allocated {age_s:.2f} s ago, '
            f'demand {held.demand_per_s:.1f} a second'
        )

    def make_report(self, incarnation: str, now: float) -> ShareReport:
        """Makes the next report of this host."""
        self._number += 1
        self._answered = False
        return ShareReport(
            incarnation=incarnation,
            number=self._number,
            demands=self.demands(now),
        )

    def demands(self, now: float) -> list[AccountDemand]:
        """Lists demand and parts of the accounts that matter here.

        An account that is left out has neither, and had none from the start.
        """
        found = []
        for account, held in self._held.items():
            held.decay(now)
            if held.is_told or held.demand_per_s:
                found.append(
                    AccountDemand(
                        account=account,
                        demand_per_s=held.demand_per_s,
                        part=held.part,
                    ),
                )
        return found

    def _find(
        self,
        account: str,
        burst: float,
        hosts: int,
        now: float,
    ) -> _Held:
        held = self._held.get(account)
        if held is None:
            held = _Held(part=first_part(burst, hosts), now=now)
            self._held[account] = held
        return held
