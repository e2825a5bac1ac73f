"""Tests with peers that send without end.

They must not block tasks and timeouts or use unlimited memory.
"""

import contextlib
import multiprocessing
import socket
import threading
import time

import curio
import h11
import pytest
from curio import socket as curio_socket
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthmount.answer_memory import AnswerMemory
from jacinthmount.errors import EndlessAnswer, EndpointFailed
from jacinthmount.event_stream import EVENT_END, MAX_EVENT_BYTES, EventChecker
from jacinthmount.records import serialize_msgpack
from jacinthmount_node.messages import Envelope, Hello
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import (
    ATTEMPT_ERRORS,
    TRANSPORT_ERRORS,
    Exchange,
)
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.peers import PeerLink, PeerServer
from jacinthmount_node.net.sockets import listen
from jacinthmount_node.relay.endpoint_responses import iter_events
from jacinthmount_standin.addresses import LOOPBACK, PortReserve

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % HEAD
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 400
LONG_BODY = b'%bcontent-length: 100000000000\r\n\r\n' % HEAD
CHUNK = b'10000\r\n%b\r\n' % (b'x' * 65_536)
TINY_CHUNKS = b'1;%b\r\nx\r\n' % (b'e' * 4000) * 16
HEADER = b'%bx-more: ' % HEAD
# The head of an answer, and the bytes that are repeated after it.
ENDLESS = {
    'interim answers': (b'', INTERIM),
    'header': (HEADER, b'y' * 65_536),
    'body with a length': (LONG_BODY, b'x' * 65_536),
    'body in chunks': (CHUNKED, CHUNK),
    'chunk extensions': (CHUNKED, TINY_CHUNKS),
}
# A sender stops after this time, so that a failing test ends.
SENDER_TIMEOUT_S = 6.0
MAX_DELAY_S = 0.05
TICK_S = 0.005
LIMIT_S = 1.0
MAX_ACCEPTED = 64
# Tolerance for a host that is busy with other processes.
TOLERANCE_S = 1.0
SENDERS = 8
BOUND_BYTES = 4_194_304
REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\n'
CALLER_GARBAGE = {
    'body in chunks': (
        b'%btransfer-encoding: chunked\r\n\r\n' % REQUEST,
        CHUNK,
    ),
    'chunk extensions': (
        b'%btransfer-encoding: chunked\r\n\r\n' % REQUEST,
        TINY_CHUNKS,
    ),
    'body with a length': (
        b'%bcontent-length: 100000000000\r\n\r\n' % REQUEST,
        b'x' * 65_536,
    ),
    'header': (b'%bx-more: ' % REQUEST, b'y' * 65_536),
}
HELLO = Hello(host='east-h1', incarnation='i1', data_centre='east')
GREETING = serialize_msgpack(Envelope(number=1, reply=False, body=HELLO))
UNREQUESTED = serialize_msgpack(Envelope(number=9, reply=True, body=HELLO))
LONG_TEXT = b'\xdb\xff\xff\xff\xff%b' % (b'x' * 65_536)
LONG_LIST = b'\xdd\x7f\xff\xff\xff%b' % (b'\x01' * 65_536)
PEER_GARBAGE = {
    'a text that never ends': LONG_TEXT,
    'a list that never ends': LONG_LIST,
    'numbers': b'\x01' * 65_536,
    'greetings': GREETING * 400,
    'answers nobody waits for': UNREQUESTED * 400,
}
PEER_ERRORS = (*TRANSPORT_ERRORS, EndpointFailed, TimeoutError)


class EndlessServer:
    """A server process that answers each connection with endless bytes."""

    def __init__(self, head, piece):
        """Starts the process, which listens on an unused port."""
        sock = socket.create_server((LOOPBACK, 0), backlog=64)
        self.address = f'{LOOPBACK}:{sock.getsockname()[1]}'
        self._process = multiprocessing.get_context('fork').Process(
            target=accept_all,
            args=(sock, head, piece),
            daemon=True,
        )
        self._process.start()
        sock.close()

    def close(self):
        """Ends the process."""
        self._process.kill()
        self._process.join()


def accept_all(sock, head, piece):
    """Serves each connection in a thread until killed."""
    for _ in range(MAX_ACCEPTED):
        conn, _ = sock.accept()
        threading.Thread(
            target=send_endlessly,
            args=(conn, head, piece),
            daemon=True,
        ).start()


