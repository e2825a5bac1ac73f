"""Prompt parts that crash the engines, on real processes."""

import contextlib
import time
from http.client import HTTPException

import pytest
from jacinthmount_platform_standin.site import PlatformSite

ENGINES = 4
BAD = '0a11:100,bad1:50'
SOUND = '0a11:100,0b22:50'
# The engines that may end before hosts have to know the part.
ALLOWED_CRASHES = 5
REQUESTS = 12
PAUSE_S = 0.1


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, two runners and four engines."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=2)
    try:
        found.start(engines=ENGINES)
        yield found
    finally:
        found.stop()


def ask(site, front, request_id, parts, path='/scan/1'):
    """Sends a request whose prompt has shared parts and one of its own.

    :returns: its status, 0 if the connection was closed without an answer.
    """
    with contextlib.suppress(OSError, HTTPException):
        return site.call(
            front,
            'POST',
            path,
            {},
            attempt_id=request_id,
            token_usage='10,5',
            deadline_remaining='5000',
            prompt_prefix=f'{parts},{request_id}:10',
        )[0]
    return 0


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
