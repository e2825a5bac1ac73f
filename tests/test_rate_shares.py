"""Parts of rates on hosts: their sum, and their use in isolation."""

import random

import pytest
from jacinthmount.held_shares import HeldShares
from jacinthmount.rate_shares import (
    HELD_PART,
    TOTAL_PART,
    AccountDemand,
    AccountPart,
    ShareAllocation,
    ShareReport,
)

RATE_PER_S = 34.0
BURST = 34.0
ROUNDING = 1e-9
FRONTS = ('h1', 'h2', 'h3', 'h4')


class Fleet:
    """Hosts that take tokens, and the allocation that they report to."""

    def __init__(self, *, rate_per_s=RATE_PER_S, slack=0.0):
        """Starts all hosts at 0 s; the burst is the tokens of one second."""
        self.rate_per_s = rate_per_s
        self.slack = slack
        self.shares = {
            host: HeldShares(now=0.0, slack=slack) for host in FRONTS
        }
        self.allocation = ShareAllocation(slack=slack)
        self.taken = []
        self.refused = []

    def request_token(self, host, now, *, pool=True):
        """Takes a token on a host, or from the pool if it has none.

        :param pool: whether the host can reach the allocation.
        """
        shares = self.shares[host]
        shares.note_demand('gin', self.rate_per_s, len(FRONTS), now)
        taken = self._take(shares, now)
        if not taken and pool:
            wanted = shares.tokens_wanted('gin', now)
            granted = self.allocation.grant(
                'gin', self.rate_per_s, self.rate_per_s, wanted, now
            )
            shares.on_grant('gin', granted, now)
            taken = self._take(shares, now)
        if not taken and not pool:
            taken = shares.take_on_credit('gin', len(FRONTS), now)
        (self.taken if taken else self.refused).append((now, host))

    def report(self, now, hosts=FRONTS):
        """Lets hosts report and apply their parts."""
        self.allocation.keep_hosts(set(FRONTS))
        for host in hosts:
            report = self.shares[host].make_report('i', now)
            self.allocation.on_report(host, report)
            parts = self.allocation.parts_of(
                host, report, {'gin': self.rate_per_s}
            )
            self.shares[host].on_parts(report.number, parts, now)

    def held(self, now=0.0):
        """Returns the sum of the parts that hosts hold."""
        return sum(
            demand.part
            for shares in self.shares.values()
            for demand in shares.demands(now)
        )

    def _take(self, shares, now):
        return shares.take(
            'gin', self.rate_per_s, self.rate_per_s, len(FRONTS), now
        )


@pytest.fixture
def fleet():
    """Four hosts that share the rate of one account."""
    return Fleet()


def make_report(number, *, part, demand_per_s):
    """Builds the report of a host about one account."""
    return ShareReport(
        incarnation='i',
        number=number,
        demands=[
            AccountDemand(
                account='gin',
                demand_per_s=demand_per_s,
                part=part,
            ),
        ],
    )


def simulate(fleet, seconds, demand_by_host, *, isolated=(), start=0.0, seed=1):
    """Simulates random demand, with about three reports per second.

    :param isolated: hosts that can't reach the allocation.
    """
    rng = random.Random(seed)
    steps = int(seconds * 100)
    for step in range(steps):
        now = start + step / 100
        for host, rate_per_s in demand_by_host.items():
            if rng.random() < rate_per_s / 100:
                fleet.request_token(host, now, pool=host not in isolated)
        if step % 30 == 0:
            fleet.report(now, [host for host in FRONTS if host not in isolated])


def busiest_window(taken, window_s=5.0):
    """Returns the most tokens taken in any window."""
    times = sorted(now for now, _ in taken)
    return max(
        sum(begin <= now < begin + window_s for now in times) for begin in times
    )


def test_demand_within_the_rate_is_served(fleet):
    """Uneven demand of two thirds of the rate is hardly ever refused."""
    demand = {'h1': 14.0, 'h2': 6.0, 'h3': 1.0, 'h4': 0.5}
    simulate(fleet, 20, demand)
    assert len(fleet.refused) <= 0.02 * len(fleet.taken)