def send_endlessly(conn, head, piece):
    """Sends until the caller closes or the sender times out."""
    ends_at = time.monotonic() + SENDER_TIMEOUT_S
    with conn, contextlib.suppress(OSError):
        conn.recv(65_536)
        conn.sendall(head)
        while time.monotonic() < ends_at:
            conn.sendall(piece)


@pytest.fixture
def endless():
    """Returns a function that starts a server with endless answers."""
    started = []

    def start(kind):
        server = EndlessServer(*ENDLESS[kind])
        started.append(server)
        return server

    yield start
    for server in started:
        server.close()


@pytest.fixture
def peer_address():
    """An unused address."""
    reserve = PortReserve()
    yield f'{LOOPBACK}:{reserve.take(1)[0]}'
    reserve.close()


async def longest_delay(stop):
    """Measures how long a task that is ready has to wait for others.

    :returns: the longest delay in seconds of processor time, which does not
        include the time of other processes.
    """
    longest = 0.0
    while not stop.is_set():
        before = time.process_time()
        await curio.sleep(TICK_S)
        longest = max(longest, time.process_time() - before - TICK_S)
    return longest


async def fetch_endless(pool, address):
    """Reads an endless answer with a timeout, which must give an error.

    :returns: seconds until the reading ended.
    """
    before = time.monotonic()
    exchange = await pool.open(address, no_reuse=True)
    with pytest.raises(PEER_ERRORS):
        async with curio.timeout_after(LIMIT_S):
            await exchange.send('GET', '/', [], b'')
            await exchange.read_head()
            await exchange.read_body()
    await exchange.close()
    return time.monotonic() - before


async def fetch_and_measure(address, count):
    """Reads several answers of a server concurrently and measures delays.

    :returns: the longest reading and the longest delay of a task, in seconds.
    """
    stop = curio.Event()
    ticks = await curio.spawn(longest_delay, stop)
    pool = ClientPool()
    async with curio.TaskGroup() as group:
        for _ in range(count):
            await group.spawn(fetch_endless, pool, address)
    await stop.set()
    return max(group.results), await ticks.join()


@pytest.mark.parametrize('kind', ENDLESS)
@pytest.mark.parametrize('count', [1, SENDERS])
def test_others_get_their_turn(endless, kind, count):
    """A sender that never pauses delays neither other tasks nor timeouts."""
    server = endless(kind)
    read_s, delay_s = curio.run(fetch_and_measure, server.address, count)
    assert read_s < LIMIT_S + TOLERANCE_S
    assert delay_s < MAX_DELAY_S


class CountingPattern:
    """A pattern that counts the bytes in which it searches."""

    def __init__(self, pattern):
        """Wraps a pattern."""
        self._pattern = pattern
        self.searched_bytes = 0

    def search(self, text, start=0):
        """Finds the next match."""
        found = self._pattern.search(text, start)
        ends_at = found.end() if found else len(text)
        self.searched_bytes += ends_at - start
        return found

    def finditer(self, text, start=0):
        """Finds all matches."""
        self.searched_bytes += len(text) - start
        return self._pattern.finditer(text, start)


@pytest.mark.parametrize('piece_bytes', [1448, 16_384])
def test_work_grows_with_the_bytes_of_a_stream(monkeypatch, piece_bytes):
    """Each byte of an endless event is searched once, not at each piece."""
    pattern = CountingPattern(EVENT_END)
    monkeypatch.setattr(
        'jacinthmount.event_stream.EVENT_END',
        pattern,
    )
    checker = EventChecker()
    fed = 0
    while fed < MAX_EVENT_BYTES:
        checker.feed(b'x' * piece_bytes)
        fed += piece_bytes
        if fed + piece_bytes > MAX_EVENT_BYTES:
            break
    assert pattern.searched_bytes <= 2 * fed


def test_comments_without_end_are_refused():
    """Unnumbered events between two numbered ones are limited."""
    checker = EventChecker()
    comment = b': still here\n\n' * 1000
    with pytest.raises(EndlessAnswer):
        for _ in range(200):
            checker.feed(comment)


def test_largest_event_passes():
    """An event of the largest allowed size is parsed from many pieces."""
    packed = b'id: 1\ndata: %b\n\n' % (b'x' * (MAX_EVENT_BYTES - 20))
    checker = EventChecker()
    found = []
    for start in range(0, len(packed), 4096):
        found.extend(checker.feed(packed[start : start + 4096]))
    assert [event.number for event in found] == [1]


