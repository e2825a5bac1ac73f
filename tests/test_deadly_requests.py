"""Requests that crash each engine that runs them, on real processes."""

import base64
import contextlib
import json
import subprocess
import sys
import time
from http.client import HTTPException

import pytest
from jacinthmount_platform_standin.site import HOST_NAME, KEY, PlatformSite
from jacinthmount_standin.callers import call_http

ENGINES = 6
REPEATS = 12
# After the third crash a request may reach engines in three retries.
ALLOWED_CRASHES = 6
PAUSE_S = 0.1
WAIT_S = 10.0
PARTS = '0a11:100,0b22:50'
DEADLY = b'deadly after 3'
# No run of it brings an event that the next one could resume after.
DEADLY_AT_ONCE = b'deadly after 0'
RECORDS = '/api/objects/blocked-parts'


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, two runners and six engines."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=2)
    try:
        found.start(engines=ENGINES)
        yield found
    finally:
        found.stop()


def ask(site, front, request_id, body, path='/scan/1', parts=''):
    """Sends a request, with shared prompt parts if there are any.

    :returns: its status, 0 if the connection was closed without an answer.
    """
    headers = {}
    if parts:
        headers['prompt_prefix'] = f'{parts},{request_id}:10'
    with contextlib.suppress(OSError, HTTPException):
        return site.call(
            front,
            'POST',
            path,
            body,
            attempt_id=request_id,
            token_usage='10,8',
            deadline_remaining='5000',
            **headers,
        )[0]
    return 0


def repeat_deadly(site, body, path, parts):
    """Sends the same request again and again, at the fronts in turn.

    Engines that end start again at once.

    :returns: how many engines ended.
    """
    crashes = 0
    fronts = list(site.fronts)
    for number in range(REPEATS):
        front = fronts[number % len(fronts)]
        ask(site, front, f'd{number:x}', body, path, parts)
        time.sleep(PAUSE_S)
        crashes += site.restart_ended_engines()
    return crashes


@pytest.mark.parametrize('events', [0, 1, 6])
@pytest.mark.parametrize('path', ['/scan/1', '/check/1'], ids=['once', 'twice'])
@pytest.mark.parametrize('parts', ['', PARTS], ids=['alone', 'parts'])
def test_deadly_request_ends_engine_after_engine(site, events, path, parts):
    """Its repeats stop reaching engines; requests that resemble it do not."""
    body = f'deadly after {events}'.encode()
    crashes = repeat_deadly(site, body, path, parts)
    assert 0 < crashes <= ALLOWED_CRASHES
    for front in site.fronts:
        assert ask(site, front, f'e-{front}', body, path, parts) == 503
        for number in range(4):
            served = ask(
                site, front, f'f{number}-{front}', b'sound', path, parts
            )
            assert served == 200


def eventually(holds):
    """Waits until a condition holds."""
    until = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < until, 'the condition did not come to hold'
        time.sleep(PAUSE_S)


def read_records(site):
    """Lists the names of the records of what is blocked in the store."""
    _, answer = call_http(site.store, 'GET', RECORDS)
    return [one['metadata']['name'] for one in json.loads(answer)['items']]


def submit(site, bodies):
    """Submits a batch with an item for each body."""
    items = [
        {
            'id': f'i{number}',
            'path': '/scan/1',
            'headers': {'Token-Usage': '10,8'},
            'body': base64.b64encode(body).decode(),
            'tokens': 20,
        }
        for number, body in enumerate(bodies)
    ]
    status, _ = site.call(
        'front-1', 'POST', '/audit/x', {'items': items}, attempt_id='b1'
    )
    assert status == 202


def count_results(site):
    """Counts the results of the batch that can be read."""
    status, answer = site.call('front-2', 'GET', '/api/lots/b1?after=0')
    return json.loads(answer)['next'] if status == 200 else 0


