"""Peers that send without end: no task, turn or memory is taken for good."""

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
from jacinthmount_node.net.http_client import (
    ATTEMPT_ERRORS,
    TRANSPORT_ERRORS,
    ClientPool,
    Exchange,
)
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.peers import PeerLink, PeerServer
from jacinthmount_node.net.sockets import listen
from jacinthmount_node.relay.endpoint_answers import iter_events
from jacinthmount_standin.addresses import LOOPBACK, PortReserve

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % HEAD
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 400
LONG_BODY = b'%bcontent-length: 100000000000\r\n\r\n' % HEAD
CHUNK = b'10000\r\n%b\r\n' % (b'x' * 65_536)
TINY_CHUNKS = b'1;%b\r\nx\r\n' % (b'e' * 4000) * 16
HEADER = b'%bx-more: ' % HEAD
# The head, and what follows for as long as the caller reads.
ENDLESS = {
    'interim answers': (b'', INTERIM),
    'header': (HEADER, b'y' * 65_536),
    'body with a length': (LONG_BODY, b'x' * 65_536),
    'body in chunks': (CHUNKED, CHUNK),
    'chunk extensions': (CHUNKED, TINY_CHUNKS),
}
# A sender gives up after this time, so that a test that fails ends.
PATIENCE_S = 6.0
TURN_BOUND_S = 0.05
TICK_S = 0.005
LIMIT_S = 1.0
MAX_ACCEPTED = 64
# For a machine that is busy with other processes.
LATE_S = 1.0
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
UNASKED = serialize_msgpack(Envelope(number=9, reply=True, body=HELLO))
LONG_TEXT = b'\xdb\xff\xff\xff\xff%b' % (b'x' * 65_536)
LONG_LIST = b'\xdd\x7f\xff\xff\xff%b' % (b'\x01' * 65_536)
PEER_GARBAGE = {
    'a text that never ends': LONG_TEXT,
    'a list that never ends': LONG_LIST,
    'numbers': b'\x01' * 65_536,
    'greetings': GREETING * 400,
    'answers nobody waits for': UNASKED * 400,
}
PEER_ERRORS = (*TRANSPORT_ERRORS, EndpointFailed, TimeoutError)


class EndlessServer:
    """Answers each connection with bytes that never end, in another process."""

    def __init__(self, head, piece):
        """Starts listening on a port of its own."""
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
    """Sends until the caller closes, or until it has had time enough."""
    ends_at = time.monotonic() + PATIENCE_S
    with conn, contextlib.suppress(OSError):
        conn.recv(65_536)
        conn.sendall(head)
        while time.monotonic() < ends_at:
            conn.sendall(piece)


@pytest.fixture
def endless():
    """Starts servers that send without end."""
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
    """An address that nobody else uses."""
    reserve = PortReserve()
    yield f'{LOOPBACK}:{reserve.take(1)[0]}'
    reserve.close()


async def longest_turn(stop):
    """Measures the work between two turns of a task that is due.

    :returns: the longest, in seconds of processor time, so that what other
        processes take does not count.
    """
    longest = 0.0
    while not stop.is_set():
        before = time.process_time()
        await curio.sleep(TICK_S)
        longest = max(longest, time.process_time() - before - TICK_S)
    return longest


