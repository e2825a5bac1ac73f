"""Odd entries of another writer among those of the engines, on processes."""

import itertools
import json
import time
from http import HTTPStatus
from urllib.parse import quote

import pytest
from jacinthmount_platform_standin.site import SERVICE, PlatformSite
from jacinthmount_standin.callers import call_http

REQUESTS = 24
WAIT_S = 10.0
POLL_S = 0.1
# Time in which hosts learn of a change.
NEWS_S = 0.6
NESTED = b'%b%b' % (b'[' * 100_000, b']' * 100_000)
NESTED_MAPS = b'%b1%b' % (b'{"a":' * 2000, b'}' * 2000)


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, one runner and one engine."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=1)
    try:
        found.start(engines=1)
        yield found
    finally:
        found.stop()


@pytest.fixture
def ask(site):
    """A function that sends requests to both fronts in turn."""
    numbers = itertools.count(1)

    def send(count):
        return {
            site.call(
                f'front-{number % 2 + 1}',
                'POST',
                '/scan/1',
                {},
                attempt_id=f'a{number:x}',
                token_usage='10,5',
                deadline_remaining='5000',
            )[0]
            for number in itertools.islice(numbers, count)
        }

    return send


def write_raw(site, name, spec, kind='servers'):
    """Stores an entry whose spec may be any bytes, as another writer."""
    target = f'/raw/{kind}/{quote(name, safe="")}'
    status, _ = call_http(site.store, 'PUT', target, spec)
    assert status == HTTPStatus.OK


def make_spec(**changes):
    """Builds the spec of an entry that is like that of an engine."""
    fields = {
        'service': SERVICE,
        'address': '127.0.0.1:9',
        'zone': 'east',
        'slots': 4,
        'state': 'ready',
        'cold_left_ms': 0,
        'born': 1,
    }
    return json.dumps({**fields, **changes}).encode()


def list_failures(site):
    """Lists the parts of the hosts that failed, from their logs."""
    return [
        line['component']
        for name in site.controls
        for line in site.read_lines(name)
        if line['message_type'] == 'jacinthmount:failure'
    ]


def assert_next_engine_is_used(site, ask):
    """An engine that is added later serves when the first one is gone."""
    site.start_engine('later')
    site.kill('engine-1')
    call_http(site.store, 'DELETE', '/api/objects/servers/engine-1')
    until = time.monotonic() + WAIT_S
    while ask(2) != {200}:
        assert time.monotonic() < until, 'the next engine is not used'
        time.sleep(POLL_S)
    assert ask(REQUESTS) == {200}


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'cold_left_ms': 10**400}, id='cold time'),
        pytest.param({'slots': 10**400}, id='slots'),
        pytest.param({'born': 10**400}, id='start'),
    ],
)
def test_entry_with_number_too_large_ends_the_following(site, ask, change):
    """Guards against hosts that follow the list no longer."""
    write_raw(site, 'a-odd', make_spec(**change))
    assert_next_engine_is_used(site, ask)
    assert not list_failures(site)


@pytest.mark.parametrize(
    'address',
    [
        pytest.param('127.0.0.1:99999', id='port too large'),
        pytest.param('127.0.0.1:²', id='digit that is not ASCII'),
        pytest.param('127.0.0.1:٣٣٣٣', id='digits of another script'),
        pytest.param('localhost:80', id='name'),
        pytest.param('127.1:80', id='short'),
        pytest.param('a\0b:80', id='zero byte'),
        pytest.param('[::1]:80', id='other family'),
        pytest.param(f'{"1" * 70}.example:80', id='long label'),
    ],
)
def test_entry_with_odd_address_costs_requests(site, ask, address):
    """Guards against 500 for a part of the requests beside a sound engine."""
    for number in range(4):
        write_raw(site, f'odd-{number}', make_spec(address=address))
    time.sleep(NEWS_S)
    assert ask(REQUESTS) == {200}
    assert not list_failures(site)


