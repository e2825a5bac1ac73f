"""Tests of the graceful shutdown of the HTTP server."""

import contextlib
import errno
import socket as std_socket

import curio
import pytest
from curio import socket as curio_socket
from jacinthmount.caller_memory import CallerMemory
from jacinthmount_node.net.http_messages import ServerLimits
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import SystemClock, listen
from jacinthmount_standin.addresses import LOOPBACK, PortReserve

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
UNREAD_BODY = b'DELETE / HTTP/1.1\r\nhost: a\r\nx: %b\r\n%b\r\n\r\n' % (
    b'x' * 16_000,
    b'content-length: 100',
)
HELD_BODY = b'POST / HTTP/1.1\r\nhost: a\r\n%b\r\n\r\n%b' % (
    b'content-length: 900000',
    b'x' * 300_000,
)
STREAM_REQUEST = b'GET /stream HTTP/1.1\r\nhost: a\r\n\r\n'


@pytest.fixture
def address():
    """An unused address."""
    reserve = PortReserve()
    yield LOOPBACK, reserve.take(1)[0]
    reserve.close()


async def answer(request, responder):
    """Answers after 0.1 s."""
    await curio.sleep(0.1)
    await responder.send(200, b'whole', [])


async def drain_with(address, talk):
    """Runs a caller on an open connection while the server drains.

    :param talk: coroutine function of the caller.
    :returns: the bytes that the caller received.
    """
    server = HttpServer(
        sock=listen(f'{address[0]}:{address[1]}'),
        handler=answer,
    )
    serving = await curio.spawn(server.run, daemon=True)
    conn = await curio_socket.create_connection(address)
    await curio.sleep(0.05)
    talking = await curio.spawn(talk, conn)
    await server.drain()
    await serving.cancel()
    received = await talking.join()
    await conn.close()
    return received


async def receive_all(conn):
    """Reads until the connection ends."""
    received = b''
    while True:
        piece = await conn.recv(1000)
        if not piece:
            return received
        received += piece


def test_request_that_arrives_as_the_server_drains_is_answered(address):
    """A request on a connection accepted before draining is answered.

    Guards against closing such a connection without an answer, as happened to
    a request sent 2.58 s after SIGTERM.
    """

    async def talk(conn):
        await curio.sleep(0.1)
        await conn.sendall(REQUEST)
        return await receive_all(conn)

    received = curio.run(drain_with, address, talk)
    assert received.endswith(b'whole')
    assert b'connection: close' in received.lower()


def test_incomplete_head_counts_as_a_request(address):
    """A request whose head arrives in two parts is answered."""

    async def talk(conn):
        await conn.sendall(REQUEST[:10])
        await curio.sleep(0.7)
        await conn.sendall(REQUEST[10:])
        return await receive_all(conn)

    received = curio.run(drain_with, address, talk)
    assert received.endswith(b'whole')


def test_idle_connection_does_not_delay_draining(address):
    """An idle connection is closed within 3 s and does not block draining."""

    async def talk(conn):
        return await receive_all(conn)

    started = curio.run(_clock)
    assert not curio.run(drain_with, address, talk)
    assert curio.run(_clock) < started + 3


async def _clock():
    return await curio.clock()


async def _slow_answer(request, responder):
    await curio.sleep(2.0)
    await responder.send(200, b'whole', [])


def test_idle_connections_end_while_others_are_answered(address):
    """Idle connections are closed before a slow answer completes.

    Guards against requests that are accepted on keep-alive connections while
    another request is answered: they were accepted 6.4 s after SIGTERM and cut
    when the process ended.
    """

    idle_first = curio.run(_drain_with_idle, address)
    assert idle_first


async def _drain_with_idle(address):
    """Returns whether the idle connection ended before the busy one."""
    server = HttpServer(
        sock=listen(f'{address[0]}:{address[1]}'),
        handler=_slow_answer,
    )
    await curio.spawn(server.run, daemon=True)
    busy = await curio_socket.create_connection(address)
    idle = await curio_socket.create_connection(address)
    await busy.sendall(REQUEST)
    await curio.sleep(0.05)
    draining = await curio.spawn(server.drain)
    assert not await receive_all(idle)
    idle_first = not draining.terminated
    assert (await receive_all(busy)).endswith(b'whole')
    return idle_first


