"""Accepted items have exactly one durable result under failures."""

import contextlib
import json
import signal
import time

import pytest
from jacinthmount_standin.engine import POISON, answer_text

from tests.site import Site, eventually, make_lines

HOSTS = ('east-h1', 'east-h2')
ENGINES = {'engine-1': 'east', 'engine-2': 'east'}
CANCEL_BOUND_S = 3.0
POISON_S = 60.0
# Engines that an item may end in that time: its pauses grow to 8 s.
MAX_KILLED = 12
MIN_KILLED = 3


@pytest.fixture
def site(tmp_path):
    """Two hosts and two engines in one data centre."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 2},
        engines=ENGINES,
        accounts={'gin': (500, 500)},
        slots=4,
        token_s=0.01,
    )
    yield made
    made.fleet.stop()


@pytest.fixture
def key(site):
    """A key of the account gin."""
    return site.grant('gin')[1]


def check_results(site, host, key, batch_id, count):
    """Checks that each item has one result, the engine's whole answer."""
    rows = site.results(host, key, batch_id)
    assert sorted(row['custom_id'] for row in rows) == sorted(
        f'item-{number}' for number in range(count)
    )
    for row in rows:
        number = row['custom_id'].split('-')[1]
        prompt = json.dumps([{'role': 'user', 'content': f'bale {number}'}])
        choice = row['response']['body']['choices'][0]
        assert choice['message']['content'] == answer_text(prompt, 8)
    return rows


def working_host(site):
    """Waits for a host that runs batch items."""
    found = []

    def some_host_works():
        found.extend(
            host for host in HOSTS if site.fleet.status(host)['batch_running']
        )
        return bool(found)

    eventually(some_host_works)
    return found[0]


def test_host_killed_with_items_in_flight(site, key):
    """Another host takes over the chunks and finishes them."""
    batch = site.caller('east-h1', key).submit(make_lines(600), '1h', '')
    victim = working_host(site)
    other = HOSTS[1 - HOSTS.index(victim)]
    site.fleet.kill(victim)
    ended = site.wait_batch(other, key, batch['id'], 90)
    assert ended['request_counts']['completed'] == 600
    check_results(site, other, key, batch['id'], 600)


def test_frozen_host_wakes_after_takeover(site, key):
    """Its late results don't change those that were readable."""
    batch = site.caller('east-h1', key).submit(make_lines(600), '1h', '')
    victim = working_host(site)
    other = HOSTS[1 - HOSTS.index(victim)]
    site.fleet.signal(victim, signal.SIGSTOP)
    site.wait_batch(other, key, batch['id'], 90)
    before = check_results(site, other, key, batch['id'], 600)
    site.fleet.signal(victim, signal.SIGCONT)
    eventually(lambda: site.get(victim, '/readyz', '').status == 200)
    time.sleep(3)
    assert check_results(site, victim, key, batch['id'], 600) == before


def test_host_lost_right_after_acknowledgement(site, key):
    """An acknowledged batch completes without the host that took it."""
    batch = site.caller('east-h2', key).submit(make_lines(20), '1h', 'lot-1')
    site.fleet.kill('east-h2')
    ended = site.wait_batch('east-h1', key, batch['id'], 60)
    assert ended['request_counts']['completed'] == 20
    resent = site.call(
        'east-h1',
        'POST',
        '/v1/batches',
        {
            'input_file_id': batch['input_file_id'],
            'endpoint': '/v1/chat/completions',
            'completion_window': '1h',
        },
        key,
        idempotency_key='lot-1',
    )
    assert json.loads(resent.body)['id'] == batch['id']


def test_lost_answers_of_the_platform(site, key):
    """Writes that took effect are neither lost nor duplicated."""
    site.fleet.switch(site.fleet.platform_port, lose_answers=12)
    with contextlib.suppress(Exception):
        site.caller('east-h1', key).submit(make_lines(40), '1h', 'lot-2')
    batch = None
    for _ in range(5):
        with contextlib.suppress(Exception):
            batch = site.caller('east-h1', key).submit(
                make_lines(40),
                '1h',
                'lot-2b',
            )
            break
    site.fleet.switch(site.fleet.platform_port, lose_answers=5)
    assert batch is not None
    site.wait_batch('east-h1', key, batch['id'], 60)
    check_results(site, 'east-h2', key, batch['id'], 40)


def test_platform_outage_during_a_batch(site, key):
    """Claimed items run on, and their results are written afterwards."""
    batch = site.caller('east-h1', key).submit(make_lines(300), '1h', '')
    working_host(site)
    site.fleet.switch(site.fleet.platform_port, outage=True)
    refused = site.call(
        'east-h1',
        'POST',
        '/v1/batches',
        {
            'input_file_id': batch['input_file_id'],
            'completion_window': '1h',
        },
        key,
    )
    assert refused.status == 503
    assert refused.error['code'] == '1601'
    assert site.chat('east-h1', key, 'hello').status == 200
    time.sleep(5)
    site.fleet.switch(site.fleet.platform_port, outage=False)
    site.wait_batch('east-h2', key, batch['id'], 60)
    check_results(site, 'east-h2', key, batch['id'], 300)


