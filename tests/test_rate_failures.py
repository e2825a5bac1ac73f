"""Accounts stay within rate and burst despite failures."""

import signal
import time

import pytest

from tests.site import Load, Site, check_windows, eventually

RATE_PER_S = 20.0
BURST = 40.0
HOSTS = ('east-h1', 'east-h2', 'west-h1')


@pytest.fixture
def site(tmp_path):
    """Three hosts in two data centres."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 2, 'west': 1},
        engines={},
        accounts={'gin': (RATE_PER_S, BURST)},
    )
    yield made
    made.fleet.stop()


@pytest.fixture
def key(site):
    """A key of the account."""
    return site.grant('gin')[1]


def start_load(site, key):
    """Sends requests above the rate through all hosts."""

    def call(number):
        answer = site.call(
            HOSTS[number % 3],
            'POST',
            '/services/glossary/x',
            b'term',
            key,
        )
        if answer.status == 0:
            time.sleep(0.05)
        return answer

    return Load(call=call, threads=6)


def admitted_since(load, started):
    """Returns the number of requests admitted since a time."""
    return sum(
        answer.status == 200 and answer.asked_at > started
        for answer in list(load.answers)
    )


def test_load_over_the_rate_through_all_hosts(site, key):
    """Admission stays within the limits and uses most of them."""
    load = start_load(site, key)
    time.sleep(6)
    answers = load.stop()
    admitted = check_windows(answers, RATE_PER_S, BURST)
    assert len(admitted) >= 0.8 * RATE_PER_S * 6
    refused = {answer.status for answer in answers} - {200}
    assert refused <= {429, 503}


def admit_at_west(site, key, seconds):
    """Loads one host and returns the number of requests it admitted."""
    load = Load(
        call=lambda _: site.call(
            'west-h1',
            'POST',
            '/services/glossary/x',
            b'term',
            key,
        ),
        threads=2,
    )
    time.sleep(seconds)
    return len(check_windows(load.stop(), RATE_PER_S, BURST))


def test_demand_at_one_host_gets_the_whole_rate(site, key):
    """One host can use the rate that other hosts do not use."""
    assert admit_at_west(site, key, 8) >= 0.75 * RATE_PER_S * 8


def test_demand_gets_loans_from_another_region(site, key):
    """Data centres of other regions lend tokens in advance."""
    site.declared.regions.update({'east': 'here', 'west': 'there'})
    site.apply()
    time.sleep(2)
    half = RATE_PER_S / 2 * 8 + BURST / 2
    assert admit_at_west(site, key, 8) > 1.1 * half


def test_kill_and_restart_loop_makes_no_tokens(site, key):
    """Restarts of a host do not add tokens, and others take its share over."""
    load = start_load(site, key)
    for _ in range(3):
        time.sleep(1)
        site.fleet.kill('east-h1')
        site.fleet.start_host('east-h1')
        site.fleet.wait_ready('east-h1')
    started = time.monotonic()
    eventually(lambda: admitted_since(load, started) > 40, 40)
    check_windows(load.stop(), RATE_PER_S, BURST)


def test_frozen_host_wakes_with_an_old_share(site, key):
    """A resumed host admits nothing from a share that others took over."""
    load = start_load(site, key)
    time.sleep(2)
    site.fleet.signal('east-h2', signal.SIGSTOP)
    eventually(
        lambda: 'east-h2' not in site.fleet.status('east-h1')['share_slots'],
        40,
    )
    time.sleep(1)
    site.fleet.signal('east-h2', signal.SIGCONT)
    time.sleep(4)
    check_windows(load.stop(), RATE_PER_S, BURST)


def test_outage_with_a_lost_host(site, key):
    """During an outage a lost host keeps its slot; no share is used twice."""
    load = start_load(site, key)
    time.sleep(1)
    site.fleet.switch(site.fleet.platform_port, outage=True)
    site.fleet.kill('east-h1')
    time.sleep(14)
    assert 'east-h1' in site.fleet.status('east-h2')['share_slots']
    started = time.monotonic()
    eventually(lambda: admitted_since(load, started) > 10, 10)
    site.fleet.switch(site.fleet.platform_port, outage=False)
    check_windows(load.stop(), RATE_PER_S, BURST)
