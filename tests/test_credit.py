"""Tokens on credit in a large fleet that has lost its active runner."""

import random

import pytest
from jacinthmount.credit import CreditGrants, credit_of_host

SLACK = 20.0
WINDOW_S = 5.0
RUNNERS = 5
RATE_PER_S = 1.6
FRONTS = 165


@pytest.fixture
def runners():
    """The runners of five data centres, none of which allocates."""
    return [
        CreditGrants(slack=SLACK, window_s=WINDOW_S) for _ in range(RUNNERS)
    ]


def grant(runner, now, rate_per_s=RATE_PER_S):
    """Requests a token of an account whose burst is its rate of one second."""
    return runner.grant('gin', rate_per_s, rate_per_s, RUNNERS, now)


def test_single_host_of_a_large_fleet_has_no_credit():
    """Half of the tolerated excess is less than one token per host."""
    assert credit_of_host(SLACK, 8) == 1
    assert not credit_of_host(SLACK, FRONTS)
    assert not credit_of_host(SLACK, 0)


def test_small_accounts_are_served_while_the_runner_is_replaced(runners):
    """Two requests within 1.5 s over all data centres are granted.

    Without credit granted by runners all such requests were refused in fleets
    of 21 fronts and more.
    """
    rng = random.Random(1)
    refused = 0
    for start in range(0, 100, 10):
        moments = sorted(start + rng.uniform(0, 1.5) for _ in range(2))
        refused += sum(not grant(rng.choice(runners), at) for at in moments)
    assert not refused


@pytest.mark.parametrize('rate_per_s', [RATE_PER_S, 40.0])
def test_credit_of_all_runners_stays_within_the_tolerated_excess(
    runners,
    rate_per_s,
):
    """An account that overloads all runners gets no more in any window."""
    taken = [
        step / 100
        for step in range(3000)
        for runner in runners
        if grant(runner, step / 100, rate_per_s)
    ]
    limit = SLACK / 2 + 0.05 * rate_per_s * (WINDOW_S + 1)
    for start in taken:
        assert sum(start <= at < start + WINDOW_S for at in taken) <= limit


def test_no_credit_without_tolerated_excess():
    """Nothing is granted if the rates must hold exactly."""
    strict = CreditGrants(slack=0.0, window_s=WINDOW_S)
    assert not grant(strict, 1.0, rate_per_s=100.0)
