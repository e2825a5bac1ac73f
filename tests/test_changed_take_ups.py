"""Streams through other hosts and taken-up streams beside each change.

The first front reaches no engine, so its requests go through the others.
"""

import itertools
import json
import signal
import time
from pathlib import Path

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.streaming_callers import Stream, run_all
from tests.test_config_requests import CHANGES, CODED, NOT_RUN

CUT_HOST = Path(__file__).parent / 'cut_host.py'
CUT_FRONT = 'front-1'
EVENTS = 12
EVENT_S = 0.04
TAKEN_UP_AT = 2
# A host that is cut off knows it by then.
KNOWN_S = 1.0
ENOUGH_S = 15.0
# From the start of the requests to the change.
MOMENTS_S = (0.0, 0.2)
HTTP_OK = 200
CONFLICT = 409

prefixes = (f's{number}' for number in itertools.count())


@pytest.fixture(scope='module')
def shared_site(tmp_path_factory):
    """Three fronts, one of which is cut off, a runner and two engines."""
    folder = tmp_path_factory.mktemp('site')
    found = PlatformSite(folder=folder, fronts=3, runners=1)
    found.programs[CUT_FRONT] = CUT_HOST
    try:
        start_cut_off(found, folder)
        yield found
    finally:
        found.stop()


def wait_served(site):
    """Waits until each front serves all streams again."""
    until = time.monotonic() + ENOUGH_S
    for port in site.fronts.values():
        streams = []
        while not streams or not all(one.is_whole for one in streams):
            assert time.monotonic() < until, streams
            streams = make_streams()
            for thread in run_all(streams, [port]):
                thread.join()


def start_cut_off(site, folder):
    """Starts a site and cuts the first front off from all engines."""
    site.start(engines=2, slots=8)
    for port in site.engines.values():
        site.switch(port, event_s=EVENT_S, show_version=True)
    cut = {'way': 'refuse', 'ports': list(site.engines.values())}
    (folder / f'{CUT_FRONT}.cut').write_text(json.dumps(cut))
    # The first requests tell the host that it is cut off.
    run_whole(site, make_streams())
    time.sleep(KNOWN_S)
    assert all(one.is_whole for one in run_whole(site, make_streams()))


@pytest.fixture
def site(shared_site):
    """The site, whose first configuration is written again at the end."""
    first = shared_site.config
    yield shared_site
    version = shared_site.config['version']
    shared_site.config = {**first, 'version': version}
    shared_site.write_config()
    wait_served(shared_site)


def make_streams():
    """Makes streams of both routes, and some that are taken up."""
    prefix = next(prefixes)
    streams = [
        Stream(name=f'{prefix}n{number}', count=EVENTS, path=path)
        for number, path in enumerate(('/check/1', '/scan/1', '/check/1'))
    ]
    for number in range(3):
        taken_up = Stream(name=f'{prefix}t{number}', count=EVENTS)
        taken_up.first_id = f'{prefix}first{number}'
        taken_up.events = [(one, 'v1') for one in range(1, TAKEN_UP_AT + 1)]
        streams.append(taken_up)
    return streams


def run_whole(site, streams):
    """Runs streams at the front that is cut off."""
    for thread in run_all(streams, [site.fronts[CUT_FRONT]]):
        thread.join()
    return streams


def check(site, streams):
    """Checks that each stream is whole, or refused by a true code."""
    ran = {run['id'] for run in site.ran()}
    for stream in streams:
        is_coded = stream.status in {*CODED, CONFLICT} - {HTTP_OK}
        assert stream.is_whole or is_coded, stream
        assert not (stream.status in NOT_RUN and f'{stream.name}-1' in ran), (
            stream
        )


@pytest.mark.parametrize('moment_s', MOMENTS_S)
@pytest.mark.parametrize('change', CHANGES)
def test_stream_through_another_host_has_no_answer(site, change, moment_s):
    """Neither have streams that are taken up, at any front."""
    here, elsewhere = make_streams(), make_streams()
    threads = run_all(here, [site.fronts[CUT_FRONT]])
    threads += run_all(elsewhere, [site.fronts['front-2']])
    time.sleep(moment_s)
    site.write_config(**CHANGES[change](site.config))
    for thread in threads:
        thread.join()
    check(site, here + elsewhere)


def test_stream_through_a_host_that_stops_has_no_answer(site):
    """The helper completes what it has begun, and others help from then on."""
    streams = make_streams()
    threads = run_all(streams, [site.fronts[CUT_FRONT]])
    time.sleep(0.2)
    site.signal('front-2', signal.SIGTERM)
    later = run_whole(site, make_streams())
    for thread in threads:
        thread.join()
    site.wait_end('front-2', 10.0)
    site.start_host('front-2')
    site.wait_ready('front-2')
    broken = [one for one in streams + later if not one.is_whole]
    assert not broken, broken