async def fetch_whole(pool, address):
    """Reads one whole answer within a limit.

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


async def fetch_beside_ticks(address, count):
    """Reads from a server some times at once, and measures turns.

    :returns: the longest reading and the longest turn, in seconds.
    """
    stop = curio.Event()
    ticks = await curio.spawn(longest_turn, stop)
    pool = ClientPool()
    async with curio.TaskGroup() as group:
        for _ in range(count):
            await group.spawn(fetch_whole, pool, address)
    await stop.set()
    return max(group.results), await ticks.join()


@pytest.mark.parametrize('kind', ENDLESS)
@pytest.mark.parametrize('count', [1, SENDERS])
def test_others_get_their_turn(endless, kind, count):
    """A sender that never pauses holds up neither others nor time limits."""
    server = endless(kind)
    took_s, turn_s = curio.run(fetch_beside_ticks, server.address, count)
    assert took_s < LIMIT_S + LATE_S
    assert turn_s < TURN_BOUND_S


class CountingPattern:
    """Counts the bytes that a pattern may look at."""

    def __init__(self, pattern):
        """Takes the pattern that does the work."""
        self._pattern = pattern
        self.looked_at = 0

    def search(self, text, start=0):
        """Finds the next match."""
        found = self._pattern.search(text, start)
        ends_at = found.end() if found else len(text)
        self.looked_at += ends_at - start
        return found

    def finditer(self, text, start=0):
        """Finds all matches."""
        self.looked_at += len(text) - start
        return self._pattern.finditer(text, start)


@pytest.mark.parametrize('piece_bytes', [1448, 16_384])
def test_work_grows_with_the_bytes_of_a_stream(monkeypatch, piece_bytes):
    """An event that never ends is searched once, not at each piece."""
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
    assert pattern.looked_at <= 2 * fed


def test_comments_without_end_are_refused():
    """Events without a number may not go on for ever between numbered ones."""
    checker = EventChecker()
    comment = b': still here\n\n' * 1000
    with pytest.raises(EndlessAnswer):
        for _ in range(200):
            checker.feed(comment)


def test_largest_event_passes():
    """An event of the largest size allowed is whole, in any pieces."""
    packed = b'id: 1\ndata: %b\n\n' % (b'x' * (MAX_EVENT_BYTES - 20))
    checker = EventChecker()
    found = []
    for start in range(0, len(packed), 4096):
        found.extend(checker.feed(packed[start : start + 4096]))
    assert [one.number for one in found] == [1]


def test_endless_digits_are_no_number():
    """A number of thousands of digits raises no error that nobody expects."""
    found = EventChecker().feed(b'id: %b\ndata: x\n\n' % (b'9' * 5000))
    assert found[0].number is None


@given(
    sizes=st.lists(
        st.tuples(st.integers(0, 7), st.integers(0, 400)), max_size=60
    ),
)
def test_memory_of_all_answers_is_bounded(sizes):
    """Whatever grows, the bytes counted stay within the limit."""
    memory = AnswerMemory(limit_bytes=1000)
    for holder, size in sizes:
        memory.track_bytes(holder, size)
        assert memory.used_bytes <= memory.limit_bytes


def test_largest_answer_is_broken_off():
    """Answers of usual size go on beside one that never ends."""
    memory = AnswerMemory(limit_bytes=100)
    assert memory.track_bytes('endless', 90) is None
    assert memory.track_bytes('usual', 8) is None
    assert memory.track_bytes('usual', 12) == 'endless'
    assert memory.used_bytes == 12


def test_bodies_without_end_share_one_bound(endless):
    """Eight at once take no more than one bound, and each of them ends."""
    memory = AnswerMemory(limit_bytes=BOUND_BYTES)
    server = endless('body with a length')

    async def fetch_all():
        pool = ClientPool(memory=memory)
        async with curio.TaskGroup() as group:
            for _ in range(SENDERS):
                await group.spawn(fetch_whole, pool, server.address)

    curio.run(fetch_all)
    assert memory.used_bytes == 0
    assert memory.peak_bytes <= BOUND_BYTES


async def talk_to_peer_server(address, packed):
    """Sends bytes to a host, and then a sound question on another link.

    :returns: the answer to the question.
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
    await send_for_long(raw, packed)
    link = make_link(address, metrics)
    running = await curio.spawn(link.run, daemon=True)
    reply = await link.request(HELLO, LIMIT_S)
    await running.cancel()
    await serving.cancel()
    return reply


async def send_for_long(conn, packed):
    """Sends again and again, until the other end closes or time is up."""
    with contextlib.suppress(OSError):
        async with curio.ignore_after(LIMIT_S):
            while True:
                await conn.sendall(packed)
    await conn.close()


def make_link(address, metrics):
    """Makes a link to a host."""
    return PeerLink(
        address=address,
        local_ip='',
        context=None,
        hello=HELLO,
        metrics=metrics,
    )


async def echo(body, hello):
    """Answers with what was asked."""
    return body


@pytest.mark.parametrize('kind', PEER_GARBAGE)
def test_peer_that_never_ends_a_message(peer_address, kind):
    """A host that sends garbage without end is closed; others are answered."""
    reply = curio.run(talk_to_peer_server, peer_address, PEER_GARBAGE[kind])
    assert reply == HELLO


async def send_to_server(address, head, piece):
    """Sends a request without end beside ticks.

    :returns: the longest turn in seconds, and what the server answered.
    """

    async def read_body(request, responder):
        await request.read_body()

    server = HttpServer(sock=listen(address), handler=read_body)
    serving = await curio.spawn(server.run, daemon=True)
    stop = curio.Event()
    ticks = await curio.spawn(longest_turn, stop)
    received = await curio.run_in_thread(push, address, head, piece)
    await stop.set()
    turn_s = await ticks.join()
    await serving.cancel()
    return turn_s, received


