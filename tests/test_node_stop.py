"""Requests around a planned stop of a node, on real processes."""

import json
import signal
import time
from http import HTTPStatus
from http.client import HTTPConnection

import pytest

from tests.site import MODEL, Site

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