def test_connection_waiting_for_accept_reset_as_the_server_drains(address):
    """Connections that the kernel has accepted are answered.

    Guards against closing the listener with connections in its queue.
    """
    received = curio.run(_drain_with_queue, address, 8)
    assert len([one for one in received if one.endswith(b'whole')]) == 8


class _QueueListener:
    """A listening socket that fails as its queue is emptied."""

    def __init__(self, *, sock, number, count):
        """Wraps a socket.

        :param number: the error.
        :param count: number of calls that fail, after the first one.
        """
        self._sock = sock
        self._number = number
        self._left = count
        self._waiting = True

    async def accept(self):
        """Waits at first, then fails, then accepts a connection."""
        if self._waiting:
            self._waiting = False
            await curio.sleep(60)
        if self._left:
            self._left -= 1
            raise OSError(self._number, 'accept')
        return await self._sock.accept()

    async def close(self):
        """Closes the socket."""
        await self._sock.close()


@pytest.mark.parametrize('number', [errno.ECONNABORTED, errno.EMFILE])
def test_accept_queue_is_given_up_at_its_first_error(address, number):
    """The error concerns one connection, the others are answered."""
    sock = _QueueListener(
        sock=listen(f'{address[0]}:{address[1]}'), number=number, count=3
    )
    received = curio.run(_drain_with_queue, address, 8, sock)
    assert len([one for one in received if one.endswith(b'whole')]) == 8


def test_accept_queue_that_always_fails_holds_a_stop_up(address):
    """The listener is closed after a bounded number of errors."""
    sock = _QueueListener(
        sock=listen(f'{address[0]}:{address[1]}'),
        number=errno.EMFILE,
        count=10_000,
    )
    assert not any(curio.run(_drain_with_queue, address, 1, sock))


async def _drain_with_queue(address, count, sock=None):
    """Drains a server before it could accept connections with requests.

    :param sock: the listening socket, or None for a usual one.
    :returns: what each caller received.
    """
    server = HttpServer(
        sock=sock or listen(f'{address[0]}:{address[1]}'),
        handler=answer,
    )
    serving = await curio.spawn(server.run, daemon=True)
    await curio.sleep(0.05)
    callers = [std_socket.create_connection(address) for _ in range(count)]
    for caller in callers:
        caller.sendall(REQUEST)
    await server.drain()
    await serving.cancel()
    received = [_read_rest(caller) for caller in callers]
    for caller in callers:
        caller.close()
    return received


def _read_rest(caller):
    """Reads until the connection ends or is reset."""
    received = b''
    with contextlib.suppress(ConnectionResetError):
        while piece := caller.recv(1000):
            received += piece
    return received


def test_connection_closed_without_notice_after_an_answer(address):
    """An answer that began before the stop does not announce the close.

    So the caller may send another request, whose answer announces it.
    """
    received = curio.run(_close_after_stream, address)
    first, _, second = received.partition(b'0\r\n\r\n')
    assert b'connection: close' not in first.lower()
    assert second.endswith(b'whole')
    assert b'connection: close' in second.lower()


async def _stream_or_answer(request, responder):
    if request.path != '/stream':
        await answer(request, responder)
        return
    await responder.start(200, [], b'piece')
    await curio.sleep(0.2)
    await responder.finish()


async def _close_after_stream(address):
    """Asks for a stream, stops the server in it, and asks once more.

    :returns: the bytes that the caller received.
    """
    server = HttpServer(
        sock=listen(f'{address[0]}:{address[1]}'),
        handler=_stream_or_answer,
    )
    serving = await curio.spawn(server.run, daemon=True)
    async with await curio_socket.create_connection(address) as conn:
        await conn.sendall(STREAM_REQUEST)
        received = await conn.recv(1000)
        server.close_after_answers()
        # Until some time after the end of the stream.
        await curio.sleep(0.5)
        await conn.sendall(REQUEST)
        received += await receive_all(conn)
    await serving.cancel()
    return received


def test_pipelined_request_closed_unanswered_as_the_server_drains(address):
    """A request that came before the answer to the one ahead is answered."""

    async def talk(conn):
        await conn.sendall(REQUEST)
        await curio.sleep(0.05)
        await conn.sendall(REQUEST)
        return await receive_all(conn)

    received = curio.run(drain_with, address, talk)
    assert received.count(b'whole') == 2
    assert received.lower().count(b'connection: close') == 1


