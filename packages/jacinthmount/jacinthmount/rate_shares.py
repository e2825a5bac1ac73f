"""Rate and burst of accounts over all hosts, without a wait a request.

Answers accounts whose requests enter at every host, also at hosts that are cut
off from the one that allocates. Each host holds a part of the rate and keeps it
for as long as nobody else can reach it; parts follow the demand. What nobody
holds is a pool from which single tokens are granted.

Answers as well small accounts whose parts would not hold a token while the
runner that grants tokens is replaced: hosts then admit on credit, out of what
the operator tolerates beyond a rate, and pay it back from later grants.
"""

from collections import deque

from jacinthmount.records import Record
from jacinthmount.token_bucket import TokenBucket

__all__ = (
    'AccountDemand',
    'AccountPart',
    'HeldShares',
    'ShareAllocation',
    'ShareReport',
)

# Parts and pool together stay within the rate and a twentieth.
TOTAL_PART = 1.05
HELD_PART = 0.45
DEMAND_WINDOW_S = 2.0
DEMAND_FLOOR_PER_S = 0.25
KEPT_UNHEARD_S = 50.0
GRANT_VALID_S = 1.0
# What a restarted host may use at once, of which its predecessor may have
# used as much; far less than a burst.
START_LEVEL_S = 0.4
DECREASE_BELOW = 0.9
# Of what is tolerated beyond a rate; the rest is left for hosts that restart.
CREDIT_PART = 0.5
POOL_START_PART = 0.25
POOL_START_EVERY_S = 10.0


class AccountDemand(Record):
    """Requests a second of an account at a host, and the part it holds."""

    __slots__ = ('account', 'demand_per_s', 'part')

    account: str
    demand_per_s: float
    part: float


class ShareReport(Record):
    """Demand and parts of a host.

    ``number`` counts the reports of one start of the host. It applies no answer
    to a report before this one any more.
    """

    __slots__ = ('incarnation', 'number', 'demands')

    incarnation: str
    number: int
    demands: list[AccountDemand]


class AccountPart(Record):
    """The part of an account's rate that a host may hold from now on."""

    __slots__ = ('account', 'part')

    account: str
    part: float


class _Held:
    __slots__ = (
        'at',
        'bucket',
        'credits',
        'demand_per_s',
        'granted',
        'granted_until',
        'is_new',
        'owed',
        'part',
    )

    def __init__(self, *, part: float, now: float) -> None:
        self.part = part
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

    It starts with an equal part of every rate, for the time in which nobody
    allocates, and gives up its parts when it has not been allocated any for
    long.
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
        held = self._find(account, hosts, now)
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
        if not hosts:
            return False
        held = self._find(account, hosts, now)
        while held.credits and now - held.credits[0] > self._window_s:
            held.credits.popleft()
        if len(held.credits) >= int(self._slack * CREDIT_PART / hosts):
            return False
        held.credits.append(now)
        held.owed += 1
        return True

    def note_demand(self, account: str, hosts: int, now: float) -> None:
        """Counts a request, whether it gets a token or not."""
        held = self._find(account, hosts, now)
        held.decay(now)
        held.demand_per_s += 1 / DEMAND_WINDOW_S

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
            self._find(one.account, 1, now).part = one.part

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
        """Lists demand and parts of the accounts seen here."""
        found = []
        for account, held in self._held.items():
            held.decay(now)
            found.append(
                AccountDemand(
                    account=account,
                    demand_per_s=held.demand_per_s,
                    part=held.part,
                ),
            )
        return found

    def _find(self, account: str, hosts: int, now: float) -> _Held:
        held = self._held.get(account)
        if held is None:
            held = _Held(part=HELD_PART / max(1, hosts), now=now)
            self._held[account] = held
        return held


class _Allocated:
    __slots__ = ('demand_per_s', 'reported', 'sent')

    def __init__(
        self,
        *,
        demand_per_s: float,
        reported: float,
        sent: float,
    ) -> None:
        self.demand_per_s = demand_per_s
        self.reported = reported
        self.sent = sent

    @property
    def held(self) -> float:
        """Counts what the host may use now or after an answer on its way."""
        return max(self.reported, self.sent)


class _AccountShares:
    """Parts of one account by host, with their sums.

    The sums are kept, so that the work for a report does not grow with hosts.
    """

    __slots__ = ('by_host', 'demand_per_s', 'held')

    def __init__(self) -> None:
        self.by_host: dict[str, _Allocated] = {}
        self.demand_per_s = 0.0
        self.held = 0.0

    def put(self, host: str, allocated: _Allocated) -> None:
        """Replaces what is known of a host."""
        self.drop(host)
        self.by_host[host] = allocated
        self.demand_per_s += allocated.demand_per_s + DEMAND_FLOOR_PER_S
        self.held += allocated.held

    def drop(self, host: str) -> None:
        """Forgets a host."""
        known = self.by_host.pop(host, None)
        if known is not None:
            self.demand_per_s -= known.demand_per_s + DEMAND_FLOOR_PER_S
            self.held -= known.held

    def send(self, host: str, part: float) -> None:
        """Notes the part that an answer takes to a host."""
        known = self.by_host[host]
        self.put(
            host,
            _Allocated(
                demand_per_s=known.demand_per_s,
                reported=known.reported,
                sent=part,
            ),
        )


