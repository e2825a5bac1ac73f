"""Requests that crash each engine that runs them, on real processes."""

import contextlib
import time
from http.client import HTTPException

import pytest
from jacinthmount_platform_standin.site import PlatformSite

ENGINES = 6
REPEATS = 12
# After the third crash a request may reach engines in three retries.
ALLOWED_CRASHES = 6
PAUSE_S = 0.1
PARTS = '0a11:100,0b22:50'


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
