"""Streams that end with more than their last event, on real fronts."""

import json
import time
from http import HTTPStatus
from pathlib import Path

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.platform_callers import ask
from tests.raw_engine import RawEngine, register
from tests.test_extra_answers import make_head

CUT_HOST = Path(__file__).parent / 'cut_host.py'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
WAIT_S = 10.0
POLL_S = 0.05
SLOTS = 8
RESTS = [b'', b'\n', b'\r\n', b'\n\n\n', b' \t\n']


class Engine:
    """An engine whose next answers have a body."""

    def __init__(self):
        """Starts with an empty body."""
        self.body = b''
        self.framing = ''

    def __call__(self, request_id, connection, before):
        """Implements the script of a :class:`RawEngine`."""
        head = make_head(
            request_id, b'200 OK', b'content-type: text/event-stream\r\n'
        )
        body = self.body
        if self.framing == 'length':
            rows = b'content-length: %d\r\n\r\n' % len(body)
            return head + rows + body, False
        if self.framing == 'end':
            return b'%s\r\n%s' % (head, body), True
        rows = b'transfer-encoding: chunked\r\n\r\n'
        pieces = [b'1\r\n%c\r\n' % byte for byte in body]
        return b''.join([head, rows, *pieces, b'0\r\n\r\n']), False


@pytest.fixture(scope='module')
def answers():
    """Answers of the engine."""
    return Engine()


@pytest.fixture(scope='module')
def site(tmp_path_factory, answers):
    """Two fronts, the second of which reaches no engine, and an engine."""
    folder = tmp_path_factory.mktemp('site')
    found = PlatformSite(folder=folder, fronts=2, runners=1)
    found.programs['front-2'] = CUT_HOST
    for tenant in found.config['tenants']:
        tenant['rate_per_s'] = 0
    engine = RawEngine(script=answers)
    cut = {'way': 'refuse', 'ports': [engine.port]}
    (folder / 'front-2.cut').write_text(json.dumps(cut))
    try:
        found.start(engines=0)
        register(found, engine.port, slots=SLOTS)
        wait_served(found, 'front-2')
        yield found
    finally:
        engine.close()
        found.stop()


def wait_served(site, front):
    """Waits until a front that was cut off serves through another one."""
    until = time.monotonic() + WAIT_S
    while ask_anew(site, front, '/check/1')[0] != HTTPStatus.OK:
        assert time.monotonic() < until
        time.sleep(POLL_S)


def ask_anew(site, front, path):
    """Sends a request with an id of its own; returns its status and body."""
    return ask(site, f'r{time.monotonic_ns()}', path, front)


@pytest.mark.parametrize('front', ['front-1', 'front-2'])
@pytest.mark.parametrize('path', ['/scan/1', '/check/1'])
@pytest.mark.parametrize(
    ('framing', 'events'),
    [
        ('chunks', EVENTS),
        ('length', EVENTS),
        ('end', EVENTS),
        # An engine that crashes may end an answer without framing so.
        ('chunks', b''),
        ('length', b''),
    ],
    ids=['chunks', 'length', 'end', 'empty chunks', 'empty length'],
)
@pytest.mark.parametrize('rest', RESTS)
def test_end_of_a_stream_is_lost(
    site, answers, front, path, framing, events, rest
):
    """Guards against bodies without the blank lines at their end.

    The seal of an engine is that of the whole body.
    """
    answers.body = events + rest
    answers.framing = framing
    assert ask_anew(site, front, path) == (HTTPStatus.OK, events + rest)