def push(address, head, piece):
    """Sends until the server answers or closes."""
    host, port = address.split(':')
    with socket.create_connection((host, int(port)), PATIENCE_S) as conn:
        with contextlib.suppress(OSError):
            conn.sendall(head)
            for _ in range(10_000):
                conn.sendall(piece)
        with contextlib.suppress(OSError):
            return conn.recv(65_536)
    return b''


@pytest.mark.parametrize('kind', CALLER_GARBAGE)
def test_caller_that_never_ends_a_request(peer_address, kind):
    """A caller without end holds nobody up and is refused."""
    head, piece = CALLER_GARBAGE[kind]
    turn_s, _ = curio.run(send_to_server, peer_address, head, piece)
    assert turn_s < TURN_BOUND_S


async def listen_after_garbage(address, packed):
    """Answers a link with garbage first, and then properly.

    :returns: the answer to a question on the same link.
    """
    metrics = Metrics()
    sock = listen(address)
    link = make_link(address, metrics)
    running = await curio.spawn(link.run, daemon=True)
    conn, _ = await sock.accept()
    await send_for_long(conn, packed)
    server = PeerServer(sock=sock, context=None, handler=echo, metrics=metrics)
    serving = await curio.spawn(server.run, daemon=True)
    await curio.sleep(LIMIT_S)
    reply = await link.request(HELLO, LIMIT_S)
    await running.cancel()
    await serving.cancel()
    return reply


@pytest.mark.parametrize('kind', PEER_GARBAGE)
def test_link_outlives_garbage(peer_address, kind):
    """A link that got garbage connects anew and is used again."""
    packed = PEER_GARBAGE[kind]
    reply = curio.run(listen_after_garbage, peer_address, packed)
    assert reply == HELLO


SOUND = (
    b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\ntransfer-encoding: chunked\r\n'
    b'\r\n19\r\nid: 1\ndata: a\n\nid: 2\ndata\r\n5\r\n: b\n\n\r\n0\r\n\r\n'
)
SOUND_EVENTS = [1, 2]


async def read_events(near, far, pieces):
    """Reads a stream that arrives in pieces and then ends.

    :returns: numbers of the events, or None if it is not whole.
    """
    memory = AnswerMemory()
    exchange = Exchange(
        address='',
        sock=near,
        wire=h11.Connection(h11.CLIENT, max_incomplete_event_size=32_768),
        memory=memory,
    )
    await exchange.send('GET', '/', [('host', 'a')], b'')
    sending = await curio.spawn(send_pieces, far, pieces)
    numbers = []
    try:
        await exchange.read_head(framed=False)
        async for events in iter_events(exchange, EventChecker()):
            numbers.extend(one.number for one in events)
    except ATTEMPT_ERRORS:
        numbers = None
    # Nothing is counted for an answer that has ended.
    if numbers is not None:
        assert not memory.used_bytes
    await exchange.close()
    await sending.join()
    assert not memory.used_bytes
    return numbers


async def send_pieces(far, pieces):
    """Sends all pieces, and closes."""
    with contextlib.suppress(OSError):
        for piece in pieces:
            await far.sendall(piece)
    await far.close()


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
    at=st.integers(0, len(SOUND)),
    instead=st.integers(0, 20),
    cuts=st.lists(st.integers(1, 60), max_size=8),
)
@settings(max_examples=300, deadline=None)
def test_any_garbage_is_whole_broken_or_a_coded_error(
    garbage, at, instead, cuts
):
    """Bytes spoilt anywhere raise nothing but the errors of an attempt."""
    packed = SOUND[:at] + garbage + SOUND[at + instead :]
    pieces = []
    for size in cuts:
        pieces.append(packed[:size])
        packed = packed[size:]
    pieces.append(packed)
    numbers = curio.run(read_spoilt, pieces)
    if numbers is not None:
        counted = [one for one in numbers if one is not None]
        assert counted == sorted(set(counted))


def test_large_events_are_not_counted_once_they_are_whole():
    """What was counted while an event came in is given back."""
    packed = b'id: 1\ndata: %b\n\nid: 2\n\n' % (b'x' * 200_000)
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(packed)
    pieces = [head, *(packed[at : at + 9000] for at in range(0, 200_020, 9000))]
    assert curio.run(read_spoilt, pieces) == SOUND_EVENTS


def test_sound_stream_is_whole():
    """The stream that the test before spoils is whole as it is."""
    assert curio.run(read_spoilt, [SOUND]) == SOUND_EVENTS


async def read_spoilt(pieces):
    """Reads pieces over a pair of sockets."""
    near, far = curio_socket.socketpair()
    return await read_events(near, far, pieces)
