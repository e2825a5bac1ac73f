"""Requests that crash each engine or plain service that runs them."""

import contextlib
import subprocess
import sys
import time
from http.client import HTTPException

import pytest

from tests.site import MODEL, Site, eventually, make_lines

HOSTS = ('east-h1', 'east-h2')
ENGINES = ('engine-1', 'engine-2', 'engine-3', 'engine-4')
REPEATS = 12
# After the third crash a request may reach endpoints in three retries.
ALLOWED_CRASHES = 6
REFUSED_CODE = '1309'
DEADLY = 'deadly after 1'
PAUSE_S = 0.1
MEND_TRIES = 50
# Other hosts have heard of a crash, and the record is written.
SPREAD_S = 3.0


@pytest.fixture
def site(tmp_path):
    """Two hosts and four engines in one data centre."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 2},
        engines=dict.fromkeys(ENGINES, 'east'),
        accounts={'gin': (500, 500)},
    )
    yield made
    made.fleet.stop()


@pytest.fixture
def key(site):
    """A key of the account gin."""
    return site.grant('gin')[1]


def restart_ended(site):
    """Starts the endpoints that ended again.

    :returns: how many ended.
    """
    ended = [name for name in (*ENGINES, 'plain') if not site.fleet.alive(name)]
    for name in ended:
        if name == 'plain':
            site.fleet.start_plain()
        else:
            site.fleet.start_engine(name, may_end=True)
    return len(ended)


def mend(site, engine):
    """Mends an engine, which is started again if it ends meanwhile."""
    for _ in range(MEND_TRIES):
        restart_ended(site)
        with contextlib.suppress(OSError, HTTPException):
            site.fleet.switch(site.fleet.engine_port(engine), mended=True)
            return
    pytest.fail(f'{engine} ends whenever it is to be mended')


def repeat(site, send):
    """Sends the same request again and again, at the hosts in turn.

    :param send: sends it to a host.
    :returns: how many endpoints ended.
    """
    crashes = 0
    for number in range(REPEATS):
        send(HOSTS[number % len(HOSTS)])
        time.sleep(PAUSE_S)
        crashes += restart_ended(site)
    return crashes


def check_refused(answer):
    """Checks that a request was refused without having run."""
    assert (answer.status, answer.error['code']) == (503, REFUSED_CODE)
    assert answer.error['run_state'] == 'not_run'


def check_sound(site, key):
    """Checks that requests that resemble the deadly one are served."""
    for host in HOSTS:
        for number in range(4):
            prompt = f'deadly, after all: {number}'
            for stream in (True, False):
                served = site.chat(host, key, prompt, stream=stream)
                assert served.status == 200, served.body


@pytest.mark.parametrize('events', [0, 1, 6])
@pytest.mark.parametrize('stream', [True, False], ids=['stream', 'whole'])
def test_deadly_call_ends_engine_after_engine(site, key, events, stream):
    """Its repeats stop reaching engines; requests that resemble it do not."""
    prompt = f'deadly after {events}'
    crashes = repeat(
        site, lambda host: site.chat(host, key, prompt, stream=stream)
    )
    assert 0 < crashes <= ALLOWED_CRASHES
    for host in HOSTS:
        check_refused(site.chat(host, key, prompt, stream=stream))
    check_sound(site, key)


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('GET', '/services/glossary/word?q=deadly+after+0', None),
        ('POST', '/services/glossary/word', b'deadly after 0'),
        ('POST', '/services/brief/send', b'deadly after 0'),
    ],
    ids=['get', 'post', 'once'],
)
def test_deadly_call_ends_plain_service_again_and_again(
    site, key, method, path, body
):
    """Its repeats stop reaching the service; other calls do not."""
    crashes = repeat(
        site, lambda host: site.call(host, method, path, body, key)
    )
    assert 0 < crashes <= ALLOWED_CRASHES
    for host in HOSTS:
        check_refused(site.call(host, method, path, body, key))
        sound = path.replace('deadly', 'quiet')
        assert site.call(host, method, sound, b'', key).status == 200


def operate(site, *arguments):
    """Runs the operator command and returns what it prints."""
    address = f'127.0.0.1:{site.fleet.platform_port}'
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'jacinthmount_ctl',
            '--platform',
            address,
            *arguments,
        ],
        check=True,
        capture_output=True,
        text=True,
    ).stdout


def test_deadly_call_is_refused_after_a_restart_of_all_hosts(site, key):
    """The record outlives the hosts, until an operator clears it."""
    repeat(site, lambda host: site.chat(host, key, DEADLY))
    time.sleep(SPREAD_S)
    for host in HOSTS:
        site.fleet.kill(host)
    for host in HOSTS:
        site.fleet.start_host(host)
    for host in HOSTS:
        site.fleet.wait_ready(host)
    for host in HOSTS:
        eventually(lambda: site.chat(host, key, 'hello').status == 200)
        check_refused(site.chat(host, key, DEADLY))
    assert not restart_ended(site)
    listed = operate(site, '--output', 'json', 'blocked')
    digest = listed.split('"request": "')[1].split('"')[0]
    operate(site, 'blocked', '--clear', digest)
    for engine in ENGINES:
        site.fleet.switch(site.fleet.engine_port(engine), mended=True)
    for host in HOSTS:
        eventually(lambda: site.chat(host, key, DEADLY).status == 200)


def test_deadly_call_without_the_store(site, key):
    """Hosts tell each other what crashes engines."""
    site.fleet.switch(site.fleet.platform_port, outage=True)
    crashes = repeat(site, lambda host: site.chat(host, key, DEADLY))
    assert 0 < crashes <= ALLOWED_CRASHES
    for host in HOSTS:
        check_refused(site.chat(host, key, DEADLY))
    check_sound(site, key)


def test_item_equal_to_a_deadly_call_is_still_owed(site, key):
    """It is answered once engines bear it, whatever happened before."""
    fields = {'messages': [{'role': 'user', 'content': DEADLY}]}
    repeat(site, lambda host: site.chat(host, key, DEADLY))
    batch = site.caller('east-h1', key).submit(
        make_lines(1, **fields), '1h', ''
    )
    crashes = 0
    for _ in range(REPEATS * 5):
        time.sleep(PAUSE_S)
        crashes += restart_ended(site)
    assert crashes > 2
    for engine in ENGINES:
        mend(site, engine)
    ended = site.wait_batch('east-h1', key, batch['id'])
    assert ended['request_counts']['completed'] == 1
    assert site.results('east-h2', key, batch['id'])[0]['error'] is None


def test_requests_beside_killed_engines_are_not_refused(site, key):
    """Equal sound requests are served, however many engines are killed."""
    for number in range(REPEATS):
        engine = ENGINES[number % len(ENGINES)]
        site.fleet.kill(engine)
        for host in HOSTS:
            answer = site.call(
                host,
                'POST',
                '/v1/chat/completions',
                {
                    'model': MODEL,
                    'max_tokens': 8,
                    'messages': [{'role': 'user', 'content': 'health'}],
                },
                key,
            )
            assert answer.status == 200, answer.body
        site.fleet.start_engine(engine)
