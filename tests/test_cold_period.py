"""Requests to cold endpoints, over all hosts together."""

import random
from collections import Counter

import pytest
from jacinthmount.cold_period import (
    ColdPeriod,
    host_limit,
    runner_limit,
)
from jacinthmount.placement import Placement
from jacinthmount.reachability import DataCentreContacts

from tests.relay_builders import make_entry

PERIOD_S = 3.0
PER_S = 15.0
HOSTS = 60
SLOTS = 8
TICK_S = 0.01
RUN_S = 0.3


@pytest.fixture
def rng():
    """A fixed sequence of random numbers."""
    return random.Random(3)


def make_period(limit, rng, left_s=PERIOD_S):
    """Builds the cold period of an endpoint that states to be cold at 0 s."""
    period = ColdPeriod(limit=limit)
    period.on_stated(left_s, rng, 0.0)
    return period


def count_sent(period, until_s):
    """Counts the requests of a process that always has one to send."""
    sent = 0
    for tick in range(int(until_s / TICK_S)):
        now = tick * TICK_S
        if period.may_send(now):
            period.on_sent(now)
            sent += 1
    return sent


def test_runner_sends_two_thirds_of_what_is_tolerated(rng):
    """The rest is left to hosts that choose on their own."""
    period = make_period(runner_limit(PERIOD_S, PER_S), rng)
    assert 8 <= count_sent(period, 1.0) <= 11


def test_hosts_together_send_their_part(rng):
    """Sixty hosts keep to a third, without messages between them."""
    limit = host_limit(PERIOD_S, PER_S, HOSTS)
    sent = sum(
        count_sent(make_period(limit, rng), PERIOD_S) for _ in range(HOSTS)
    )
    assert 0 < sent <= PER_S * PERIOD_S / 2


def test_endpoint_without_a_limit_gets_requests_at_once(rng):
    """A service may have no limit for its cold endpoints."""
    period = make_period(host_limit(PERIOD_S, 0.0, HOSTS), rng)
    assert period.is_cold(1.0)
    assert count_sent(period, 1.0) == 100


def test_statement_ends_a_presumed_period(rng):
    """The word of the endpoint goes before what a host presumes."""
    period = make_period(host_limit(PERIOD_S, PER_S, HOSTS), rng, left_s=0.0)
    period.presume(rng, 1.0)
    assert period.is_cold(3.9)
    period.on_stated(0.0, rng, 2.0)
    assert not period.is_cold(2.0)
    assert period.may_send(2.0)


def test_period_ends_by_itself(rng):
    """No statement is needed for that."""
    period = make_period(host_limit(PERIOD_S, PER_S, HOSTS), rng)
    assert not period.is_cold(PERIOD_S)
    assert period.may_send(PERIOD_S)


def test_placed_request_is_sent_unless_the_host_presumes(rng):
    """The runner counts requests to endpoints that state to be cold only."""
    period = make_period(host_limit(PERIOD_S, 1.0, HOSTS), rng)
    assert not period.may_send(0.0)
    assert period.may_send_assigned(0.0)
    period.presume(rng, 0.5)
    assert not period.may_send_assigned(0.5)


class Host:
    """A host that chooses endpoints without a runner, by its own counts."""

    def __init__(self, rng, entries, limit):
        """Learns the endpoints at 0 s."""
        self.placement = Placement(
            rng=rng,
            centres=DataCentreContacts(own='east'),
        )
        self.placement.apply_limit(limit)
        self.placement.set_entries(entries, 0.0)
        self.running = []

    def send(self, now):
        """Sends one request; returns its endpoint, or None if none has room."""
        while self.running and self.running[0][0] <= now:
            self.running.pop(0)[1].online -= 1
        use = self.placement.choose(set(), now)
        if use is not None:
            use.begin(now)
            self.running.append((now + RUN_S, use))
        return use


def test_burst_at_the_return_of_a_data_centre_spares_its_endpoints(rng):
    """Sixty hosts with a burst find three empty cold endpoints among nine.

    Guards against the whole burst at the empty ones: each host alone counts
    nothing in flight there.
    """
    limit = host_limit(PERIOD_S, PER_S, HOSTS)
    entries = [
        make_entry(
            f'e{number}',
            slots=SLOTS,
            cold_left_s=PERIOD_S if number < 3 else 0.0,
        )
        for number in range(9)
    ]
    hosts = [Host(rng, entries, limit) for _ in range(HOSTS)]
    for host in hosts:
        for use in host.placement.uses()[3:]:
            use.on_view(online=SLOTS - 2, batch=0, now=0.0)
    sent = Counter()
    for tick in range(300):
        now = tick * TICK_S
        for host in rng.sample(hosts, 5):
            use = host.send(now)
            if use is not None:
                sent[use.entry.endpoint_id, int(now)] += 1
    assert max(sent[f'e{number}', 0] for number in range(3)) <= PER_S
    assert max(sent[f'e{number}', 1] for number in range(3)) <= PER_S


def test_evacuated_data_centre_gets_nothing_and_returns_cold(rng):
    """Its endpoints are not tried even if nothing else is left."""
    placement = Placement(rng=rng, centres=DataCentreContacts(own='east'))
    placement.apply_limit(runner_limit(PERIOD_S, PER_S))
    placement.set_entries(
        [make_entry('e1'), make_entry('w1', data_centre='west')], 0.0
    )
    placement.apply_evacuations(frozenset(('west',)), 1.0)
    assert placement.choose({'e1'}, 1.0) is None
    assert placement.find_available('w1', 1.0) is None
    assert not placement.available({'e1'}, 1.0)
    placement.apply_evacuations(frozenset(), 5.0)
    assert placement.find('w1').cold.is_cold(5.1)
    assert not placement.find('e1').cold.is_cold(5.1)
    assert placement.choose({'e1'}, 5.1).entry.endpoint_id == 'w1'


def test_new_endpoint_of_an_evacuated_data_centre_gets_nothing(rng):
    """It may register while the evacuation lasts."""
    placement = Placement(rng=rng, centres=DataCentreContacts(own='east'))
    placement.apply_evacuations(frozenset(('west',)), 0.0)
    placement.set_entries([make_entry('w1', data_centre='west')], 1.0)
    assert placement.choose(set(), 1.0) is None


def test_endpoint_is_presumed_cold_after_it_was_unreachable(rng):
    """It may have restarted under its id."""
    placement = Placement(rng=rng, centres=DataCentreContacts(own='east'))
    placement.apply_limit(host_limit(PERIOD_S, 1.0, HOSTS))
    placement.set_entries([make_entry('e1')], 0.0)
    use = placement.find('e1')
    use.unreachable = True
    placement.on_reached(use, 1.0)
    assert not use.unreachable
    assert use.cold.is_cold(1.0 + PERIOD_S / 2)
    assert placement.choose(set(), 1.0) is None