def test_requests_cut_at_the_end_of_a_drain(address):
    """Whole ones get 504, those whose body never came are not run."""
    received = curio.run(_cut_with_callers, address)
    whole, half, streamed = received
    assert whole.startswith(b'HTTP/1.1 504')
    assert b'"run_state":"outcome_unknown"' in whole
    assert half.startswith(b'HTTP/1.1 503')
    assert b'"run_state":"not_run"' in half
    assert streamed.startswith(b'HTTP/1.1 200')
    assert not streamed.endswith(b'0\r\n\r\n')


async def _answer_never(request, responder):
    await request.read_body()
    if request.path == '/stream':
        await responder.start(200, [], b'piece')
    await curio.Event().wait()


async def _cut_with_callers(address):
    """Cuts the answers of a server with three requests.

    :returns: what the callers received.
    """
    server = HttpServer(
        sock=listen(f'{address[0]}:{address[1]}'),
        handler=_answer_never,
    )
    serving = await curio.spawn(server.run, daemon=True)
    sent = [
        REQUEST,
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nab',
        STREAM_REQUEST,
    ]
    callers = [std_socket.create_connection(address) for _ in sent]
    for caller, request in zip(callers, sent, strict=True):
        caller.sendall(request)
    await curio.sleep(0.3)
    await server.cut_answers()
    await serving.cancel()
    received = [_read_rest(caller) for caller in callers]
    for caller in callers:
        caller.close()
    return received


async def call_with_limits(address, limits, talk):
    """Runs a caller of a server that reads bodies.

    :param talk: coroutine function of the caller.
    :returns: what it returns.
    """

    async def read(request, responder):
        await request.read_body()
        await responder.send(200, b'whole', [])

    sock = listen(f'{address[0]}:{address[1]}')
    server = HttpServer(sock=sock, handler=read, limits=limits)
    serving = await curio.spawn(server.run, daemon=True)
    conn = await curio_socket.create_connection(address)
    try:
        return await curio.timeout_after(5, talk, conn)
    finally:
        await conn.close()
        await serving.cancel()


def test_whole_body_has_a_bounded_time(address):
    """A caller that sends a byte now and then is refused as not run."""

    async def talk(conn):
        await conn.sendall(
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n'
        )
        received = None
        while not received:
            await conn.sendall(b'x')
            received = await curio.ignore_after(0.06, conn.recv, 1000)
        return received

    limits = ServerLimits(body_s=0.3)
    received = curio.run(call_with_limits, address, limits, talk)
    assert received.startswith(b'HTTP/1.1 408')


def test_body_announced_over_its_limit_is_refused_unread(address):
    """The answer comes before any byte of the body."""

    async def talk(conn):
        await conn.sendall(
            b'POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
            b'content-length: 11\r\n\r\n'
        )
        return await conn.recv(1000)

    limits = ServerLimits(body_bytes=10)
    received = curio.run(call_with_limits, address, limits, talk)
    assert received.startswith(b'HTTP/1.1 413')


async def send_and_read(address, packed):
    """Sends bytes on a connection of their own, and reads an answer."""
    conn = await curio_socket.create_connection(address)
    await conn.sendall(packed)
    received = await conn.recv(1000)
    await conn.close()
    return received


async def read_posts(request, responder):
    """Reads the body of a POST, and answers after 0.5 s."""
    if request.method == 'POST':
        await request.read_body()
    await curio.sleep(0.5)
    await responder.send(200, b'whole', [])


async def hold_beside_unread(address):
    """Sends a body that nobody reads, then one that is read.

    :returns: the answers to both.
    """
    unread = await curio.spawn(send_and_read, address, UNREAD_BODY)
    await curio.sleep(0.3)
    held = await send_and_read(address, HELD_BODY)
    return [await unread.join(), held]


def test_handler_that_reads_no_body_is_not_ended(address):
    """What it did may have taken effect, so it is not refused as not run.

    A body that is read makes room instead.
    """

    async def serve():
        server = HttpServer(
            sock=listen(f'{address[0]}:{address[1]}'),
            handler=read_posts,
            memory=CallerMemory(clock=SystemClock(), limit_bytes=200_000),
        )
        serving = await curio.spawn(server.run, daemon=True)
        answers = await hold_beside_unread(address)
        await serving.cancel()
        return answers

    answers = curio.run(serve)
    assert [one[:12] for one in answers] == [b'HTTP/1.1 200', b'HTTP/1.1 503']
