"""An abort of this host is not taken for the end of an endpoint's answer."""

import contextlib
import time

import curio
import h11
import pytest
from curio import socket as curio_socket
from jacinthmount.answer_memory import AnswerMemory
from jacinthmount.errors import EndlessAnswer, EndpointFailed
from jacinthmount_node.net.http_client import Exchange
from jacinthmount_platform_standin.site import PlatformSite

from tests.raw_engine import RawEngine, register
from tests.silences import EVENT_S, begin, check_whole, join, wait_events

SILENCE_S = 1.2
SLOTS = 12
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n'
FRAMED = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 16\r\nconnection: close\r\n\r\n'
    b'id: 1\ndata: a\n\n\n'
)


async def read_aborted(answer, abort):
    """Reads an answer whose connection this host aborts meanwhile."""
    local, remote = curio_socket.socketpair()
    exchange = Exchange(
        address='',
        sock=local,
        wire=h11.Connection(h11.CLIENT),
        memory=AnswerMemory(),
    )
    await exchange.send('GET', '/', [('host', 'a')], b'')
    await remote.sendall(answer)
    await exchange.read_head(framed=False)
    reading = await curio.spawn(exchange.read_body)
    await curio.sleep(0.05)
    abort(exchange)
    try:
        return await reading.join()
    except curio.TaskError as exc:
        raise exc.__cause__ from None
    finally:
        await exchange.close()
        await remote.close()


@pytest.mark.parametrize(
    ('abort', 'error'),
    [
        (Exchange.abort, EndpointFailed),
        (Exchange.abort_over_budget, EndlessAnswer),
    ],
    ids=['given up', 'over the budget'],
)
def test_aborted_answer_without_framing_is_complete(abort, error):
    """Guards against a cut answer that callers take for a whole one."""
    with pytest.raises(error):
        curio.run(read_aborted, UNFRAMED, abort)


def test_answer_that_was_complete_before_is_kept():
    """An answer with a length has an end of its own."""
    body = FRAMED.partition(b'\r\n\r\n')[2]
    assert curio.run(read_aborted, FRAMED, Exchange.abort) == body


class UnframedEngine(RawEngine):
    """Streams events in answers that end with their connections.

    While ``silent_until`` lies ahead, in monotonic seconds, it sends nothing.
    """

    def __init__(self):
        """Listens on a free port."""
        self.silent_until = 0.0
        self.running = 0
        super().__init__(script=None)

    def _serve(self, conn, connection):
        with conn, contextlib.suppress(OSError):
            reader = conn.makefile('rb')
            fields = {}
            for line in iter(reader.readline, b'\r\n'):
                name, _, text = line.decode('latin-1').partition(':')
                fields[name.lower()] = text.strip()
            reader.read(int(fields.get('content-length', '0')))
            self.running += 1
            try:
                self._stream(conn, fields)
            finally:
                self.running -= 1

    def _stream(self, conn, fields):
        request_id = fields['attempt-id']
        first = int(fields.get('last-event-id', '0')) + 1
        count = int(fields['token-usage'].partition(',')[2])
        conn.sendall(
            f'HTTP/1.1 200 OK\r\nattempt-id: {request_id}\r\n'
            'server-seal: s\r\nconnection: close\r\n\r\n'.encode()
        )
        for number in range(first, count + 1):
            time.sleep(EVENT_S)
            time.sleep(max(0.0, self.silent_until - time.monotonic()))
            event = f'id: {number}\ndata: {request_id} {number} v1\n\n'
            conn.sendall(event.encode())


@pytest.fixture
def site(tmp_path):
    """A site of one front and two runners, without engines."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=2)
    try:
        found.start(engines=0)
        yield found
    finally:
        found.stop()


@pytest.fixture
def engines(site):
    """Two registered engines whose answers have no length."""
    made = [UnframedEngine() for _ in range(2)]
    for engine in made:
        register(site, engine.port, SLOTS)
    yield made
    for engine in made:
        engine.close()


def test_stream_that_leaves_a_silent_engine_ends_as_complete(site, engines):
    """The front gives the attempt up, and goes on at the other engine.

    Guards against streams that end as complete in their middle.
    """
    streams, threads = begin(site, '/check/1')
    wait_events(streams, 5)
    silent = max(engines, key=lambda engine: engine.running)
    silent.silent_until = time.monotonic() + SILENCE_S
    join(threads)
    check_whole(site, streams)
