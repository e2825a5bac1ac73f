"""Prompt parts that crash the engines, on real processes."""

import base64
import contextlib
import json
import subprocess
import sys
import threading
import time
from http.client import HTTPException

import pytest
from jacinthmount_platform_standin.site import PlatformSite
from jacinthmount_standin.callers import call_http

ENGINES = 4
BAD = '0a11:100,bad1:50'
SOUND = '0a11:100,0b22:50'
# The engines that may end before hosts have to know the part.
ALLOWED_CRASHES = 5
REQUESTS = 12
PAUSE_S = 0.1
WAIT_S = 10.0
# An answer goes on after twice this time, when the part is recorded.
SLOW_EVENT_S = 1.5
RECORDS = '/api/objects/blocked-parts'


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, two runners and four engines."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=2)
    try:
        found.start(engines=ENGINES)
        yield found
    finally:
        found.stop()


def ask(site, front, request_id, parts, path='/scan/1', count=5):
    """Sends a request whose prompt has shared parts and one of its own.

    No two are alike: their bodies differ.

    :returns: its status, 0 if the connection was closed without an answer.
    """
    with contextlib.suppress(OSError, HTTPException):
        return site.call(
            front,
            'POST',
            path,
            request_id.encode(),
            attempt_id=request_id,
            token_usage=f'10,{count}',
            deadline_remaining='5000',
            prompt_prefix=f'{parts},{request_id}:10',
        )[0]
    return 0


def eventually(holds, timeout_s=WAIT_S):
    """Waits until a condition holds."""
    until = time.monotonic() + timeout_s
    while not holds():
        assert time.monotonic() < until, 'the condition did not come to hold'
        time.sleep(PAUSE_S)


def crash_until_blocked(site):
    """Sends requests with the bad part until all fronts refuse them.

    :returns: how many engines ended.
    """
    crashes = 0
    for number in range(REQUESTS):
        asked = {
            ask(site, front, f'c{number:x}{front[-1]}', BAD)
            for front in site.fronts
        }
        time.sleep(PAUSE_S)
        crashes += site.restart_ended_engines()
        if asked == {503}:
            return crashes
    raise AssertionError('the part was not blocked')


def read_records(site):
    """Lists the names of the records of blocked parts in the store."""
    _, answer = call_http(site.store, 'GET', RECORDS)
    return [one['metadata']['name'] for one in json.loads(answer)['items']]


def make_item(item_id, parts, events=5):
    """Builds a batch item whose prompt has shared parts."""
    return {
        'id': item_id,
        'path': '/audit/1',
        'headers': {
            'Token-Usage': f'10,{events}',
            'Prompt-Prefix': f'{parts},{item_id}:10',
        },
        'body': base64.b64encode(b'bale').decode(),
        'tokens': 20,
    }


def count_results(site, batch_id):
    """Counts the results of a batch that can be read."""
    _, answer = site.call('front-2', 'GET', f'/api/lots/{batch_id}?after=0')
    return json.loads(answer)['next'] if answer else 0


def test_prompt_part_crashes_engine_after_engine(site):
    """Requests with the part stop reaching engines; others are served."""
    fronts = list(site.fronts)
    crashes = 0
    for number in range(REQUESTS):
        front = fronts[number % len(fronts)]
        assert ask(site, front, f'5{number:03x}', SOUND) == 200
        ask(site, front, f'b{number:03x}', BAD)
        time.sleep(PAUSE_S)
        crashes += site.restart_ended_engines()
    assert 0 < crashes <= ALLOWED_CRASHES
    for front in fronts:
        assert ask(site, front, f'e-{front}', BAD) == 503
        assert ask(site, front, f'f-{front}', SOUND) == 200


def test_blocked_part_is_known_after_a_restart_of_all_hosts(site):
    """The record outlives them, until an operator removes it."""
    crash_until_blocked(site)
    eventually(lambda: read_records(site))
    for name in site.controls:
        site.kill(name)
    for name in site.controls:
        site.start_host(name)
    for front in site.fronts:
        site.wait_ready(front)
        assert ask(site, front, f'e-{front}', BAD) == 503
    time.sleep(PAUSE_S)
    assert not site.restart_ended_engines()
    for name in read_records(site):
        call_http(site.store, 'DELETE', f'{RECORDS}/{name}')
    eventually(lambda: ask(site, 'front-1', 'f1', BAD) != 503)


def test_operator_lists_and_clears_a_blocked_part(site, tmp_path):
    """The command shows it, and afterwards its requests are sent again."""
    crash_until_blocked(site)
    eventually(lambda: read_records(site))
    command = [
        sys.executable,
        '-m',
        'jacinthmount_platform.blocked',
        str(tmp_path / 'front-1.toml'),
    ]
    listed = subprocess.run(command, capture_output=True, check=True)
    # No sound request has told the part from its companion.
    assert listed.stdout.startswith(b'provenance: 0a11,bad1 (')
    cleared = subprocess.run(
        [*command, '--clear', 'bad1'], capture_output=True, check=True
    )
    assert not cleared.stdout
    eventually(lambda: ask(site, 'front-1', 'f1', BAD) != 503)


