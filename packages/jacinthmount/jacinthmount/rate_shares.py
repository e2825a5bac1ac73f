"""Allocation of account rates to hosts, without a round trip per request.

Requests of an account arrive at all hosts, also at hosts that can't reach the
runner that allocates. So each host holds a part of the rate, and keeps it while
it is disconnected. The parts follow the demand. The rate that no host holds is
a pool from which single tokens are granted.

In a fleet so large that an equal part would hold less than one token, no host
has an initial part, and all of the rate is in the pool.
"""

from jacinthmount.records import Record
from jacinthmount.token_bucket import TokenBucket

__all__ = (
    'AccountDemand',
    'AccountPart',
    'ShareAllocation',
    'ShareReport',
    'initial_part',
)

# Parts and pool together may exceed the rate by a twentieth.
TOTAL_PART = 1.05
HELD_PART = 0.45
DEMAND_WINDOW_S = 2.0
# Added to the demand of each host, so that an idle host keeps a small part.
DEMAND_FLOOR_PER_S = 0.25
DECREASE_BELOW = 0.9
# Part of the tolerated excess over a rate that a new pool starts with; the rest
# is reserved for credit.
POOL_START_FRACTION = 0.25
# A pool that is created again sooner than this starts empty.
POOL_START_EVERY_S = 10.0


class AccountDemand(Record):
    """Requests per second of an account on a host, and the part it holds."""

    __slots__ = ('account', 'demand_per_s', 'part')

    account: str
    demand_per_s: float
    part: float


