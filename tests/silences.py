"""Sound endpoints that are stopped and go on, and callers beside them."""

import signal
import time

from tests.streaming_callers import Stream, run_all

__all__ = (
    'COUNT',
    'EVENT_S',
    'PAUSE_S',
    'SILENCE_S',
    'begin',
    'check_whole',
    'count_endpoints',
    'join',
    'read_losses',
    'stop_engines',
    'wait_events',
)

COUNT = 12
EVENTS = 40
EVENT_S = 0.05
SILENCE_S = 1.2
PAUSE_S = 0.4
WAIT_S = 10.0
POLL_S = 0.02


def stop_engines(site, names, silence_s=SILENCE_S, times=1):
    """Stops engines and lets them go on, some times in a row."""
    for _ in range(times):
        for name in names:
            site.signal(name, signal.SIGSTOP)
        time.sleep(silence_s)
        for name in names:
            site.signal(name, signal.SIGCONT)
        time.sleep(PAUSE_S)


def begin(site, path, events=EVENTS):
    """Sends requests at once.

    :returns: the streams, and the threads that read them.
    """
    streams = [
        Stream(name=f's{number}', count=events, path=path)
        for number in range(COUNT)
    ]
    return streams, run_all(streams, [site.fronts['front-1']])


def join(threads):
    """Waits until all answers have ended."""
    for thread in threads:
        thread.join()


def wait_events(streams, count):
    """Waits until each stream has so many events."""
    until = time.monotonic() + WAIT_S
    while any(len(one.events) < count for one in streams):
        assert time.monotonic() < until, streams
        time.sleep(POLL_S)


def check_whole(site, streams):
    """Checks that each stream has a complete answer."""
    cut = [one for one in streams if not one.is_whole]
    assert not cut, (len(cut), cut, read_losses(site))


def count_endpoints(site):
    """Counts the endpoints that served the last requests of the front."""
    served = [
        line['endpoint']
        for line in site.read_lines('front-1')
        if line['message_type'].endswith(':served')
    ]
    return len(set(served[-COUNT:]))


def read_losses(site):
    """Lists the attempts that the front gave up or lost."""
    return [
        (line['after_s'], line['events'], line['given_up'], line['error'])
        for line in site.read_lines('front-1')
        if line['message_type'].endswith(':attempt_lost')
    ]
