"""Requests around a planned stop of a node, on real processes."""

import json
import signal
import threading
import time
from http import HTTPStatus
from http.client import HTTPConnection

import pytest

from tests.site import MODEL, Site, eventually

HOST = 'east-h1'
# Within the delay from not ready to closed listeners.
IN_DELAY_S = 0.3
TIMEOUT_S = 20.0


@pytest.fixture
def site(tmp_path):
    """One host with one engine."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 1},
        engines={'engine-1': 'east'},
        accounts={'gin': (100.0, 100.0)},
    )
    yield made
    made.fleet.stop()


def connect(site):
    """Opens a connection to the host that stays open between requests."""
    port = site.fleet.hosts[HOST].front
    conn = HTTPConnection('127.0.0.1', port, timeout=TIMEOUT_S)
    conn.connect()
    return conn


def complete(conn, key, **fields):
    """Sends one completion request.

    :returns: its status and the ``Connection`` header of the answer.
    """
    body = {
        'model': MODEL,
        'max_tokens': 8,
        'messages': [{'role': 'user', 'content': 'bale'}],
        **fields,
    }
    headers = {'Authorization': f'Bearer {key}'}
    conn.request('POST', '/v1/chat/completions', json.dumps(body), headers)
    answer = conn.getresponse()
    answer.read()
    return answer.status, answer.getheader('connection', '')


def test_kept_connection_closed_without_notice_in_a_stop(site):
    """Answers announce the close as soon as the host is not ready."""
    key = site.grant('gin')[1]
    kept = connect(site)
    assert complete(kept, key) == (HTTPStatus.OK, '')
    site.fleet.signal(HOST, signal.SIGTERM)
    time.sleep(IN_DELAY_S)
    assert complete(kept, key) == (HTTPStatus.OK, 'close')
    assert complete(connect(site), key) == (HTTPStatus.OK, 'close')


def test_request_cut_at_the_end_of_a_stop(site, tmp_path):
    """It is refused before it runs, or answered before the host ends."""
    settings = tmp_path / f'{HOST}.ini'
    text = settings.read_text()
    settings.write_text(text.replace('[node]', '[node]\nstop_s = 5'))
    site.fleet.terminate(HOST)
    site.fleet.start_host(HOST)
    site.fleet.wait_ready(HOST)
    key = site.grant('gin')[1]
    late = connect(site)
    # The limits of the account return some time after the restart.
    eventually(lambda: complete(late, key, max_tokens=800)[0] == HTTPStatus.OK)
    running = in_background(complete, connect(site), key, max_tokens=4000)
    eventually(lambda: sum(site.engine_runs('engine-1').values()) == 2)
    stopping = in_background(site.fleet.terminate, HOST, 7)
    time.sleep(IN_DELAY_S)
    assert complete(late, key) == (HTTPStatus.SERVICE_UNAVAILABLE, 'close')
    for thread in (running[0], stopping[0]):
        thread.join()
    assert running[1][0][0] == HTTPStatus.GATEWAY_TIMEOUT
    assert stopping[1] == [0]
    assert sum(site.engine_runs('engine-1').values()) == 2


def in_background(func, *args, **fields):
    """Runs a call in a thread.

    :returns: the thread, and the list that gets the result.
    """
    results = []
    thread = threading.Thread(
        target=lambda: results.append(func(*args, **fields))
    )
    thread.start()
    return thread, results
