"""Real fronts against engines that write faulty answers.

Each engine here is a socket whose answers are written byte by byte.
"""

import base64
import json
import socket
import time

import pytest
from jacinthmount_platform_standin.site import PlatformSite

from tests.platform_callers import ask

WAIT_S = 10.0
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n'
EMPTY = b'content-length: 0\r\n\r\n'
SEAL = b'server-seal: s\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'


@pytest.fixture
def site(tmp_path):
    """A site of one front and one runner, without engines."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=1)
    try:
        found.start(engines=0)
        yield found
    finally:
        found.stop()


def head(request_id, *rows, status=b'200 OK'):
    """Builds the head of an answer."""
    return b''.join([
        b'HTTP/1.1 ',
        status,
        b'\r\nattempt-id: ',
        request_id,
        b'\r\ncontent-type: text/event-stream\r\n',
        *rows,
    ])


def chunk(piece):
    """Frames a piece of a body."""
    return b'%x\r\n%s\r\n' % (len(piece), piece)


def whole(request_id):
    """Builds a complete answer in chunks."""
    return b''.join([
        head(request_id, SEAL, CHUNKED),
        b'\r\n',
        chunk(EVENTS),
        b'0\r\n\r\n',
    ])


def count_results(site):
    """Counts the results of the batch that can be read."""
    status, answer = site.call('front-1', 'GET', '/api/lots/b1?after=0')
    return json.loads(answer)['next'] if status == 200 else 0


@pytest.mark.parametrize('named', [True, False])
def test_old_refusal_on_a_kept_connection_is_taken_for_the_next(
    site, start_engine, named
):
    """A connection with a refusal is not kept, so nothing follows on it."""
    name = b'attempt-id: r0\r\n' if named else b''
    refusal = b''.join([REFUSAL, name, EMPTY])

    def script(request_id, connection, before):
        # The first refusal is honest; the engine would run what comes after
        # it on that connection, but write the refusal again.
        return (refusal if connection == 1 else whole(request_id)), False

    engine = start_engine(script)
    for number in range(4):
        assert ask(site, f'r{number}') == (200, EVENTS)
    assert engine.connections == 2
    assert sorted(engine.ran) == [b'r0', b'r0', b'r1', b'r2', b'r3']


def test_old_refusal_is_taken_for_each_run_of_an_item(site, start_engine):
    """Items leave a connection with a refusal as well."""
    refusal = b''.join([REFUSAL, EMPTY])

    def script(request_id, connection, before):
        return (refusal if connection == 1 else whole(request_id)), False

    start_engine(script)
    item = {
        'id': 'i1',
        'path': '/audit/1',
        'headers': {'Token-Usage': '10,2'},
        'body': base64.b64encode(b'bale').decode(),
        'tokens': 20,
    }
    site.call('front-1', 'POST', '/audit/x', {'items': [item]}, attempt_id='b1')
    until = time.monotonic() + WAIT_S
    while count_results(site) == 0:
        assert time.monotonic() < until, 'the item was not completed'
        time.sleep(0.1)


@pytest.mark.parametrize('status', [b'500 Failed', b'503 Busy', b'404 No'])
def test_error_of_the_next_engine_stands_in_a_broken_stream(
    site, start_engine, status
):
    """The stream is cut; it has neither the head nor the text of the error."""

    asked = []

    def script(request_id, connection, before):
        asked.append(request_id)
        if len(asked) == 1:
            rows = (SEAL, CHUNKED, b'\r\n', chunk(EVENTS[:16]))
            return head(request_id, *rows), True
        rows = (SEAL, b'content-length: 8\r\n\r\n', b'its text')
        return head(request_id, *rows, status=status), False

    start_engine(script)
    start_engine(script)
    answered, body = ask(site, 's1', path='/check/1')
    assert answered is None
    assert b'text' not in body
    assert b'HTTP' not in body
    assert EVENTS.startswith(body)
    assert asked == [b's1', b's1']


@pytest.mark.parametrize('length', [20, 60, 95])
def test_head_that_stops_midway_is_framed_as_a_whole_answer(
    site, start_engine, length
):
    """The caller gets an error, since the request may have run."""
    start_engine(
        lambda request_id, connection, before: (
            whole(request_id)[:length],
            True,
        )
    )
    assert ask(site, 'h1')[0] == 502


def test_stream_without_length_or_chunks_is_whole(site, start_engine):
    """It ends with its connection."""
    start_engine(
        lambda request_id, connection, before: (
            head(request_id, SEAL, b'\r\n', EVENTS),
            True,
        )
    )
    assert ask(site, 'u1') == (200, EVENTS)


@pytest.mark.parametrize('length', [5, 20])
def test_stream_without_framing_that_ends_inside_an_event_looks_whole(
    site, start_engine, length
):
    """It was broken off, and is cut or refused as such."""
    start_engine(
        lambda request_id, connection, before: (
            head(request_id, SEAL, b'\r\n', EVENTS[:length]),
            True,
        )
    )
    status, body = ask(site, 'u1')
    assert status in {None, 502}
    assert status == 502 or EVENTS.startswith(body)


def test_stream_without_framing_and_events_looks_whole(site, start_engine):
    """An engine that crashes before its first event ends it the same way."""
    start_engine(
        lambda request_id, connection, before: (
            head(request_id, SEAL, b'\r\n'),
            True,
        )
    )
    assert ask(site, 'u1')[0] == 502


def test_header_with_other_characters_ends_the_request(site, start_engine):
    """Headers beyond ASCII are passed on, to the engine and to the caller."""
    named = b'x-name: Jos\xe9\r\n'
    engine = start_engine(
        lambda request_id, connection, before: (
            head(request_id, SEAL, named, EMPTY),
            False,
        )
    )
    with socket.create_connection(('127.0.0.1', site.fronts['front-1'])) as one:
        one.settimeout(WAIT_S)
        one.sendall(
            b''.join([
                b'POST /scan/1 HTTP/1.1\r\nhost: scans.example\r\n',
                b'authorization: Bearer key-of-gin-yards\r\n',
                b'attempt-id: a1\r\nconnection: close\r\n',
                b'content-length: 0\r\n',
                named,
                b'\r\n',
            ])
        )
        answer = one.makefile('rb').read()
    assert engine.ran == [b'a1']
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert named in answer