@pytest.mark.parametrize(
    'spec',
    [
        pytest.param(NESTED, id='deeply nested'),
        pytest.param(NESTED_MAPS, id='nested maps'),
        pytest.param(b'1' * 5000, id='thousands of digits'),
        pytest.param(b'"\xff\xfe"', id='not UTF-8'),
        pytest.param(b'nothing', id='not JSON'),
        pytest.param(b'"a\nb"', id='line feed in a text'),
        pytest.param(b'', id='missing'),
    ],
)
def test_unreadable_entry_costs_the_whole_list(site, ask, spec):
    """Guards against hosts that can read no list with such an entry."""
    write_raw(site, 'a-odd', spec)
    time.sleep(NEWS_S)
    assert_next_engine_is_used(site, ask)
    assert not list_failures(site)


def test_host_that_starts_beside_an_unreadable_entry(site, ask):
    """Guards against a front that never becomes ready."""
    write_raw(site, 'a-odd', NESTED)
    site.kill('front-1')
    site.kill('runner-1')
    site.start_host('front-1')
    site.wait_ready('front-1')
    assert ask(REQUESTS) == {200}


def test_entry_with_lone_surrogates_ends_the_following(site, ask):
    """Guards against a text that no log line and no message can hold."""
    write_raw(site, 'a-odd', make_spec(service='\ud800', zone='\ud800'))
    write_raw(site, 'b-odd', json.dumps('\ud800').encode())
    write_raw(site, 'c-odd', json.dumps('\ud800').encode(), kind='evacuations')
    time.sleep(NEWS_S)
    assert_next_engine_is_used(site, ask)
    assert not list_failures(site)


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'routes': 10**400}, id='routes'),
        pytest.param({'limits': {'max_body_bytes': 10**400}}, id='limits'),
        pytest.param(
            {'services': [{'name': 'a', 'cold_start_s': 10**400}]}, id='cold'
        ),
        pytest.param(
            {'tenants': [{'name': 3, 'api_keys': [5]}]}, id='accounts'
        ),
        pytest.param({'version': None}, id='version'),
    ],
)
def test_odd_configuration_replaces_a_sound_one(site, ask, change):
    """Guards against a configuration that is in force in part."""
    body = json.dumps({**site.config, **change}).encode()
    write_raw(site, 'main', body, kind='config')
    time.sleep(NEWS_S)
    assert ask(REQUESTS) == {200}
    assert not list_failures(site)
    site.write_config(routes=[])
    time.sleep(NEWS_S)
    assert ask(2) == {404}


@pytest.mark.parametrize(
    'name',
    [
        pytest.param('a\r\nb: c', id='line feed'),
        pytest.param('ü¿', id='not ASCII'),
        pytest.param('a b', id='space'),
        pytest.param('x' * 20_000, id='long'),
    ],
)
def test_entry_name_that_fits_no_header_costs_requests(site, ask, name):
    """Guards against ids that can't be sent to the engine they name."""
    address = f'127.0.0.1:{site.engines["engine-1"]}'
    write_raw(site, name, make_spec(address=address))
    time.sleep(NEWS_S)
    assert ask(REQUESTS) == {200}
    assert not list_failures(site)


@pytest.mark.parametrize(
    'address',
    [
        pytest.param('', id='empty'),
        pytest.param('127.0.0.1:99999', id='port too large'),
        pytest.param('127.0.0.1:²', id='digit that is not ASCII'),
    ],
)
def test_host_with_an_odd_address_ends_parts_of_others(site, ask, address):
    """Guards against peers to which no connection can be opened."""
    host = {
        'host': 'a-odd',
        'incarnation': 'i',
        'data_centre': 'east',
        'peer_address': address,
        'runs_batches': True,
    }
    write_raw(site, 'a-odd', json.dumps(host).encode(), kind='hosts')
    time.sleep(3.0)
    assert ask(REQUESTS) == {200}
    assert not list_failures(site)
    assert_next_engine_is_used(site, ask)


def test_record_without_parts_blocks_all_requests(site, ask):
    """Guards against a record of another writer that names no part."""
    record = {'service': SERVICE, 'parts': [], 'crashes': ['e1']}
    write_raw(site, 'a', json.dumps(record).encode(), kind='blocked-parts')
    time.sleep(NEWS_S)
    assert ask(REQUESTS) == {200}
