"""Keys that are withdrawn while their requests run, on real processes."""

import threading
import time

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.platform_callers import ask_raw

WAIT_S = 10.0
POLL_S = 0.02


@pytest.fixture
def site(tmp_path):
    """A site of one front, one runner and two engines."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=1)
    try:
        found.start(engines=2)
        yield found
    finally:
        found.stop()


def ask(site, request_id, events):
    """Sends a request that may be repeated."""
    return ask_raw(
        site.fronts['front-1'],
        'POST',
        '/check/1',
        b'{}',
        request_id,
        f'10,{events}',
    )


def wait_until(check):
    """Waits until a check succeeds."""
    until = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < until
        time.sleep(POLL_S)


def withdraw_key(site):
    """Returns once the front has the configuration without the key."""
    rows = [{**row, 'api_keys': ['another']} for row in site.config['tenants']]
    site.write_config(tenants=rows)
    version = site.config['version']
    wait_until(lambda: version in list_versions(site))


def list_versions(site):
    """Lists the versions of configurations that the front has applied."""
    return [
        line['version']
        for line in site.read_lines('front-1')
        if line['message_type'] == 'jacinthmount:config_in_force'
    ]


def begin(site, event_s):
    """Begins a request.

    :returns: its thread, and the list that gets its answer.
    """
    for port in site.engines.values():
        site.switch(port, event_s=event_s)
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(ask(site, 'r1', 20))
    )
    thread.start()
    wait_until(lambda: 'r1' in {run['id'] for run in site.ran()})
    return thread, answers


def test_request_that_ran_is_refused_for_a_key_withdrawn_since(site):
    """An attempt may have run it, so 401 as one that has not is untrue."""
    thread, answers = begin(site, event_s=3.0)
    withdraw_key(site)
    for name in site.engines:
        site.kill(name)
    thread.join()
    assert answers[0].status == 502, answers
    assert answers[0].is_whole


def test_stream_joined_with_a_refusal_for_a_key_withdrawn_since(site):
    """A stream that has begun is cut, and never looks complete."""
    thread, answers = begin(site, event_s=0.2)
    withdraw_key(site)
    for port in site.engines.values():
        site.switch(port, cut_after=1)
    thread.join()
    assert answers[0].status == 200, answers
    assert not answers[0].is_whole