class _Reporter:
    __slots__ = ('incarnation', 'number')

    def __init__(self, *, incarnation: str, number: int) -> None:
        self.incarnation = incarnation
        self.number = number


class ShareAllocation:
    """Allocates parts to hosts; decreases first, increases once that is known.

    A host that has not been heard holds whatever the others don't, so nothing
    is allocated anew until every registered host has reported.
    """

    __slots__ = (
        '_accounts',
        '_hosts',
        '_pools',
        '_reporters',
        '_slack',
        '_started_at',
    )

    def __init__(self, *, slack: float = 0.0) -> None:
        """Starts without reports.

        :param slack: requests of an account that are tolerated beyond its rate
            and burst, over all hosts.
        """
        self._slack = slack
        self._started_at: dict[str, float] = {}
        self._accounts: dict[str, _AccountShares] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._hosts: set[str] = set()
        self._pools: dict[str, TokenBucket] = {}

    def clear(self) -> None:
        """Forgets everything, when another host may have allocated since."""
        self._accounts.clear()
        self._reporters.clear()
        self._pools.clear()

    def keep_hosts(self, hosts: set[str]) -> None:
        """Takes the registered hosts; parts of others are free again."""
        self._hosts = hosts
        for gone in self._reporters.keys() - hosts:
            self._reporters.pop(gone)
            self._forget(gone)

    def on_report(self, host: str, report: ShareReport) -> bool:
        """Takes demand and parts of a host.

        :returns: whether the report counts; an older one that comes late tells
            what is no longer so.
        """
        known = self._reporters.get(host)
        if known is not None and known.incarnation == report.incarnation:
            if report.number <= known.number:
                return False
        elif known is not None:
            self._forget(host)
        self._reporters[host] = _Reporter(
            incarnation=report.incarnation,
            number=report.number,
        )
        for one in report.demands:
            shares = self._accounts.setdefault(one.account, _AccountShares())
            shares.put(
                host,
                _Allocated(
                    demand_per_s=one.demand_per_s,
                    reported=one.part,
                    sent=0.0,
                ),
            )
        return True

    def parts_of(
        self,
        host: str,
        report: ShareReport,
        bursts: dict[str, float],
    ) -> list[AccountPart]:
        """Allocates the parts of a host.

        :param bursts: burst by account; a part that holds no token is not
            worth allocating.
        """
        all_heard = not self._unheard()
        found = []
        for account, shares in self._accounts.items():
            if host not in shares.by_host:
                # It holds its first part without knowing the account yet.
                shares.put(host, self._first())
            burst = bursts.get(account, 0.0)
            part = self._allocate(shares, host, burst, all_heard=all_heard)
            shares.send(host, part)
            found.append(AccountPart(account=account, part=part))
        return found

    def grant(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        wanted: int,
        now: float,
    ) -> int:
        """Grants tokens from the part that no host holds."""
        part = self._pool_part(account)
        pool = self._pools.get(account)
        if pool is None:
            pool = TokenBucket(
                rate_per_s=rate_per_s * part,
                burst=burst * part,
                level=self._start_level(account, now),
                now=now,
            )
            self._pools[account] = pool
        pool.resize(rate_per_s * part, max(1.0, burst * part), now)
        return pool.take_up_to(wanted, now)

    def wait_s(self, account: str, now: float) -> float:
        """Estimates the seconds until a token can be granted."""
        pool = self._pools.get(account)
        return pool.wait_s(now) if pool else 0.0

    def _start_level(self, account: str, now: float) -> float:
        # What the runner before granted is not known; only what is tolerated
        # beyond the rate is there at once.
        before = self._started_at.get(account)
        if before is not None and now - before < POOL_START_EVERY_S:
            return 0.0
        self._started_at[account] = now
        return self._slack * POOL_START_PART

    def _pool_part(self, account: str) -> float:
        if self._unheard():
            return TOTAL_PART - HELD_PART
        shares = self._accounts.get(account, _AccountShares())
        return max(0.0, TOTAL_PART - self._held(shares))

    def _unheard(self) -> bool:
        return not self._hosts <= self._reporters.keys()

    def _forget(self, host: str) -> None:
        for shares in self._accounts.values():
            shares.drop(host)

    def _held(self, shares: _AccountShares) -> float:
        unknown = len(self._hosts) - len(shares.by_host)
        return shares.held + unknown * self._first().held

    def _first(self) -> _Allocated:
        return _Allocated(
            demand_per_s=0.0,
            reported=HELD_PART / max(1, len(self._hosts)),
            sent=0.0,
        )

    def _allocate(
        self,
        shares: _AccountShares,
        host: str,
        burst: float,
        *,
        all_heard: bool,
    ) -> float:
        allocated = shares.by_host[host]
        own = allocated.demand_per_s + DEMAND_FLOOR_PER_S
        wanted = HELD_PART * own / shares.demand_per_s
        if burst * wanted < 1:
            wanted = 0.0
        if wanted >= allocated.held * DECREASE_BELOW:
            free = 0.0
            if all_heard:
                free = max(0.0, HELD_PART - self._held(shares))
            wanted = min(wanted, allocated.held + free)
        return wanted