def test_deadly_request_is_refused_after_a_restart_of_all_hosts(site):
    """The record in the store outlives them, until an operator clears it."""
    crashes = repeat_deadly(site, DEADLY, '/scan/1', '')
    assert crashes <= ALLOWED_CRASHES
    eventually(lambda: read_records(site))
    for name in site.controls:
        site.kill(name)
    for name in site.controls:
        site.start_host(name)
    for front in site.fronts:
        site.wait_ready(front)
        assert ask(site, front, f'e-{front}', DEADLY) == 503
    assert not site.restart_ended_engines()
    for name in read_records(site):
        call_http(site.store, 'DELETE', f'{RECORDS}/{name}')
    eventually(lambda: ask(site, 'front-1', 'f1', DEADLY) != 503)


def test_deadly_request_is_refused_without_the_store(site):
    """Hosts tell each other what they saw; the record follows later."""
    site.switch(site.store, refuse=True)
    asked = []
    for number in range(ENGINES):
        front = f'front-{number % 2 + 1}'
        asked.append(ask(site, front, f'a{number}', DEADLY))
        time.sleep(PAUSE_S)
    assert asked[-1] == 503
    site.switch(site.store, refuse=False)
    eventually(lambda: read_records(site))
    for front in site.fronts:
        assert ask(site, front, f'e-{front}', DEADLY) == 503


def test_deadly_request_is_refused_at_a_new_host(site):
    """A host that was restarted hears of the crashes from the others."""
    site.kill('front-2')
    for number in range(3):
        ask(site, 'front-1', f'a{number}', DEADLY)
        time.sleep(PAUSE_S)
        site.restart_ended_engines()
    site.start_host('front-2')
    site.wait_ready('front-2')
    eventually(lambda: ask(site, 'front-2', 'f1', DEADLY) == 503)
    assert site.restart_ended_engines() <= 3


def test_operator_lists_and_clears_a_deadly_request(site, tmp_path):
    """The command shows its digest, and afterwards it is sent again."""
    repeat_deadly(site, DEADLY, '/scan/1', '')
    eventually(lambda: read_records(site))
    command = [
        sys.executable,
        '-m',
        'jacinthmount_platform.blocked',
        str(tmp_path / 'front-1.toml'),
    ]
    listed = subprocess.run(command, capture_output=True, check=True)
    word, digest, *_ = listed.stdout.decode().split()
    assert word == 'request'
    cleared = subprocess.run(
        [*command, '--clear', digest], capture_output=True, check=True
    )
    assert not cleared.stdout
    eventually(lambda: ask(site, 'front-1', 'f1', DEADLY) != 503)


def test_item_that_equals_a_deadly_request_is_still_owed(site):
    """The block of the request does not hold for it, nor for its batch."""
    repeat_deadly(site, DEADLY_AT_ONCE, '/scan/1', '')
    submit(site, [b'sound', DEADLY_AT_ONCE, b'sound too'])
    eventually(lambda: count_results(site) == 2)
    eventually(lambda: site.restart_ended_engines() > 0)
    status, body = site.call('front-1', 'GET', '/api/items/b1?id=i1')
    assert (status, body) == (200, DEADLY_AT_ONCE)


def test_item_ends_engines_at_a_growing_distance(site):
    """Guards against an item that is run again at once after each crash."""
    submit(site, [DEADLY_AT_ONCE])
    crashes = 0
    until = time.monotonic() + 8.0
    while time.monotonic() < until:
        time.sleep(PAUSE_S)
        crashes += site.restart_ended_engines()
    # Two at once, then after 1, 2 and 4 s.
    assert 2 <= crashes <= 5


def test_caller_that_goes_leaves_its_request_a_suspect(site):
    """Guards against evidence that is lost with the caller's connection."""
    body = b'deadly after 6'
    crashes = 0
    for number in range(REPEATS):
        front = f'front-{number % 2 + 1}'
        with contextlib.suppress(OSError, HTTPException):
            call_http(
                site.fronts[front],
                'POST',
                '/scan/1',
                body,
                headers={
                    'host': HOST_NAME,
                    'authorization': f'Bearer {KEY}',
                    'attempt-id': f'g{number:x}',
                    'token-usage': '10,8',
                },
                timeout_s=0.075,
            )
        time.sleep(3 * PAUSE_S)
        crashes += site.restart_ended_engines()
    assert crashes <= ALLOWED_CRASHES