def test_kill_during_an_outage(site, key):
    """Two failures at once delay the batch but lose no item."""
    batch = site.caller('east-h1', key).submit(make_lines(300), '1h', '')
    victim = working_host(site)
    other = HOSTS[1 - HOSTS.index(victim)]
    site.fleet.switch(site.fleet.platform_port, outage=True)
    time.sleep(1)
    site.fleet.kill(victim)
    time.sleep(2)
    site.fleet.switch(site.fleet.platform_port, outage=False)
    site.wait_batch(other, key, batch['id'], 90)
    check_results(site, other, key, batch['id'], 300)


def test_poison_items_are_owed_and_innocent_ones_complete(site, key):
    """Items that kill engines wait for mended ones; all others complete."""
    poison = make_lines(1, prompt=POISON).replace(b'item-0', b'poison')
    batch = site.caller('east-h1', key).submit(
        make_lines(30) + poison,
        '1h',
        '',
    )
    killed = 0
    until = time.monotonic() + POISON_S
    while time.monotonic() < until:
        for engine in ENGINES:
            if not site.fleet.alive(engine):
                killed += 1
                site.fleet.start_engine(engine)
        rows = site.results('east-h1', key, batch['id'])
        if len(rows) >= 30 and killed > MIN_KILLED:
            break
        time.sleep(0.2)
    assert MIN_KILLED < killed <= MAX_KILLED
    # The poison has no result yet, neither an answer nor an error.
    check_results(site, 'east-h2', key, batch['id'], 30)
    described = site.get('east-h2', f'/v1/batches/{batch["id"]}', key)
    assert json.loads(described.body)['status'] == 'in_progress'
    for engine in ENGINES:
        if not site.fleet.alive(engine):
            site.fleet.start_engine(engine)
        site.fleet.switch(site.fleet.engine_port(engine), mended=True)
    ended = site.wait_batch('east-h1', key, batch['id'], 60)
    assert ended['request_counts'] == {
        'total': 31,
        'completed': 31,
        'failed': 0,
    }


@pytest.mark.parametrize('slow_s', [0, 1])
def test_cancelled_batch_stops(site, key, slow_s):
    """No item starts later than the bound, and running ones are stopped.

    Guards against stopped items that start again while the platform is slow.
    """
    batch = site.caller('east-h1', key).submit(
        make_lines(2000, max_tokens=200),
        '1h',
        '',
    )
    working_host(site)
    site.fleet.switch(site.fleet.platform_port, slow_s=slow_s)
    site.caller('east-h2', key).cancel(batch['id'])
    time.sleep(CANCEL_BOUND_S)
    started = site.engine_runs(*ENGINES)
    for engine in ENGINES:
        assert not site.stats(site.fleet.engine_port(engine))['running']
    time.sleep(2)
    assert site.engine_runs(*ENGINES) == started
    ended = site.wait_batch('east-h1', key, batch['id'])
    assert ended['status'] == 'cancelled'


def test_items_that_may_not_be_repeated_run_once(site, key):
    """After a takeover, a started item without a result is not run again."""
    site.fleet.switch(site.fleet.plain_port, late_s=0.2)
    lines = b''.join(
        json.dumps({
            'custom_id': f'brief-{number}',
            'method': 'POST',
            'url': '/services/brief/send',
            'body': {'number': number},
        }).encode()
        + b'\n'
        for number in range(200)
    )
    batch = site.caller('east-h1', key).submit(lines, '1h', '')
    victim = working_host(site)
    other = HOSTS[1 - HOSTS.index(victim)]
    time.sleep(1)
    site.fleet.kill(victim)
    ended = site.wait_batch(other, key, batch['id'], 90)
    counts = ended['request_counts']
    assert counts['completed'] + counts['failed'] == 200
    runs = site.stats(site.fleet.plain_port)['counts']
    assert max(runs.values()) == 1
    unknown = [
        row
        for row in site.results(other, key, batch['id'])
        if row['error'] and row['error']['code'] == '1402'
    ]
    assert len(unknown) == counts['failed']


def test_platform_that_refuses_calls(site, key):
    """Calls over the platform's rate are retried; nothing is duplicated."""
    site.fleet.switch(site.fleet.platform_port, writes_per_s=6)
    batch = None
    for _ in range(20):
        with contextlib.suppress(Exception):
            batch = site.caller('east-h1', key).submit(
                make_lines(60),
                '1h',
                'lot-3',
            )
            break
        time.sleep(0.5)
    assert batch is not None
    site.wait_batch('east-h1', key, batch['id'], 90)
    check_results(site, 'east-h2', key, batch['id'], 60)


@pytest.fixture
def slow_site(tmp_path):
    """One host and an engine that takes a second for a token."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 1},
        engines={'engine-1': 'east'},
        accounts={'gin': (500, 500)},
        token_s=1.0,
    )
    yield made
    made.fleet.stop()


def test_long_whole_answers_run_once(slow_site):
    """An answer that is not streamed may take long without any event."""
    key = slow_site.grant('gin')[1]
    lines = make_lines(2, max_tokens=12, tools=[])
    batch = slow_site.caller('east-h1', key).submit(lines, '1h', '')
    ended = slow_site.wait_batch('east-h1', key, batch['id'], 60)
    assert ended['request_counts']['completed'] == 2
    assert set(slow_site.engine_runs('engine-1').values()) == {1}