def test_overload_stays_within_rate_and_burst(fleet):
    """An account that sends many times its rate is limited to the rate."""
    demand = {host: 60.0 for host in FRONTS}
    simulate(fleet, 20, demand)
    limit = (RATE_PER_S * 5 + BURST) * 1.1
    assert busiest_window(fleet.taken) <= limit


def test_isolated_host_keeps_its_part(fleet):
    """A host with half of the demand keeps half of the held parts."""
    demand = {'h1': 10.0, 'h2': 10.0}
    simulate(fleet, 10, demand)
    fleet.taken.clear()
    simulate(fleet, 10, demand, isolated=('h1',), start=10.0, seed=2)
    taken = [one for one in fleet.taken if one[1] == 'h1']
    assert len(taken) >= 0.9 * RATE_PER_S * HELD_PART / 2 * 10


def test_sum_holds_while_a_host_is_isolated_and_all_overload(fleet):
    """The part of an isolated host is not allocated to others."""
    simulate(fleet, 10, {'h1': 10.0, 'h2': 10.0})
    fleet.taken.clear()
    demand = {host: 60.0 for host in FRONTS}
    simulate(fleet, 15, demand, isolated=('h1',), start=10.0, seed=2)
    limit = (RATE_PER_S * 5 + BURST) * 1.1
    assert busiest_window(fleet.taken) <= limit


def test_new_allocation_increases_no_part_before_all_reported(fleet):
    """A new allocation does not know the parts of unresponsive hosts."""
    simulate(fleet, 10, {'h1': 10.0, 'h2': 10.0})
    fleet.allocation = ShareAllocation()
    before = fleet.held()
    simulate(fleet, 5, {'h2': 60.0}, isolated=('h1',), start=10.0)
    assert fleet.held() <= max(before, HELD_PART) + 1e-9


def test_parts_and_pool_stay_within_the_total():
    """For any reports, parts and pool never exceed the total."""
    rng = random.Random(7)
    allocation = ShareAllocation()
    allocation.keep_hosts(set(FRONTS))
    parts = {host: HELD_PART / len(FRONTS) for host in FRONTS}
    for number in range(1, 500):
        host = rng.choice(FRONTS)
        report = make_report(
            number,
            part=parts[host],
            demand_per_s=rng.random() * 30,
        )
        allocation.on_report(host, report)
        allocated = allocation.parts_of(host, report, {'gin': BURST})
        if rng.randrange(5):
            parts[host] = allocated[0].part
        assert sum(parts.values()) <= HELD_PART + ROUNDING
    assert HELD_PART < TOTAL_PART


def test_part_that_holds_no_token_is_left_to_the_pool(fleet):
    """A part of less than one token would never admit a request."""
    allocation = ShareAllocation()
    allocation.keep_hosts(set(FRONTS))
    report = make_report(1, part=0.0, demand_per_s=1.0)
    for host in FRONTS:
        allocation.on_report(host, report)
    parts = allocation.parts_of('h1', report, {'gin': 2.0})
    assert not sum(one.part for one in parts)


def test_part_expires_without_allocations():
    """A host that no runner knows must not use its part forever."""
    shares = HeldShares(now=0.0)
    assert shares.take('gin', RATE_PER_S, BURST, 1, 1.0)
    assert not shares.take('gin', RATE_PER_S, BURST, 1, 100.0)


def test_late_reply_changes_nothing():
    """A host applies only the first reply to its newest report.

    The specification refuted an earlier rule: a new allocation counted the part
    that a host had reported, and a reply of its predecessor then increased it.
    """
    shares = HeldShares(now=0.0)
    for _ in range(2):
        shares.make_report('i', 1.0)
    shares.on_parts(1, [AccountPart(account='gin', part=0.4)], 1.0)
    shares.on_parts(2, [AccountPart(account='gin', part=0.1)], 1.0)
    shares.on_parts(2, [AccountPart(account='gin', part=0.3)], 1.0)
    assert shares.demands(1.0)[0].part == pytest.approx(0.1)