def test_endless_digits_are_no_number():
    """An id of thousands of digits is ignored and raises no error."""
    found = EventChecker().feed(b'id: %b\ndata: x\n\n' % (b'9' * 5000))
    assert found[0].number is None


@given(
    sizes=st.lists(
        st.tuples(st.integers(0, 7), st.integers(0, 400)), max_size=60
    ),
)
def test_memory_of_all_answers_is_bounded(sizes):
    """The counted bytes of all answers stay within the limit."""
    memory = AnswerMemory(limit_bytes=1000)
    for holder, size in sizes:
        memory.track_bytes(holder, size)
        assert memory.total <= memory.limit_bytes


def test_largest_answer_is_broken_off():
    """The largest answer is aborted; answers of usual size continue."""
    memory = AnswerMemory(limit_bytes=100)
    assert memory.track_bytes('endless', 90) is None
    assert memory.track_bytes('usual', 8) is None
    assert memory.track_bytes('usual', 12) == 'endless'
    assert memory.total == 12


def test_bodies_without_end_share_one_bound(endless):
    """Concurrent endless bodies share one limit, and each of them ends."""
    memory = AnswerMemory(limit_bytes=BOUND_BYTES)
    server = endless('body with a length')

    async def fetch_all():
        pool = ClientPool(memory=memory)
        async with curio.TaskGroup() as group:
            for _ in range(SENDERS):
                await group.spawn(fetch_endless, pool, server.address)

    curio.run(fetch_all)
    assert memory.total == 0
    assert memory.peak_bytes <= BOUND_BYTES


async def talk_to_peer_server(address, packed):
    """Sends bytes to a host, and then a valid request on another link.

    :returns: the reply to the request.
    """
    metrics = Metrics()
    server = PeerServer(
        sock=listen(address),
        context=None,
        handler=echo,
        metrics=metrics,
    )
    serving = await curio.spawn(server.run, daemon=True)
    host, port = address.split(':')
    raw = await curio_socket.create_connection((host, int(port)))
    await send_repeatedly(raw, packed)
    link = make_link(address, metrics)
    running = await curio.spawn(link.run, daemon=True)
    reply = await link.request(HELLO, LIMIT_S)
    await running.cancel()
    await serving.cancel()
    return reply


async def send_repeatedly(conn, packed):
    """Sends repeatedly until the other end closes or the timeout expires."""
    with contextlib.suppress(OSError):
        async with curio.ignore_after(LIMIT_S):
            while True:
                await conn.sendall(packed)
    await conn.close()


def make_link(address, metrics):
    """Creates a link to a host."""
    return PeerLink(
        address=address,
        local_ip='',
        context=None,
        hello=HELLO,
        metrics=metrics,
    )


async def echo(body, hello):
    """Replies with the request."""
    return body


@pytest.mark.parametrize('kind', PEER_GARBAGE)
def test_peer_that_never_ends_a_message(peer_address, kind):
    """The connection of a host that sends garbage does not block others."""
    reply = curio.run(talk_to_peer_server, peer_address, PEER_GARBAGE[kind])
    assert reply == HELLO


async def send_to_server(address, head, piece):
    """Sends an endless request and measures the delay of other tasks.

    :returns: the longest delay in seconds, and the answer of the server.
    """

    async def read_body(request, responder):
        await request.read_body()

    server = HttpServer(sock=listen(address), handler=read_body)
    serving = await curio.spawn(server.run, daemon=True)
    stop = curio.Event()
    ticks = await curio.spawn(longest_delay, stop)
    received = await curio.run_in_thread(send_blocking, address, head, piece)
    await stop.set()
    delay_s = await ticks.join()
    await serving.cancel()
    return delay_s, received


def send_blocking(address, head, piece):
    """Sends until the server answers or closes."""
    host, port = address.split(':')
    with socket.create_connection((host, int(port)), SENDER_TIMEOUT_S) as conn:
        with contextlib.suppress(OSError):
            conn.sendall(head)
            for _ in range(10_000):
                conn.sendall(piece)
        with contextlib.suppress(OSError):
            return conn.recv(65_536)
    return b''


@pytest.mark.parametrize('kind', CALLER_GARBAGE)
def test_caller_that_never_ends_a_request(peer_address, kind):
    """An endless request does not delay other tasks."""
    head, piece = CALLER_GARBAGE[kind]
    delay_s, _ = curio.run(send_to_server, peer_address, head, piece)
    assert delay_s < MAX_DELAY_S


