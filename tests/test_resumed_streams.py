"""Streams that resume while the other engines are full, on real processes."""

import json
import threading
import time

import pytest
from jacinthmount_platform_standin.site import PlatformSite
from jacinthmount_standin.callers import call_http

from tests.platform_callers import ask_raw

EVENT_S = 0.05
CUT_AFTER = 10
WAIT_S = 10.0


@pytest.fixture
def site(tmp_path):
    """A site of one front, one runner and two engines with one slot."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=1)
    try:
        found.start(engines=2, slots=1)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S)
        yield found
    finally:
        found.stop()


def wait_runs(site, count):
    """Waits until the engines have begun a number of requests."""
    until = time.monotonic() + WAIT_S
    while len(site.ran()) < count:
        assert time.monotonic() < until, site.ran()
        time.sleep(EVENT_S / 2)


def find_running(site):
    """Finds the port of the engine that has begun a request."""
    for port in site.engines.values():
        _, answer = call_http(port, 'GET', '/ran')
        if json.loads(answer)['ran']:
            return port
    raise AssertionError('no engine has begun a request')


def test_resuming_stream_is_cut_while_the_other_engine_is_full(site):
    """It waits for a slot, since its caller has time left."""
    front = site.fronts['front-1']
    answers = {}

    def call(name, path, events):
        answers[name] = ask_raw(
            front, 'POST', path, b'{}', name, f'10,{events}'
        )

    threads = [
        threading.Thread(target=call, args=('a1', '/check/1', 30)),
        threading.Thread(target=call, args=('b1', '/scan/1', 20)),
    ]
    threads[0].start()
    wait_runs(site, 1)
    first = find_running(site)
    threads[1].start()
    wait_runs(site, 2)
    site.switch(first, cut_after=CUT_AFTER)
    time.sleep(CUT_AFTER * EVENT_S)
    site.switch(first, cut_after=0)
    for thread in threads:
        thread.join()
    assert answers['b1'].is_whole
    assert answers['a1'].is_whole, answers