def test_part_in_transit_counts_as_held():
    """An increase that was sent may still be applied by the host."""
    allocation = ShareAllocation()
    allocation.keep_hosts({'h1', 'h2'})
    idle = make_report(1, part=0.0, demand_per_s=0.0)
    allocation.on_report('h2', idle)
    busy = make_report(1, part=0.0, demand_per_s=30.0)
    allocation.on_report('h1', busy)
    raised = allocation.parts_of('h1', busy, {'gin': BURST})[0].part
    busy = make_report(2, part=0.0, demand_per_s=30.0)
    allocation.on_report('h2', busy)
    other = allocation.parts_of('h2', busy, {'gin': BURST})[0].part
    assert raised + other <= HELD_PART + ROUNDING


def test_late_report_is_ignored():
    """An old report must not reduce the known part of a host."""
    allocation = ShareAllocation()
    allocation.keep_hosts({'h1'})
    newer = make_report(2, part=0.4, demand_per_s=1.0)
    assert allocation.on_report('h1', newer)
    older = make_report(1, part=0.1, demand_per_s=1.0)
    assert not allocation.on_report('h1', older)


def test_small_account_is_served_while_the_runner_is_replaced():
    """Hosts admit on credit where a part is less than one token.

    The load follows runs in which runners are replaced: a few requests per
    second of one account over all hosts, and no active runner for 1.4 s.
    """
    fleet = Fleet(rate_per_s=4.0, slack=20.0)
    demand = dict.fromkeys(FRONTS, 0.6)
    simulate(fleet, 10, demand)
    fleet.refused.clear()
    simulate(fleet, 1.4, demand, isolated=FRONTS, start=10.0, seed=2)
    fleet.allocation = ShareAllocation(slack=fleet.slack)
    simulate(fleet, 3, demand, start=11.4, seed=3)
    assert not fleet.refused


def test_credit_stays_within_the_tolerated_excess():
    """Overload on all hosts, with and without a runner, and new runners."""
    fleet = Fleet(rate_per_s=4.0, slack=20.0)
    demand = dict.fromkeys(FRONTS, 30.0)
    for start in range(0, 20, 2):
        isolated = FRONTS if start % 4 else ()
        if not isolated:
            fleet.allocation = ShareAllocation(slack=fleet.slack)
        simulate(fleet, 2, demand, isolated=isolated, start=start, seed=start)
    limit = (fleet.rate_per_s * 5 + fleet.rate_per_s) * 1.1 + fleet.slack
    assert busiest_window(fleet.taken) <= limit


def test_isolated_host_has_credit_in_each_window():
    """One request per window and host, for as long as it is isolated."""
    shares = HeldShares(now=0.0, slack=20.0, window_s=5.0)
    taken = [
        second
        for second in range(20)
        if shares.take_on_credit('gin', 8, float(second))
    ]
    assert taken == [0, 6, 12, 18]


def test_credit_is_repaid():
    """Over a long time an account gets no more than its rate."""
    fleet = Fleet(rate_per_s=4.0, slack=20.0)
    demand = dict.fromkeys(FRONTS, 30.0)
    for start in range(0, 60, 10):
        simulate(fleet, 8, demand, start=start, seed=start)
        simulate(fleet, 2, demand, isolated=FRONTS, start=start + 8, seed=start)
    assert len(fleet.taken) <= fleet.rate_per_s * 60 * TOTAL_PART + fleet.slack


@pytest.mark.parametrize(('slack', 'hosts'), [(0.0, 4), (20.0, 0), (4.0, 4)])
def test_no_credit_without_tolerance_or_known_hosts(slack, hosts):
    """No excess is tolerated, or the number of hosts is unknown or large."""
    shares = HeldShares(now=0.0, slack=slack)
    assert not shares.take_on_credit('gin', hosts, 1.0)
