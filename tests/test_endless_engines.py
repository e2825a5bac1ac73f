"""Fronts and runners as processes beside engines that send without end."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

import pytest
from jacinthmount_platform_standin.site import PlatformSite
from jacinthmount_standin.callers import call_http

EVENTS = 5
ENDLESS_ENGINES = ('engine-1', 'engine-2')
CALLERS = 6
ROUNDS = 5
# A load balancer that probes each second removes a host after two failures.
READY_BOUND_S = 2.0
# Status of a stream whose connection was cut.
ABORTED = 0


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    """A site with one front, one runner and three engines."""
    started = PlatformSite(
        folder=tmp_path_factory.mktemp('endless'), fronts=1, runners=1
    )
    try:
        started.start(engines=3)
        yield started
    finally:
        started.stop()


@pytest.fixture
def set_endless(site):
    """Switches two of three engines to endless answers, and back afterwards."""

    def switch(kind):
        for engine in ENDLESS_ENGINES:
            site.switch(site.engines[engine], endless=kind)

    yield switch
    switch('')


def stream(site, request_id):
    """Sends one streaming request.

    :returns: its status, and whether the answer is complete and its own.
    """
    try:
        status, answer = site.call(
            'front-1',
            'POST',
            '/scan/1',
            {'bale': 1},
            attempt_id=request_id,
            token_usage=f'10,{EVENTS}',
            deadline_remaining='2000',
        )
    except HTTPException:
        return ABORTED, False
    expected = ''.join(
        f'id: {number}\ndata: {request_id} {number}\n\n'
        for number in range(1, EVENTS + 1)
    )
    return status, answer == expected.encode()


def watch_readiness(site, stop, probes):
    """Requests the readiness of the front repeatedly and records the times."""
    while not stop.is_set():
        sent_at = time.monotonic()
        status, _ = call_http(site.ready['front-1'], 'GET', '/api/ready')
        probes.append((time.monotonic() - sent_at, status))
        time.sleep(0.02)


@pytest.mark.parametrize('kind', ['event', 'comments', 'drip'])
def test_front_serves_beside_endless_engines(site, set_endless, kind):
    """Complete answers are correct, and the front stays responsive."""
    set_endless(kind)
    stop = threading.Event()
    probes = []
    watch = threading.Thread(target=watch_readiness, args=(site, stop, probes))
    watch.start()
    with ThreadPoolExecutor(CALLERS) as pool:
        ids = [f'{kind}-{number}' for number in range(CALLERS * ROUNDS)]
        answers = list(pool.map(lambda name: stream(site, name), ids))
    stop.set()
    watch.join()
    assert max(probes)[0] < READY_BOUND_S
    assert {status for _, status in probes} == {200}
    assert sum(complete for _, complete in answers) >= ROUNDS
    assert {status for status, _ in answers} <= {
        ABORTED,
        200,
        429,
        502,
        503,
        504,
    }


def test_endless_events_are_counted_by_kind(site, set_endless):
    """The log names the kind of endless data that engines sent."""
    set_endless('event')
    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(lambda index: stream(site, f'count-{index}'), range(12)))
    lines = site.read_lines('front-1')
    lost = [line for line in lines if 'endless event' in line.get('error', '')]
    assert lost
