"""Hosts that reach no engine, on real processes."""

import json
import signal
import threading
import time
from pathlib import Path

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.batch_callers import count_results, submit
from tests.streaming_callers import Stream, run_all

CUT_HOST = Path(__file__).parent / 'cut_host.py'
EVENT_S = 0.02
EVENTS = 10
COUNT = 20
# A host that is cut off knows it by then.
KNOWN_S = 1.0
PAUSE_S = 0.05
LOG_DELAY_S = 2.0
LONG_EVENT_S = 0.45
# From then on a host that stops may end before a request of 5 s.
STOPPING_S = 2.65
ENOUGH_S = 10.0
# What the callers of such a host get, compared with others.
SERVED = 0.9
ITEMS = 24
ITEM_EVENTS = 80
# Twice as long as one of two equal runners needs for all items.
ITEMS_S = 12.0


@pytest.fixture
def site(tmp_path):
    """Three fronts, of which the first can be cut off, and three engines."""
    found = PlatformSite(folder=tmp_path, fronts=3, runners=1)
    found.programs['front-1'] = CUT_HOST
    try:
        found.start(engines=3, slots=8)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S, show_version=True)
        yield found
    finally:
        found.stop()


@pytest.fixture
def runner_site(tmp_path):
    """Two runners that can be cut off, and three engines."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=2)
    found.programs.update({'runner-1': CUT_HOST, 'runner-2': CUT_HOST})
    try:
        found.start(engines=3, slots=4)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S)
        yield found
    finally:
        found.stop()


@pytest.fixture
def cut_file(tmp_path):
    """File that orders the cut of the first front."""
    return tmp_path / 'front-1.cut'


def cut(site, cut_file, way):
    """Cuts the first front off from all engines."""
    ports = list(site.engines.values())
    cut_file.write_text(json.dumps({'way': way, 'ports': ports}))


def call_at(site, front, name, path='/check/1'):
    """Sends first tries to a front, one after the other begins.

    :returns: how many are served.
    """
    streams = [
        Stream(name=f'{name}{number}', count=EVENTS, path=path)
        for number in range(COUNT)
    ]
    threads = []
    for stream in streams:
        thread = threading.Thread(
            target=stream.attempt, args=(site.fronts[front],)
        )
        thread.start()
        threads.append(thread)
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join()
    return sum(stream.is_whole for stream in streams)


def count_served_here(site, front):
    """Counts the requests that a front sent to an endpoint itself."""
    return sum(
        line['message_type'].endswith(':served') and bool(line['endpoint'])
        for line in site.read_lines(front)
    )


@pytest.mark.parametrize('path', ['/check/1', '/scan/1'])
@pytest.mark.parametrize('way', ['refuse', 'hang', 'reset'])
def test_callers_of_a_host_without_engines_are_not_served(
    site, cut_file, way, path
):
    """They are served through another host, and directly once it is back."""
    call_at(site, 'front-1', 'a', path)
    cut(site, cut_file, way)
    time.sleep(KNOWN_S)
    assert call_at(site, 'front-1', 'b', path) >= SERVED * COUNT
    assert call_at(site, 'front-2', 'c', path) >= SERVED * COUNT
    cut_file.unlink()
    time.sleep(KNOWN_S)
    before = count_served_here(site, 'front-1')
    assert call_at(site, 'front-1', 'd', path) >= SERVED * COUNT
    until = time.monotonic() + LOG_DELAY_S
    while count_served_here(site, 'front-1') < before + SERVED * COUNT:
        assert time.monotonic() < until
        time.sleep(PAUSE_S)


@pytest.mark.parametrize('way', ['refuse', 'hang', 'reset'])
def test_host_that_starts_without_engines_serves_nobody(site, cut_file, way):
    """It has never reached an engine, and serves through others."""
    site.kill('front-1')
    cut(site, cut_file, way)
    site.start_host('front-1')
    site.wait_ready('front-1')
    time.sleep(KNOWN_S)
    assert call_at(site, 'front-1', 'b') >= SERVED * COUNT


def test_streams_end_when_their_host_loses_its_engines(site, cut_file):
    """They go on through another host, inside their answers."""
    streams = [Stream(name=f's{number}', count=60) for number in range(8)]
    threads = run_all(streams, [site.fronts['front-1']])
    time.sleep(0.5)
    cut(site, cut_file, 'reset')
    for thread in threads:
        thread.join()
    assert sum(stream.is_whole for stream in streams) >= SERVED * len(streams)


def test_helper_that_stops_cuts_what_it_took_by_run_times(site, cut_file):
    """Guards against long requests that are run where they can't end.

    They were short before; what a host runs for another one goes elsewhere
    if it may outlast the host.
    """
    cut(site, cut_file, 'reset')
    time.sleep(KNOWN_S)
    assert call_at(site, 'front-1', 's', '/scan/1') >= SERVED * COUNT
    for port in site.engines.values():
        site.switch(port, event_s=LONG_EVENT_S)
    site.signal('front-2', signal.SIGTERM)
    time.sleep(STOPPING_S)
    streams = [
        Stream(name=f't{number}', count=EVENTS, path='/scan/1')
        for number in range(COUNT)
    ]
    for thread in run_all(streams, [site.fronts['front-1']]):
        thread.join()
    assert all(stream.is_whole for stream in streams), streams
    assert not site.wait_end('front-2', ENOUGH_S)


def find_active_runner(site):
    """Finds the runner that has become active, once it has logged that."""
    until = time.monotonic() + LOG_DELAY_S
    while time.monotonic() < until:
        for name in ('runner-1', 'runner-2'):
            if any(
                line.get('active') is True for line in site.read_lines(name)
            ):
                return name
        time.sleep(PAUSE_S)
    raise AssertionError(site.read_output('runner-1'))


@pytest.mark.parametrize('way', ['refuse', 'hang', 'reset'])
def test_items_stay_with_a_runner_without_engines(runner_site, tmp_path, way):
    """Another runner takes them over, with the events that there are."""
    submit(runner_site, 'b1', ITEMS, ITEM_EVENTS)
    until = time.monotonic() + ITEMS_S
    while not runner_site.ran():
        assert time.monotonic() < until
        time.sleep(PAUSE_S)
    runner = find_active_runner(runner_site)
    cut(runner_site, tmp_path / f'{runner}.cut', way)
    time.sleep(ITEMS_S)
    assert count_results(runner_site, 'b1') == ITEMS


def test_caller_pretends_to_be_a_host(site):
    """Its mark is not believed, and no engine sees it."""
    status, _ = site.call(
        'front-2',
        'POST',
        '/check/1',
        {},
        attempt_id='spoofed',
        token_usage='10,3',
        jacinthmount_relay='front-1 9 1 not-the-incarnation',
    )
    assert status == 200
    runs = [run for run in site.ran() if run['id'] == 'spoofed']
    assert len(runs) == 1
    assert 'jacinthmount-relay' not in runs[0]['headers']


def test_engines_see_the_mark_of_a_host(site, cut_file):
    """What hosts tell each other stays between them."""
    cut(site, cut_file, 'reset')
    time.sleep(KNOWN_S)
    assert call_at(site, 'front-1', 'm') >= SERVED * COUNT
    runs = [run for run in site.ran() if run['id'].startswith('m')]
    seen = {name for run in runs for name in run['headers']}
    assert 'attempt-id' in seen
    assert not seen & {'jacinthmount-relay', 'authorization'}
