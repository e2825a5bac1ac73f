"""Crowds at sites whose processes have few descriptors or pass bodies on.

Run one at a time, apart from other load.
"""

import json
import time
from pathlib import Path

import pytest
from jacinthmount_platform_standin.site import HOST_NAME, KEY, PlatformSite

from tests.hostile_clients import Crowd, Target
from tests.process_watch import WAIT_S, Served, outlives
from tests.site import eventually
from tests.test_platform_site import make_items, submit

CUT_HOST = Path(__file__).parent / 'cut_host.py'
FRONTS = ('front-1', 'front-2')
MEMORY_MB = 64
LIMIT_BYTES = 2_097_152
MAX_DESCRIPTORS = 200
CONNECTIONS = 300
CLIENTS = 60
SUBMISSIONS = 60
ITEM_CHARS = 800_000
STAY_S = 2.0
# A host that is cut off knows it by then.
KNOWN_S = 1.0
HEAD = (
    f'POST /check/1 HTTP/1.1\r\nhost: {HOST_NAME}\r\n'
    f'authorization: Bearer {KEY}\r\nattempt-id: hostile\r\n'
    'token-usage: 450,5\r\ndeadline-remaining: 8000\r\n'
).encode()


@pytest.fixture
def start(tmp_path):
    """Returns a function that starts a site of small processes."""
    started = []

    def start_site(*, fronts=1, programs=(), max_fds=0):
        made = PlatformSite(
            folder=tmp_path,
            fronts=fronts,
            runners=1,
            memory_mb=MEMORY_MB,
            max_fds=max_fds,
        )
        started.append(made)
        made.programs.update(programs)
        limits = {**made.config['limits'], 'max_body_bytes': LIMIT_BYTES}
        made.config = {**made.config, 'limits': limits}
        made.start()
        return made

    yield start_site
    for made in started:
        made.stop()


@pytest.fixture
def cut_site(start, tmp_path):
    """Two fronts, of which the first reaches no engine."""
    made = start(fronts=2, programs={'front-1': CUT_HOST})
    cut = {'way': 'refuse', 'ports': list(made.engines.values())}
    (tmp_path / 'front-1.cut').write_text(json.dumps(cut))
    time.sleep(KNOWN_S)
    return made


def ask(site, front):
    """Sends one ordinary request to a front, and returns its status."""
    status, _ = site.call(
        front,
        'POST',
        '/check/1',
        b'bale 42',
        attempt_id='ordinary',
        token_usage='450,5',
        deadline_remaining='5000',
    )
    return status


def serve(site, name, front):
    """Returns a process, of which the checks hold.

    :param front: front that is asked whether it serves.
    """
    process = site.processes[name]
    return Served(
        pid=process.pid,
        port=site.fronts.get(name, site.controls[name]),
        memory_mb=MEMORY_MB,
        is_alive=lambda: process.poll() is None,
        ask=lambda: ask(site, front),
    )


def make_target(site):
    """Returns a route of the first front as a target."""
    return Target(
        port=site.fronts['front-1'],
        head=HEAD,
        limit_bytes=LIMIT_BYTES,
        make_body=lambda size: b'x' * size,
    )


def test_front_outlives_connections_without_request(start):
    """A crowd opens more connections than the front has descriptors for."""
    small_site = start(max_fds=MAX_DESCRIPTORS)
    with outlives(
        serve(small_site, 'front-1', 'front-1'), MAX_DESCRIPTORS // 2
    ):
        crowd = Crowd(target=make_target(small_site), case='no request')
        crowd.run(CONNECTIONS)


@pytest.mark.parametrize('case', ['complete', 'length, whole'])
def test_helper_outlives_crowd_of_another_front(cut_site, case):
    """A front that reaches no engine passes bodies on to another one."""
    eventually(lambda: ask(cut_site, 'front-1') == 200, WAIT_S)
    first, second = (serve(cut_site, front, front) for front in FRONTS)
    with outlives(first, 2 * CLIENTS), outlives(second, CLIENTS):
        Crowd(target=make_target(cut_site), case=case).run(CLIENTS)


def test_runner_outlives_accepted_submissions(start):
    """Callers submit many large items while the engines answer nothing."""
    site = start()
    items = [{**one, 'body': 'A' * ITEM_CHARS} for one in make_items(1)]
    for port in site.engines.values():
        site.switch(port, silent=True)
    with outlives(serve(site, 'runner-1', 'front-1'), 0):
        accepted = [
            submit(site, items, f'large-{number}')
            for number in range(SUBMISSIONS)
        ]
        time.sleep(STAY_S)
        for port in site.engines.values():
            site.switch(port, silent=False)
    assert set(accepted) <= {202, 429, 503}
