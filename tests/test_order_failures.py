"""Engines reach their declared weights despite failures."""

import json
import signal

import pytest
from jacinthmount_standin.callers import call_http
from jacinthmount_standin.declare import WEIGHTS

from tests.site import Load, Site, eventually

LOAD_S = 1.5
ENGINES = ('engine-1', 'engine-2')
WEIGHT_BYTES = 2_000_000
IN_FORCE_S = 60
# At 5 ms per token, an answer lasts for about two checks by the engine's owner.
LONG_TOKENS = 400


@pytest.fixture
def site(tmp_path):
    """Two hosts and two engines that run version 1."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 2},
        engines=dict.fromkeys(ENGINES, 'east'),
        accounts={'gin': (5000, 5000)},
    )
    made.fleet.switch(
        made.fleet.platform_port,
        weights={f'{WEIGHTS}/{number}': WEIGHT_BYTES for number in '123'},
    )
    for engine in ENGINES:
        made.fleet.switch(made.fleet.engine_port(engine), load_s=LOAD_S)
    declare(made, '1')
    eventually(lambda: runs(made, '1'), IN_FORCE_S)
    yield made
    made.fleet.stop()


@pytest.fixture
def key(site):
    """A key of the account."""
    return site.grant('gin')[1]


def declare(site, version, *, fenced=True):
    """Applies a version of the weights."""
    site.declared.version = version
    site.declared.fenced = fenced
    site.apply()


def engine_stats(site):
    """Reads the statistics of each engine."""
    return [site.stats(site.fleet.engine_port(one)) for one in ENGINES]


def runs(site, version):
    """Checks whether every engine has loaded a version."""
    ports = [site.fleet.engine_port(engine) for engine in ENGINES]
    states = [json.loads(read_state(port)) for port in ports]
    return all(
        state['version'] == version and not state['loading'] for state in states
    )


def read_state(port):
    """Reads the state of an engine."""
    return call_http(port, 'GET', '/state')[1]


def start_load(site, key):
    """Sends short and long requests through both hosts."""
    hosts = site.hosts

    def call(number):
        tokens = LONG_TOKENS if number < 4 else 8
        host = hosts[number % 2]
        return site.chat(host, key, f'bale {number}', max_tokens=tokens)

    return Load(call=call, threads=8)


def overlap(loads):
    """Checks whether two engines loaded weights at the same time."""
    spans = sorted((one['from'], one['until']) for one in loads)
    return any(
        later[0] < earlier[1]
        for earlier, later in zip(spans, spans[1:], strict=False)
    )


def test_new_version_under_load(site, key):
    """Engines load one at a time while idle, and no request fails."""
    load = start_load(site, key)
    declare(site, '2')
    eventually(lambda: runs(site, '2'), IN_FORCE_S)
    answers = load.stop()
    assert answers
    # The bodies show why requests failed.
    failed = [one.body for one in answers if one.status != 200]
    assert not failed
    stats = engine_stats(site)
    assert [one['interrupted'] for one in stats] == [0, 0]
    assert [one['refused'] for one in stats] == [0, 0]
    assert not overlap([
        row for one in stats for row in one['loads'] if row['version'] == '2'
    ])


def check_never_back(site):
    """Checks that no engine loaded an older version after a newer one."""
    for one in engine_stats(site):
        versions = [row['version'] for row in one['loads']]
        assert versions == sorted(versions)
        numbers = [row['fencing'] for row in one['loads']]
        assert numbers == sorted(set(numbers))


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_host_is_lost_between_orders(site, number):
    """The other host takes over; a resumed host sends no outdated order."""
    declare(site, '2')
    eventually(
        lambda: any(one['version'] == '2' for one in engine_stats(site)),
        IN_FORCE_S,
    )
    lost = site.hosts[0]
    site.fleet.signal(lost, number)
    declare(site, '3')
    eventually(lambda: runs(site, '3'), 2 * IN_FORCE_S)
    if number is signal.SIGSTOP:
        site.fleet.signal(lost, signal.SIGCONT)
        eventually(lambda: site.fleet.status(lost)['shares_confirmed'])
    assert runs(site, '3')
    check_never_back(site)


def test_outage_delays_orders_only(site, key):
    """During an outage requests succeed; orders are sent afterwards."""
    declare(site, '2')
    site.fleet.switch(site.fleet.platform_port, outage=True)
    assert site.chat(site.hosts[0], key, 'bale').status == 200
    site.fleet.switch(site.fleet.platform_port, outage=False)
    eventually(lambda: runs(site, '2'), IN_FORCE_S)
    check_never_back(site)


def test_unknown_weights_take_no_engine_down(site, key):
    """A version that the store lacks is not ordered; engines keep serving."""
    declare(site, '9')
    eventually(lambda: waits_for_weights(site))
    assert site.chat(site.hosts[0], key, 'bale').status == 200
    assert runs(site, '1')


def waits_for_weights(site):
    """Checks whether a host has logged that an order waits."""
    return any(
        'order_waits' in (site.folder / f'{host}.log').read_text()
        for host in site.hosts
    )


def test_declaration_taken_back_while_an_engine_loads(site, key):
    """Without declared weights the engines serve those they have."""
    declare(site, '2')
    eventually(
        lambda: any(one['version'] == '2' for one in engine_stats(site)),
        IN_FORCE_S,
    )
    declare(site, '')
    eventually(lambda: not closed_engines(site))
    eventually(
        lambda: site.chat(site.hosts[0], key, 'bale').status == 200,
    )
    versions = {one['version'] for one in engine_stats(site)}
    assert versions == {'1', '2'}


def closed_engines(site):
    """Lists the engines that are closed on some host."""
    return [
        row['name']
        for host in site.hosts
        for row in site.fleet.status(host)['endpoints']
        if row['closed']
    ]
