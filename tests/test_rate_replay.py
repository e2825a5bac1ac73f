"""Replay of a recorded load on the decisions about rates.

Nine seconds of the run baleward-bc trouble-2: a burst over eight hosts and
eight accounts. The active runner is lost permanently at 4.6 s and its successor
is active at 5.95 s. The rates are 1.6 times the rate at which each account sent
in the run.
"""

import json
from pathlib import Path

import pytest
from jacinthmount.held_shares import HeldShares
from jacinthmount.rate_shares import ShareAllocation

RECORD = json.loads(
    (Path(__file__).parent / 'data' / 'runner_replaced.json').read_text(),
)
RATES_PER_S = RECORD['rates_per_s']
HOSTS = [f'h{number}' for number in range(8)]
MS = 1000
LOST_S = 4.6
REPLACED_S = 5.95
REPORT_S = 0.3
SLACK = 20.0


def burst_of(account):
    """Returns the burst of an account: the tokens of one second."""
    return max(1.0, RATES_PER_S[account])


class Replay:
    """Eight hosts, an active runner and its successor."""

    def __init__(self, *, slack):
        """Starts 10 s before the recorded load, with no tokens used."""
        self.slack = slack
        self.shares = {
            host: HeldShares(now=-10.0, slack=slack) for host in HOSTS
        }
        self.allocation = ShareAllocation(slack=slack)
        self.reported_at = -10.0
        self.is_replaced = False

    def simulate(self):
        """Replays the recorded load.

        :returns: time in seconds and account of each refused request.
        """
        refused = []
        for at_ms, host, account in RECORD['arrivals']:
            now = at_ms / MS
            self._advance(now)
            if not self._request_token(HOSTS[host], account, now):
                refused.append((now, account))
        return refused

    def _advance(self, now):
        if now >= REPLACED_S and not self.is_replaced:
            self.is_replaced = True
            self.allocation = ShareAllocation(slack=self.slack)
        while self.reported_at + REPORT_S <= now:
            self.reported_at += REPORT_S
            if not LOST_S <= self.reported_at < REPLACED_S:
                self._report(self.reported_at)

    def _report(self, now):
        self.allocation.keep_hosts(set(HOSTS))
        bursts = {str(one): burst_of(one) for one in range(len(RATES_PER_S))}
        for host, shares in self.shares.items():
            report = shares.make_report('i', now)
            self.allocation.on_report(host, report)
            parts = self.allocation.parts_of(host, report, bursts)
            shares.on_parts(report.number, parts, now)

    def _request_token(self, host, account, now):
        name = str(account)
        limits = (RATES_PER_S[account], burst_of(account))
        shares = self.shares[host]
        shares.note_demand(name, limits[1], len(HOSTS), now)
        if shares.take(name, *limits, len(HOSTS), now):
            return True
        if LOST_S <= now < REPLACED_S:
            return shares.take_on_credit(name, len(HOSTS), now)
        wanted = shares.tokens_wanted(name, now)
        granted = self.allocation.grant(name, *limits, wanted, now)
        shares.on_grant(name, granted, now)
        return shares.take(name, *limits, len(HOSTS), now)


def list_second_requests():
    """Lists requests after the first per host and account without a runner."""
    seen = set()
    found = []
    for at_ms, host, account in RECORD['arrivals']:
        now = at_ms / MS
        if LOST_S <= now < REPLACED_S:
            if (host, account) in seen:
                found.append((now, account))
            seen.add((host, account))
    return found


@pytest.fixture
def refused():
    """Requests that are refused while there is no active runner."""
    return [
        (at, account)
        for at, account in Replay(slack=SLACK).simulate()
        if LOST_S <= at < REPLACED_S
    ]


def test_each_host_serves_an_account_without_an_active_runner(refused):
    """Only further requests of an account on the same host are refused.

    Without credit 31 of the 33 requests in that time were refused.
    """
    assert set(refused) <= set(list_second_requests())