def test_hosts_learn_blocked_parts_while_the_store_is_away(site):
    """Strikes and verdict need no store; the record follows later."""
    site.switch(site.store, refuse=True)
    # Ended engines keep their registration, so they are not replaced.
    asked = []
    for number in range(ENGINES):
        front = f'front-{number % 2 + 1}'
        asked.append(ask(site, front, f'a{number}', BAD))
        time.sleep(PAUSE_S)
    assert asked[-1] == 503
    site.switch(site.store, refuse=False)
    eventually(lambda: read_records(site))
    for front in site.fronts:
        assert ask(site, front, f'e-{front}', BAD) == 503


@pytest.fixture
def slow_site(tmp_path):
    """A site of two fronts, two runners and six engines that read slowly."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=2)
    try:
        found.start(engines=6, slots=4)
        for port in found.engines.values():
            found.switch(port, event_s=SLOW_EVENT_S)
        yield found
    finally:
        found.stop()


def test_sound_part_is_blocked_for_good_after_a_crash(slow_site):
    """Three endpoints crash together while all read prompts with one part.

    Guards against items that wait for ever, and live requests that are refused,
    although the other endpoints answer prompts with that part.
    """
    site = slow_site
    items = [make_item(f's{one}', SOUND, events=2) for one in range(40)]
    site.call('front-1', 'POST', '/audit/x', {'items': items}, attempt_id='b1')
    time.sleep(SLOW_EVENT_S / 2)
    for name in list(site.engines)[:3]:
        site.kill(name)
    eventually(lambda: read_records(site))
    eventually(lambda: not read_records(site))
    eventually(lambda: ask(site, 'front-1', 'f1', SOUND, count=1) == 200)
    eventually(lambda: count_results(site, 'b1') == len(items), 60.0)


def test_sound_part_without_requests_in_flight_stays_blocked(tmp_path):
    """All requests with the part end in the crash of their endpoints.

    Guards against items that wait for ever; one of them is sent as a trial.
    """
    site = PlatformSite(folder=tmp_path, fronts=2, runners=2)
    try:
        run_after_crash(site)
    finally:
        site.stop()


def run_after_crash(site):
    """Kills the engines of all items, and waits for their results."""
    site.start(engines=3, slots=4)
    ended = list(site.engines)
    for port in site.engines.values():
        site.switch(port, event_s=SLOW_EVENT_S)
    items = [make_item(f's{one}', SOUND, events=2) for one in range(12)]
    site.call('front-1', 'POST', '/audit/x', {'items': items}, attempt_id='b1')
    eventually(lambda: len(site.ran()) == len(items))
    other = occupy_one_more(site, len(items))
    for name in ended:
        site.kill(name)
    eventually(lambda: read_records(site))
    other.join()
    eventually(lambda: count_results(site, 'b1') == len(items), 60.0)


def occupy_one_more(site, ran):
    """Starts an engine that hosts reach, but that is busy for a while.

    :param ran: number of requests that engines run.
    :returns: the thread of the caller that keeps it busy.
    """
    site.start_engine('engine-4', 1)
    time.sleep(1.0)
    other = threading.Thread(
        target=ask, args=(site, 'front-1', 'other', 'c3:100', '/scan/1', 200)
    )
    other.start()
    eventually(lambda: len(site.ran()) == ran + 1)
    return other


def test_repeated_request_crashes_two_engines_at_most(site):
    """A resumable request may be sent to another engine once more."""
    assert ask(site, 'front-1', 'r1', BAD, path='/check/1') == 502
    time.sleep(PAUSE_S)
    assert site.restart_ended_engines() <= 2


def test_items_with_a_blocked_part_wait_and_others_are_run(site):
    """The batch keeps the item, which has not run any more."""
    crash_until_blocked(site)
    items = [
        make_item('i1', BAD),
        *(make_item(f's{one}', SOUND) for one in range(4)),
    ]
    site.call('front-1', 'POST', '/audit/x', {'items': items}, attempt_id='b1')
    eventually(lambda: count_results(site, 'b1') == 4)
    time.sleep(1.0)
    assert not site.restart_ended_engines()
    assert 'i1' not in {run['id'] for run in site.ran()}


def test_items_with_one_part_crash_three_engines_at_most(site):
    """Guards against items that are run again after each crash."""
    items = [make_item(f'i{one}', BAD) for one in range(6)]
    crashes = 0
    site.call('front-1', 'POST', '/audit/x', {'items': items}, attempt_id='b1')
    for _ in range(20):
        time.sleep(0.3)
        crashes += site.restart_ended_engines()
    assert 0 < crashes <= ALLOWED_CRASHES