class ShareReport(Record):
    """Demand and parts of a host.

    ``number`` counts the reports of one incarnation of the host, which no
    longer applies replies to earlier reports.
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


def initial_part(burst: float, hosts: int) -> float:
    """Returns the part of a rate that a host holds before any allocation.

    :param burst: capacity of the bucket of the whole rate, in tokens.
    :param hosts: number of hosts that share the rate, 0 while unknown.
    """
    if not hosts:
        return 0.0
    part = HELD_PART / hosts
    return part if burst * part >= 1 else 0.0


class _HostPart:
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
        """Part that the host may use now, or after a reply still in transit."""
        return max(self.reported, self.sent)


class _AccountShares:
    """Parts of one account by host, with their sums.

    The sums are updated incrementally, so that the work for a report does not
    grow with the number of hosts.
    """

    __slots__ = ('by_host', 'demand_per_s', 'held')

    def __init__(self) -> None:
        self.by_host: dict[str, _HostPart] = {}
        self.demand_per_s = 0.0
        self.held = 0.0

    def put(self, host: str, allocated: _HostPart) -> None:
        """Replaces the entry of a host."""
        self.drop(host)
        self.by_host[host] = allocated
        self.demand_per_s += allocated.demand_per_s + DEMAND_FLOOR_PER_S
        self.held += allocated.held

    def drop(self, host: str) -> None:
        """Removes the entry of a host."""
        known = self.by_host.pop(host, None)
        if known is not None:
            self.demand_per_s -= known.demand_per_s + DEMAND_FLOOR_PER_S
            self.held -= known.held

    def send(self, host: str, part: float) -> None:
        """Records the part that a reply allocates to a host."""
        known = self.by_host[host]
        self.put(
            host,
            _HostPart(
                demand_per_s=known.demand_per_s,
                reported=known.reported,
                sent=part,
            ),
        )


class _LastReport:
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
    """Allocates parts to hosts; an increase waits for the decreases before it.

    A host that has not reported may hold all that the others don't, so no part
    is increased until every registered host has reported. The work for a report
    grows with the accounts in it and with those that have an initial part.
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
        """Starts with no report.

        :param slack: requests of an account that are tolerated beyond its rate
            and burst, over all hosts.
        """
        self._slack = slack
        self._started_at: dict[str, float] = {}
        self._accounts: dict[str, _AccountShares] = {}
        self._bursts: dict[str, float] = {}
        self._reporters: dict[str, _LastReport] = {}
        self._hosts: set[str] = set()
        self._pools: dict[str, TokenBucket] = {}

    def clear(self) -> None:
        """Drops all state, as another host may have allocated since."""
        self._accounts.clear()
        self._reporters.clear()
        self._pools.clear()

    def keep_hosts(self, hosts: set[str]) -> None:
        """Sets the registered hosts; the parts of others become free."""
        self._hosts = hosts
        for removed in self._reporters.keys() - hosts:
            self._drop_host(removed)

    def on_report(self, host: str, report: ShareReport) -> bool:
        """Records demand and parts of a host.

        :returns: whether the report was used; an outdated one that arrives late
            is ignored.
        """
        known = self._reporters.get(host)
        if known is not None and known.incarnation == report.incarnation:
            if report.number <= known.number:
                return False
        self._drop_host(host)
        self._reporters[host] = _LastReport(
            incarnation=report.incarnation,
            number=report.number,
            accounts={demand.account for demand in report.demands},
        )
        for demand in report.demands:
            shares = self._accounts.setdefault(demand.account, _AccountShares())
            shares.put(
                host,
                _HostPart(
                    demand_per_s=demand.demand_per_s,
                    reported=demand.part,
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

        :param bursts: burst by account; a part that holds less than one token
            is not allocated.
        """
        self._bursts = bursts
        all_reported = not self._is_report_missing()
        parts = []
        accounts = self._reporters[host].accounts
        accounts.update(self._with_initial_part())
        for account in sorted(accounts):
            shares = self._accounts[account]
            if host not in shares.by_host:
                # The host holds its initial part, but did not report the
                # account.
                shares.put(host, self._initial(account))
            part = self._allocate(account, host, all_reported=all_reported)
            if part or shares.by_host[host].held or self._initial(account).held:
                parts.append(AccountPart(account=account, part=part))
            shares.send(host, part)
        return parts

    def grant(
        self,
        account: str,
        rate_per_s: float,
        burst: float,
        wanted: int,
        now: float,
    ) -> int:
        """Grants up to ``wanted`` tokens from the pool that no host holds."""
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
        """Estimates the seconds until the pool has a token."""
        pool = self._pools.get(account)
        return pool.wait_s(now) if pool else 0.0

    def _start_level(self, account: str, now: float) -> float:
        # The grants of the previous runner are unknown, so a new pool starts
        # only with a part of the tolerated excess.
        previous_at = self._started_at.get(account)
        if previous_at is not None and now - previous_at < POOL_START_EVERY_S:
            return 0.0
        self._started_at[account] = now
        return self._slack * POOL_START_FRACTION

    def _pool_part(self, account: str) -> float:
        if self._is_report_missing():
            return TOTAL_PART - HELD_PART
        return max(0.0, TOTAL_PART - self._held(account))

    def _is_report_missing(self) -> bool:
        return not self._hosts <= self._reporters.keys()

    def _drop_host(self, host: str) -> None:
        known = self._reporters.pop(host, None)
        if known is None:
            return
        for account in known.accounts:
            self._accounts[account].drop(host)

    def _with_initial_part(self) -> list[str]:
        return [
            account for account in self._accounts if self._initial(account).held
        ]

    def _held(self, account: str) -> float:
        shares = self._accounts.get(account, _AccountShares())
        unknown = len(self._hosts) - len(shares.by_host)
        return shares.held + unknown * self._initial(account).held

    def _initial(self, account: str) -> _HostPart:
        # The burst of a deleted account is unknown.
        burst = self._bursts.get(account, float('inf'))
        return _HostPart(
            demand_per_s=0.0,
            reported=initial_part(burst, len(self._hosts)),
            sent=0.0,
        )

    def _allocate(
        self,
        account: str,
        host: str,
        *,
        all_reported: bool,
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
            if all_reported:
                free = max(0.0, HELD_PART - self._held(account))
            wanted = min(wanted, allocated.held + free)
        return wanted