async def listen_after_garbage(address, packed):
    """Answers a link with garbage at first, and then correctly.

    :returns: the reply to a request on the same link.
    """
    metrics = Metrics()
    sock = listen(address)
    link = make_link(address, metrics)
    running = await curio.spawn(link.run, daemon=True)
    conn, _ = await sock.accept()
    await send_repeatedly(conn, packed)
    server = PeerServer(sock=sock, context=None, handler=echo, metrics=metrics)
    serving = await curio.spawn(server.run, daemon=True)
    await curio.sleep(LIMIT_S)
    reply = await link.request(HELLO, LIMIT_S)
    await running.cancel()
    await serving.cancel()
    return reply


@pytest.mark.parametrize('kind', PEER_GARBAGE)
def test_link_outlives_garbage(peer_address, kind):
    """A link that received garbage reconnects and works again."""
    packed = PEER_GARBAGE[kind]
    reply = curio.run(listen_after_garbage, peer_address, packed)
    assert reply == HELLO


VALID = (
    b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\ntransfer-encoding: chunked\r\n'
    b'\r\n19\r\nid: 1\ndata: a\n\nid: 2\ndata\r\n5\r\n: b\n\n\r\n0\r\n\r\n'
)
VALID_EVENTS = [1, 2]


async def read_events(local, remote, pieces):
    """Reads a stream that arrives in pieces and then ends.

    :returns: numbers of the events, or None if the stream is incomplete.
    """
    memory = AnswerMemory()
    exchange = Exchange(
        address='',
        sock=local,
        wire=h11.Connection(h11.CLIENT, max_incomplete_event_size=32_768),
        memory=memory,
    )
    await exchange.send('GET', '/', [('host', 'a')], b'')
    sending = await curio.spawn(send_pieces, remote, pieces)
    numbers = []
    try:
        await exchange.read_head(framed=False)
        async for events in iter_events(exchange, EventChecker()):
            numbers.extend(event.number for event in events)
    except ATTEMPT_ERRORS:
        numbers = None
    # A complete answer uses no part of the memory budget.
    if numbers is not None:
        assert not memory.total
    await exchange.close()
    await sending.join()
    assert not memory.total
    return numbers


async def send_pieces(remote, pieces):
    """Sends all pieces and closes the socket."""
    with contextlib.suppress(OSError):
        for piece in pieces:
            await remote.sendall(piece)
    await remote.close()


@given(
    garbage=st.binary(max_size=60)
    | st.sampled_from([
        b'\r\n',
        b'HTTP/1.1 103 x\r\n\r\n',
        b'id: 7\n\n',
        b'0\r\n\r\n',
        b'id: %b\n\n' % (b'8' * 5000),
        b'a' * 40_000,
    ]),
    at=st.integers(0, len(VALID)),
    removed=st.integers(0, 20),
    cuts=st.lists(st.integers(1, 60), max_size=8),
)
@settings(max_examples=300, deadline=None)
def test_any_garbage_is_whole_broken_or_a_coded_error(
    garbage, at, removed, cuts
):
    """Damage anywhere raises only errors that an attempt handles."""
    packed = VALID[:at] + garbage + VALID[at + removed :]
    pieces = []
    for size in cuts:
        pieces.append(packed[:size])
        packed = packed[size:]
    pieces.append(packed)
    numbers = curio.run(read_damaged, pieces)
    if numbers is not None:
        counted = [number for number in numbers if number is not None]
        assert counted == sorted(set(counted))


def test_large_events_are_not_counted_once_they_are_whole():
    """The bytes of an incomplete event are released once it is complete."""
    packed = b'id: 1\ndata: %b\n\nid: 2\n\n' % (b'x' * 200_000)
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(packed)
    pieces = [head, *(packed[at : at + 9000] for at in range(0, 200_020, 9000))]
    assert curio.run(read_damaged, pieces) == VALID_EVENTS


def test_sound_stream_is_whole():
    """The stream that other tests damage is complete without damage."""
    assert curio.run(read_damaged, [VALID]) == VALID_EVENTS


async def read_damaged(pieces):
    """Reads the pieces of a stream over a pair of sockets."""
    local, remote = curio_socket.socketpair()
    return await read_events(local, remote, pieces)
