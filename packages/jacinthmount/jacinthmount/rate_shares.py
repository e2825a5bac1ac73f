"""Rate and burst of accounts over all hosts, without a wait a request.

Answers accounts whose requests enter at every host, also at hosts that are cut
off from the one that allocates. Each host holds a part of the rate and keeps it
for as long as nobody else can reach it; parts follow the demand. What nobody
holds is a pool from which single tokens are granted.

Where hosts are so many that an equal part would not hold a single token, no
host has a part to begin with, and all of the rate is in the pool.
"""

from jacinthmount.records import Record
from jacinthmount.token_bucket import TokenBucket

__all__ = (
    'AccountDemand',
    'AccountPart',
    'ShareAllocation',
    'ShareReport',
    'first_part',
)

# Parts and pool together stay within the rate and a twentieth.
TOTAL_PART = 1.05
HELD_PART = 0.45
DEMAND_WINDOW_S = 2.0
DEMAND_FLOOR_PER_S = 0.25
DECREASE_BELOW = 0.9
# Of what is tolerated beyond a rate; the rest is left for credit.
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


def first_part(burst: float, hosts: int) -> float:
    """Tells which part a host holds of a rate before any is allocated.

    :param burst: tokens that the bucket of the whole rate holds.
    :param hosts: hosts that share the rate; none is known while 0.
    """
    if not hosts:
        return 0.0
    part = HELD_PART / hosts
    return part if burst * part >= 1 else 0.0


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
    __slots__ = ('accounts', 'incarnation', 'number')

    def __init__(
        self,
        *,
        incarnation: str,
        number: int,
        accounts: set[str],
    ) -> None:
        self.incarnation = incarnation
        self.number = number
        self.accounts = accounts


class ShareAllocation:
    """Allocates parts to hosts; decreases first, increases once that is known.

    A host that has not been heard holds whatever the others don't, so nothing
    is allocated anew until every registered host has reported. The work for a
    report grows with the accounts that it names, and with those of which every
    host has a part to begin with.
    """

    __slots__ = (
        '_accounts',
        '_bursts',
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
        self._bursts: dict[str, float] = {}
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
        self._forget(host)
        self._reporters[host] = _Reporter(
            incarnation=report.incarnation,
            number=report.number,
            accounts={one.account for one in report.demands},
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
        self._bursts = bursts
        all_heard = not self._unheard()
        found = []
        accounts = self._reporters[host].accounts
        accounts.update(self._held_from_the_start())
        for account in sorted(accounts):
            shares = self._accounts[account]
            if host not in shares.by_host:
                # It holds its first part without knowing the account yet.
                shares.put(host, self._first(account))
            part = self._allocate(account, host, all_heard=all_heard)
            if part or shares.by_host[host].held or self._first(account).held:
                found.append(AccountPart(account=account, part=part))
            shares.send(host, part)
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
        self._bursts[account] = burst
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
        return max(0.0, TOTAL_PART - self._held(account))

    def _unheard(self) -> bool:
        return not self._hosts <= self._reporters.keys()

    def _forget(self, host: str) -> None:
        known = self._reporters.pop(host, None)
        if known is None:
            return
        for account in known.accounts:
            self._accounts[account].drop(host)

    def _held_from_the_start(self) -> list[str]:
        return [one for one in self._accounts if self._first(one).held]

    def _held(self, account: str) -> float:
        shares = self._accounts.get(account, _AccountShares())
        unknown = len(self._hosts) - len(shares.by_host)
        return shares.held + unknown * self._first(account).held

    def _first(self, account: str) -> _Allocated:
        # The burst of an account that was taken away is not known any more.
        burst = self._bursts.get(account, float('inf'))
        return _Allocated(
            demand_per_s=0.0,
            reported=first_part(burst, len(self._hosts)),
            sent=0.0,
        )

    def _allocate(
        self,
        account: str,
        host: str,
        *,
        all_heard: bool,
    ) -> float:
        shares = self._accounts[account]
        burst = self._bursts.get(account, 0.0)
        allocated = shares.by_host[host]
        own = allocated.demand_per_s + DEMAND_FLOOR_PER_S
        wanted = HELD_PART * own / shares.demand_per_s
        if burst * wanted < 1:
            wanted = 0.0
        if wanted >= allocated.held * DECREASE_BELOW:
            free = 0.0
            if all_heard:
                free = max(0.0, HELD_PART - self._held(account))
            wanted = min(wanted, allocated.held + free)
        return wanted
