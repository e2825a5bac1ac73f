"""A data centre that is isolated keeps serving within its limits."""

import json
import signal
import time

import pytest
from jacinthmount_standin.network import PLATFORM

from tests.site import Load, Site, check_windows, eventually, make_lines

RATE_PER_S = 20.0
BURST = 40.0
HOSTS = ('east-h1', 'east-h2', 'west-h1', 'west-h2')
EAST = HOSTS[:2]
WEST = HOSTS[2:]
CUT_OFF = (('east', 'west'), ('west', PLATFORM))
IN_FORCE_S = 14
KEY_REFUSED_S = 3
ITEMS = 400


@pytest.fixture
def site(tmp_path):
    """Two data centres with two hosts and an engine each."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 2, 'west': 2},
        engines={'engine-1': 'east', 'engine-2': 'west'},
        accounts={'gin': (RATE_PER_S, BURST), 'lots': (5000, 5000)},
        slots=4,
        token_s=0.01,
        relayed=True,
    )
    made.fleet.network.cut(delay_s=0.001)
    yield made
    made.fleet.stop()


@pytest.fixture
def key(site):
    """A key of the limited account."""
    return site.grant('gin')[1]


@pytest.fixture
def lots_key(site):
    """A key of the account with batches."""
    return site.grant('lots')[1]


def glossary(site, host, key):
    """Calls an idempotent service."""
    return site.call(host, 'POST', '/services/glossary/x', b'term', key)


def in_force(site, hosts, version):
    """Checks whether all hosts have applied a version."""
    return all(site.fleet.status(host)['revision'] >= version for host in hosts)


def test_both_sides_stay_within_the_limits(site, key):
    """Rate and burst hold over both sides before, during and after a cut."""
    load = Load(
        call=lambda number: glossary(site, HOSTS[number % 4], key),
        threads=8,
    )
    time.sleep(2)
    site.fleet.network.cut(*CUT_OFF)
    started = time.monotonic()
    time.sleep(16)
    healed = time.monotonic()
    site.fleet.network.cut()
    time.sleep(4)
    answers = load.stop()
    check_windows(answers, RATE_PER_S, BURST)
    late = [
        answer
        for answer in answers
        if started + 6 < answer.asked_at < healed and answer.status == 200
    ]
    assert len(late) >= 0.7 * RATE_PER_S * (healed - started - 6)


def test_cut_off_side_serves_online(site, lots_key):
    """Requests in an isolated data centre succeed."""
    site.fleet.network.cut(*CUT_OFF)
    until = time.monotonic() + 20
    while time.monotonic() < until:
        for host in WEST:
            assert site.chat(host, lots_key, 'bale').status == 200
    site.fleet.network.cut()


def test_change_during_a_cut(site, lots_key):
    """A change is applied on the connected side, then on the other one."""
    site.fleet.network.cut(*CUT_OFF)
    site.declared.accounts['lots'] = (4000, 4000)
    version = site.apply()
    eventually(lambda: in_force(site, EAST, version), IN_FORCE_S)
    seen = [site.fleet.status(WEST[0])['revision']]
    assert seen[0] < version
    site.fleet.signal(EAST[0], signal.SIGKILL)
    site.fleet.network.cut()

    def west_has_it():
        seen.append(site.fleet.status(WEST[0])['revision'])
        return in_force(site, WEST, version)

    eventually(west_has_it, IN_FORCE_S)
    assert seen == sorted(seen)
    assert site.chat(WEST[0], lots_key, 'bale').status == 200


def test_key_withdrawn_during_a_cut(site, lots_key):
    """A key is refused at once on one side, after the cut on the other."""
    key_id, key = site.grant('gin')
    site.fleet.network.cut(*CUT_OFF)
    site.withdraw(key_id, EAST[0])

    def is_refused(hosts):
        return all(
            site.get(host, '/v1/models', key).status == 401 for host in hosts
        )

    eventually(lambda: is_refused(EAST), KEY_REFUSED_S)
    site.fleet.network.cut()
    eventually(lambda: is_refused(WEST), KEY_REFUSED_S + 2)
    assert site.get(WEST[0], '/v1/models', lots_key).status == 200


def test_withdrawn_key_without_the_platform(site):
    """Hosts send withdrawn keys to other data centres without the platform."""
    key_id, key = site.grant('gin')
    site.fleet.network.cut(('east', PLATFORM), ('west', PLATFORM))
    site.fleet.switch(site.fleet.platform_port, outage=True)
    site.withdraw(key_id, WEST[1])
    eventually(
        lambda: all(
            site.get(host, '/v1/models', key).status == 401 for host in HOSTS
        ),
        KEY_REFUSED_S,
    )


def batch_hosts(site):
    """Lists the hosts that run batch items."""
    return [host for host in HOSTS if site.fleet.status(host)['batch_running']]


def test_batch_over_a_cut(site, lots_key):
    """Chunks of the isolated side are taken over; results are unique."""
    lines = make_lines(ITEMS)
    batch = site.caller(EAST[0], lots_key).submit(lines, '1h', '')
    eventually(lambda: set(batch_hosts(site)) & set(WEST))
    site.fleet.network.cut(*CUT_OFF)
    site.wait_batch(EAST[0], lots_key, batch['id'], 90)
    before = site.results(EAST[0], lots_key, batch['id'])
    assert len({row['custom_id'] for row in before}) == ITEMS
    assert len(before) == ITEMS
    site.fleet.network.cut()
    eventually(lambda: not batch_hosts(site), 60)
    time.sleep(3)
    assert site.results(WEST[0], lots_key, batch['id']) == before


def make_briefs(count):
    """Builds a batch of calls to a service that is not idempotent."""
    return b''.join(
        json.dumps({
            'custom_id': f'brief-{number}',
            'method': 'POST',
            'url': '/services/brief/make',
            'body': {'brief': number},
        }).encode()
        + b'\n'
        for number in range(count)
    )


def test_briefs_over_a_cut(site, lots_key):
    """Calls that are not idempotent run at most once and all have a result."""
    site.fleet.switch(site.fleet.plain_port, late_s=0.3)
    batch = site.caller(EAST[0], lots_key).submit(
        make_briefs(ITEMS),
        '1h',
        '',
    )
    eventually(lambda: set(batch_hosts(site)) & set(WEST))
    site.fleet.network.cut(*CUT_OFF)
    site.wait_batch(EAST[0], lots_key, batch['id'], 90)
    site.fleet.network.cut()
    rows = site.results(EAST[0], lots_key, batch['id'])
    assert len({row['custom_id'] for row in rows}) == ITEMS
    assert len(rows) == ITEMS
    eventually(lambda: not batch_hosts(site), 60)
    counts = site.stats(site.fleet.plain_port)['counts']
    assert max(counts.values()) == 1
