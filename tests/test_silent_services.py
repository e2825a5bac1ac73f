"""All endpoints of a service that fall silent at once, on real processes."""

import json
import signal
import time
from pathlib import Path

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.batch_callers import read_texts, submit
from tests.silences import (
    EVENT_S,
    PAUSE_S,
    begin,
    check_whole,
    join,
    stop_engines,
    wait_events,
)
from tests.test_config_requests import CHANGES

CUT_HOST = Path(__file__).parent / 'cut_host.py'
ENGINES = ('engine-1', 'engine-2')
SILENCES_S = (1.0, 1.5, 2.5)
FEW_EVENTS = 16
SLOTS = 14
ITEMS = 6
# A host that is cut off knows it by then.
KNOWN_S = 1.0
SOON_S = 0.5
# What a host logs about endpoints that it takes for lost.
VERDICTS = ('endpoint_crashed', 'suspects_blocked', 'endpoint_reached')


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, one runner and two engines with free slots."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=1)
    found.programs['front-1'] = CUT_HOST
    try:
        found.start(engines=len(ENGINES), slots=SLOTS)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S, show_version=True)
        yield found
    finally:
        found.stop()


def find_verdicts(site):
    """Lists what the first front concluded from the silence."""
    found = []
    for line in site.read_lines('front-1'):
        kind = line['message_type'].rpartition(':')[2]
        if kind in VERDICTS or line.get('any') is False:
            found.append(line)
    return found


def check_sound(site):
    """Checks that new requests are served at once, at both endpoints."""
    streams, threads = begin(site, '/check/1', 1)
    join(threads)
    check_whole(site, streams)
    assert max(one.took_s for one in streams) < SOON_S
    assert not find_verdicts(site)


def pass_silence(site, path, silence_s, is_begun):
    """Sends requests that meet a silence of all endpoints.

    :param is_begun: whether the silence begins after a few events.
    """
    if not is_begun:
        stop_all(site)
    streams, threads = begin(site, path, FEW_EVENTS)
    if is_begun:
        wait_events(streams, 3)
    stop_engines(site, ENGINES, silence_s)
    join(threads)
    return streams


def stop_all(site):
    """Stops the engines."""
    for name in ENGINES:
        site.signal(name, signal.SIGSTOP)


@pytest.mark.parametrize('path', ['/check/1', '/scan/1'])
def test_silence_of_all_endpoints_ends_requests(site, path):
    """They wait at each silence, before the head and between events."""
    for silence_s in SILENCES_S:
        for is_begun in (True, False):
            check_whole(site, pass_silence(site, path, silence_s, is_begun))
        check_sound(site)


def test_silence_beside_a_change_ends_requests(site):
    """Each change comes while all endpoints are silent."""
    before = site.config
    for change in CHANGES.values():
        streams, threads = begin(site, '/check/1', FEW_EVENTS)
        wait_events(streams, 3)
        stop_all(site)
        site.write_config(**change(before))
        stop_engines(site, ENGINES)
        site.write_config(**before)
        join(threads)
        check_whole(site, streams)
        time.sleep(PAUSE_S)


def test_silence_beside_a_reload_ends_requests(site):
    """The front gets SIGHUP while all endpoints are silent."""
    streams, threads = begin(site, '/check/1', FEW_EVENTS)
    wait_events(streams, 3)
    site.signal('front-1', signal.SIGHUP)
    stop_engines(site, ENGINES)
    join(threads)
    check_whole(site, streams)


@pytest.mark.parametrize('path', ['/check/1', '/scan/1'])
def test_silence_beside_a_planned_stop_ends_requests(site, path):
    """They are answered within the grace."""
    streams, threads = begin(site, path, FEW_EVENTS)
    wait_events(streams, 3)
    site.signal('front-1', signal.SIGTERM)
    stop_engines(site, ENGINES)
    join(threads)
    check_whole(site, streams)


@pytest.mark.parametrize('silence_s', SILENCES_S)
def test_silence_ends_requests_at_a_helper(site, tmp_path, silence_s):
    """The other host lives, so its endpoints are waited for."""
    ports = list(site.engines.values())
    cut = {'way': 'reset', 'ports': ports}
    (tmp_path / 'front-1.cut').write_text(json.dumps(cut))
    time.sleep(KNOWN_S)
    _, threads = begin(site, '/check/1', 1)
    join(threads)
    check_whole(site, pass_silence(site, '/check/1', silence_s, False))


def test_silence_costs_items_their_runs(site):
    """Items of silent endpoints go on, each with all its events."""
    for name in ENGINES:
        submit(site, f'b-{name}', ITEMS, FEW_EVENTS)
    time.sleep(PAUSE_S)
    stop_engines(site, ENGINES, 1.0, 3)
    for name in ENGINES:
        assert len(read_texts(site, f'b-{name}', ITEMS)) == ITEMS
    lost = [
        line
        for line in site.read_lines('runner-1')
        if line['message_type'].rpartition(':')[2] in {'item_lost', 'stalled'}
    ]
    assert not lost
