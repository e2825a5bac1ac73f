"""Batches beside a loss of power on all hosts at once, on real processes.

Only the store and the engines keep running.
"""

import json
import signal
import time

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.batch_callers import submit

FRONT = 'front-1'
BATCHES = 4
ITEMS = 6
EVENTS = 10
EVENT_S = 0.05
WAIT_S = 30.0
POLL_S = 0.2
# The hosts that come back.
BACK = {
    'all': ('front-1', 'front-2', 'runner-1', 'runner-2'),
    'half': ('front-1', 'runner-2'),
}


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, two runners and two engines."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=2)
    try:
        found.start(engines=2, slots=4)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S)
        yield found
    finally:
        found.stop()


def lose_power(site, back):
    """Kills all hosts in the same moment, then starts some of them again.

    :param back: the hosts that come back.
    """
    for name in site.controls:
        site.signal(name, signal.SIGKILL)
    for name in site.controls:
        site.wait_end(name, WAIT_S)
    for name in back:
        site.start_host(name)
    for name in fronts(back):
        site.wait_ready(name)


def fronts(hosts):
    """Lists the fronts among hosts."""
    return [name for name in hosts if name.startswith('front')]


def read(site, batch_id, front=FRONT):
    """Reads the results of a batch.

    :returns: status, total and results.
    """
    status, answer = site.call(front, 'GET', f'/api/lots/{batch_id}?after=0')
    if status != 200:
        return status, 0, []
    page = json.loads(answer)
    return status, page['total'], page['results']


def read_soon(site, batch_id, front):
    """Reads until the front answers, which must not be that there is none."""
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        status, total, results = read(site, batch_id, front)
        if status == 200:
            return total, results
        assert status == 503, status
        time.sleep(POLL_S)
    raise AssertionError('no answer')


def wait_done(site, batch_id):
    """Waits until each item has a result."""
    until = time.monotonic() + WAIT_S
    results = []
    while len(results) < ITEMS:
        assert time.monotonic() < until, (batch_id, results)
        time.sleep(POLL_S)
        _, _, results = read(site, batch_id)
    return results


def check_done(site, names, back):
    """Checks that each item of each batch has one whole result."""
    for name in names:
        results = wait_done(site, name)
        ids = [one['id'] for one in results]
        assert sorted(ids) == [f'{name}-{number}' for number in range(ITEMS)]
        for one in results:
            assert one['state'] == 'completed', one
            assert one['text'].split('\n') == [
                f'{one["id"]} {number}' for number in range(1, EVENTS + 1)
            ]
        for front in fronts(back):
            assert read_soon(site, name, front) == (ITEMS, results)


@pytest.mark.parametrize('back', BACK.values(), ids=BACK)
def test_accepted_batch_is_lost_with_all_hosts(site, back):
    """Right after its 202 all hosts lose power; each item completes once."""
    names = [f'b{number}' for number in range(BATCHES)]
    for name in names:
        submit(site, name, ITEMS, EVENTS)
        lose_power(site, back)
        for front in fronts(back):
            assert read_soon(site, name, front)[0] == ITEMS
    check_done(site, names, back)


@pytest.mark.parametrize('back', BACK.values(), ids=BACK)
def test_results_that_were_read_are_lost_with_all_hosts(site, back):
    """They stand at the same positions with the same content."""
    names = [f'b{number}' for number in range(BATCHES)]
    for name in names:
        submit(site, name, ITEMS, EVENTS)
    for _ in range(3):
        seen = read_some(site, names)
        lose_power(site, back)
        for name, results in seen.items():
            for front in fronts(back):
                _, later = read_soon(site, name, front)
                assert later[: len(results)] == results
    check_done(site, names, back)


def read_some(site, names):
    """Reads batches until one has a result.

    :returns: the results by batch.
    """
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        seen = {name: read(site, name)[2] for name in names}
        if any(seen.values()):
            return seen
        time.sleep(POLL_S / 10)
    raise AssertionError('no result')


def test_ended_batch_goes_on_after_all_hosts_were_lost(site):
    """Its end was acknowledged, so none of its items runs later."""
    submit(site, 'b1', ITEMS, 100)
    status, _ = site.call(FRONT, 'DELETE', '/api/lots/b1')
    assert status == 200
    lose_power(site, BACK['all'])
    ran = len(site.ran())
    time.sleep(3.0)
    assert len(site.ran()) == ran
    for front in site.fronts:
        assert read_soon(site, 'b1', front)[0] == ITEMS
