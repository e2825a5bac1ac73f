"""Sound endpoints that fall silent and go on, on real processes."""

import signal
import time

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.silences import (
    EVENT_S,
    PAUSE_S,
    begin,
    check_whole,
    count_endpoints,
    join,
    read_losses,
    stop_engines,
    wait_events,
)

# With these, answers of the slower endpoint outlast the silences of the other.
FEWER_EVENTS = 35
SLOW_EVENT_S = 0.13
# Less than the time-out, more than two seconds of events and the silence.
HANGS_S = 4.0
PATHS = ('/check/1', '/scan/1')


@pytest.fixture
def make_site(tmp_path):
    """Starts a site of one front, two runners and some engines."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=2)

    def make(engines, slots):
        found.start(engines=engines, slots=slots)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S, show_version=True)
        return found

    try:
        yield make
    finally:
        found.stop()


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    ('engines', 'slots'), [(1, 12), (2, 6)], ids=['only one', 'one of two']
)
def test_silence_before_the_first_event_ends_a_request(
    make_site, path, engines, slots
):
    """No other endpoint can take the request, so it waits and is served."""
    site = make_site(engines, slots)
    site.signal('engine-1', signal.SIGSTOP)
    streams, threads = begin(site, path)
    stop_engines(site, ['engine-1'])
    join(threads)
    check_whole(site, streams)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(('silence_s', 'times'), [(0.9, 3), (2.5, 1)])
def test_silence_inside_a_stream_cuts_it(make_site, path, silence_s, times):
    """The other endpoint is full meanwhile, so the stream waits."""
    site = make_site(2, 6)
    site.switch(site.engines['engine-2'], event_s=SLOW_EVENT_S)
    streams, threads = begin(site, path, FEWER_EVENTS)
    wait_events(streams, 5)
    stop_engines(site, ['engine-1'], silence_s, times)
    join(threads)
    check_whole(site, streams)
    assert not read_losses(site)


def test_request_stays_at_an_endpoint_that_hangs(make_site):
    """It moves to the free slots of another one, long before its time-out."""
    site = make_site(2, 12)
    streams, threads = begin(site, '/check/1')
    wait_events(streams, 5)
    site.signal('engine-1', signal.SIGSTOP)
    join(threads)
    check_whole(site, streams)
    assert max(one.took_s for one in streams) < HANGS_S
    assert read_losses(site)
    # The slots that were held for them are free again.
    site.signal('engine-1', signal.SIGCONT)
    time.sleep(PAUSE_S)
    for _ in range(2):
        streams, threads = begin(site, '/scan/1', 5)
        join(threads)
        check_whole(site, streams)
    assert count_endpoints(site) == 2


def test_endpoint_is_avoided_after_its_silence(make_site):
    """New requests use it as soon as an answer of it goes on."""
    site = make_site(2, 12)
    streams, threads = begin(site, '/scan/1')
    wait_events(streams, 5)
    stop_engines(site, ['engine-1'])
    others, more = begin(site, '/check/1', 5)
    join([*more, *threads])
    check_whole(site, [*streams, *others])
    assert count_endpoints(site) == 2
