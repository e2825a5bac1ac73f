"""Connections that end after a request was read, on the HTTP server."""

import errno

import curio
import eliot
import h11
import pytest
from curio import socket as curio_socket
from jacinthmount.errors import BodyTooLarge, EndpointFailed, NotFound
from jacinthmount_node.net.http_messages import ServerLimits
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import listen
from jacinthmount_standin.addresses import LOOPBACK, PortReserve

REQUEST = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
ENOUGH_S = 5.0


@pytest.fixture
def address():
    """An unused address."""
    reserve = PortReserve()
    yield LOOPBACK, reserve.take(1)[0]
    reserve.close()


@pytest.fixture
def lines():
    """The log lines that a test causes."""
    written = []
    eliot.add_destinations(written.append)
    # The first destination gets the lines of earlier tests.
    written.clear()
    yield written
    eliot.remove_destination(written.append)


def make_server(address, handler, **fields):
    """Builds a server on an address."""
    sock = listen(f'{address[0]}:{address[1]}')
    return HttpServer(sock=sock, handler=handler, **fields)


async def serve(server, talk, address):
    """Runs a caller on one connection to a server.

    :param talk: coroutine function of the caller.
    :returns: the bytes that the caller received.
    """
    serving = await curio.spawn(server.run, daemon=True)
    conn = await curio_socket.create_connection(address)
    try:
        return await curio.timeout_after(ENOUGH_S, talk, conn)
    finally:
        await conn.close()
        await serving.cancel()


async def receive_all(conn):
    """Reads until the connection ends."""
    received = b''
    while True:
        piece = await conn.recv(1000)
        if not piece:
            return received
        received += piece


async def ask_once(conn):
    """Sends one request and reads until the connection ends."""
    await conn.sendall(REQUEST)
    return await receive_all(conn)


def ends(lines):
    """Lists the log lines of requests without a complete answer."""
    return [
        line
        for line in lines
        if line['message_type'] == 'jacinthmount:unanswered'
    ]


def test_request_without_a_complete_answer_is_logged(address, lines):
    """The line has the id of the request and the reason."""

    async def handler(request, responder):
        request.request_id = 'r1'
        await responder.start(200, [], b'begun')
        raise EndpointFailed(detail='engine lost')

    curio.run(serve, make_server(address, handler), ask_once, address)
    assert len(ends(lines)) == 1
    line = ends(lines)[0]
    assert (line['request'], line['status']) == ('r1', 200)
    assert 'engine lost' in line['reason']


def test_request_whose_caller_leaves_is_logged(address, lines):
    """The reason tells it from the requests that this host broke off."""

    async def handler(request, responder):
        await curio.sleep(ENOUGH_S)

    async def talk(conn):
        await conn.sendall(REQUEST)
        await curio.sleep(0.2)
        await conn.close()
        while not ends(lines):
            await curio.sleep(0.05)

    curio.run(serve, make_server(address, handler), talk, address)
    assert ends(lines)[0]['reason'] == 'caller closed'


def test_answered_request_is_not_logged_as_unanswered(address, lines):
    """Neither a complete answer nor a coded error counts."""

    async def handler(request, responder):
        if request.headers.get('connection'):
            raise EndpointFailed(detail='engine lost')
        await responder.send(200, b'whole', [])

    async def talk(conn):
        await conn.sendall(REQUEST)
        await conn.recv(1000)
        await conn.sendall(b'GET /a HTTP/1.0\r\nconnection: close\r\n\r\n')
        return await receive_all(conn)

    received = curio.run(serve, make_server(address, handler), talk, address)
    assert b' 502 ' in received
    assert not ends(lines)


class FailingListener:
    """A listening socket of which one ``accept`` fails."""

    def __init__(self, *, sock, fails_at, error):
        """Wraps a socket.

        :param fails_at: number of the call that fails, from 1 on.
        """
        self._sock = sock
        self._fails_at = fails_at
        self._error = error
        self._calls = 0

    async def accept(self):
        """Accepts a connection, or fails."""
        self._calls += 1
        if self._calls == self._fails_at:
            raise self._error
        return await self._sock.accept()

    async def close(self):
        """Closes the socket."""
        await self._sock.close()


async def answer_late(request, responder):
    """Answers after 0.3 s."""
    await curio.sleep(0.3)
    await responder.send(200, b'whole', [])


@pytest.mark.parametrize('number', [errno.ECONNABORTED, errno.EMFILE])
def test_error_of_accept_ends_other_connections(address, number):
    """Requests in flight are answered, and new connections are accepted."""
    server = HttpServer(
        sock=FailingListener(
            sock=listen(f'{address[0]}:{address[1]}'),
            fails_at=2,
            error=OSError(number, 'accept'),
        ),
        handler=answer_late,
    )

    async def talk(conn):
        await conn.sendall(REQUEST)
        other = await curio_socket.create_connection(address)
        await other.sendall(REQUEST)
        answers = [await conn.recv(1000), await other.recv(1000)]
        await other.close()
        return answers

    answers = curio.run(serve, server, talk, address)
    assert [one.endswith(b'whole') for one in answers] == [True, True]


@pytest.mark.parametrize(
    'error',
    [
        ConnectionResetError('another connection'),
        TimeoutError('another connection'),
        curio.TaskTimeout('another connection'),
        h11.RemoteProtocolError('another connection'),
        KeyError('unexpected'),
    ],
)
def test_error_of_another_connection_closes_the_one_of_the_caller(
    address, error
):
    """The caller gets a coded error, since its own connection is sound."""

    async def handler(request, responder):
        raise error

    received = curio.run(
        serve, make_server(address, handler), ask_once, address
    )
    assert received.startswith(b'HTTP/1.1 500 ')
    assert b'"code":"1000"' in received


def test_idle_limit_of_an_older_configuration_closes_a_connection(address):
    """A limit that is raised holds for connections that are idle already."""
    limits = ServerLimits(idle_s=0.6)
    server = make_server(address, answer_late, limits=limits)

    async def talk(conn):
        await conn.sendall(REQUEST)
        answers = [await conn.recv(1000)]
        await curio.sleep(0.2)
        limits.idle_s = ENOUGH_S
        await curio.sleep(0.8)
        await conn.sendall(REQUEST)
        answers.append(await conn.recv(1000))
        return answers

    answers = curio.run(serve, server, talk, address)
    assert [one.endswith(b'whole') for one in answers] == [True, True]


def test_idle_connection_is_closed_at_the_limit(address):
    """Also if the configuration did not change."""
    limits = ServerLimits(idle_s=0.3)
    server = make_server(address, answer_late, limits=limits)
    assert not curio.run(serve, server, receive_all, address)


LONG_BODY = b'x' * 3_000_000
LONG_HEAD = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'


@pytest.mark.parametrize(
    'error', [NotFound(detail='no route'), BodyTooLarge(detail='too large')]
)
def test_refusal_before_the_body_resets_the_connection(address, error):
    """A caller that first sends its whole request reads the refusal then."""

    async def handler(request, responder):
        raise error

    async def talk(conn):
        await conn.sendall(LONG_HEAD % len(LONG_BODY))
        await curio.sleep(0.1)
        await conn.sendall(LONG_BODY)
        return await receive_all(conn)

    received = curio.run(serve, make_server(address, handler), talk, address)
    assert received.startswith(b'HTTP/1.1 %d ' % error.http_status)


def test_caller_that_never_ends_its_body_is_cut(address):
    """Reading on after a refusal is bounded in time."""

    async def handler(request, responder):
        raise NotFound(detail='no route')

    async def talk(conn):
        await conn.sendall(LONG_HEAD % len(LONG_BODY))
        with pytest.raises(OSError):
            while True:
                await conn.sendall(b'x')
                await curio.sleep(0.05)

    curio.run(serve, make_server(address, handler), talk, address)


def test_idle_connection_is_closed_without_reading_on(address):
    """A request that crosses the close is reset, so its caller may repeat it.

    Guards against reading it after the idle limit only to discard it.
    """
    limits = ServerLimits(idle_s=0.3)
    server = make_server(address, answer_late, limits=limits)

    async def talk(conn):
        await conn.sendall(REQUEST)
        await conn.recv(1000)
        assert not await conn.recv(1000)
        await conn.sendall(REQUEST)
        await curio.sleep(0.2)
        with pytest.raises(OSError):
            await conn.sendall(REQUEST)

    curio.run(serve, server, talk, address)


def test_answer_that_can_not_be_built_closes_the_connection(address):
    """The caller gets a coded error, since nothing was sent."""

    async def handler(request, responder):
        await responder.send(200, b'whole', [('x-name', 'two\r\nlines')])

    received = curio.run(
        serve, make_server(address, handler), ask_once, address
    )
    assert received.startswith(b'HTTP/1.1 500 ')


LONG_FIELD = b'GET /a HTTP/1.1\r\nhost: a\r\nx-long: %b'


@pytest.mark.parametrize('limit', [2000, 300])
def test_head_in_pieces_is_refused_by_an_older_limit(address, limit):
    """The limit in force as the rest of a head comes counts, also a lower."""
    limits = ServerLimits(header_bytes=500)
    server = make_server(address, answer_late, limits=limits)

    async def talk(conn):
        await conn.sendall(REQUEST)
        await conn.recv(1000)
        limits.header_bytes = limit
        await conn.sendall(LONG_FIELD % (b'x' * 700))
        await curio.sleep(0.1)
        await conn.sendall(b'x' * 400)
        await curio.sleep(0.1)
        await conn.sendall(b'\r\n\r\n')
        return await conn.recv(1000)

    received = curio.run(serve, server, talk, address)
    status = b'200' if limit > 1000 else b'431'
    assert received.startswith(b'HTTP/1.1 %b ' % status), received


def test_head_is_refused_for_coming_in_pieces(address):
    """The same bytes of separators are allowed as for one in one piece."""
    rows = b''.join(b'a%d: b\r\n' % number for number in range(50))
    limits = ServerLimits(header_bytes=len(rows) - 40)
    server = make_server(address, answer_late, limits=limits)

    async def talk(conn):
        await conn.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n%b' % rows)
        await curio.sleep(0.1)
        await conn.sendall(b'\r\n')
        return await conn.recv(1000)

    received = curio.run(serve, server, talk, address)
    assert received.startswith(b'HTTP/1.1 200 '), received


def test_head_without_an_end_is_read_on(address):
    """It is refused at the limit, however many lines it has."""
    server = make_server(
        address, answer_late, limits=ServerLimits(header_bytes=500)
    )

    async def talk(conn):
        await conn.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n')
        for _ in range(12):
            await conn.sendall(b'a:b\r\n' * 20)
            await curio.sleep(0.01)
        return await conn.recv(1000)

    received = curio.run(serve, server, talk, address)
    assert received.startswith(b'HTTP/1.1 431 '), received


UPGRADE = (
    b'POST /a HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n'
    b'upgrade: websocket\r\n%b\r\n%b'
)
UPGRADES = {
    'without a body': UPGRADE % (b'', b''),
    'with a body': UPGRADE % (b'content-length: 2\r\n', b'{}'),
}


@pytest.mark.parametrize('kind', UPGRADES)
def test_request_with_upgrade_is_an_internal_error(address, kind):
    """It is served without the upgrade, and so is the next request."""

    async def handler(request, responder):
        body = await request.read_body()
        await responder.send(200, b'%bwhole' % body, [])

    async def talk(conn):
        answers = []
        for sent in (UPGRADES[kind], REQUEST):
            await conn.sendall(sent)
            answers.append(await conn.recv(1000))
        return answers

    answers = curio.run(serve, make_server(address, handler), talk, address)
    assert [one.endswith(b'whole') for one in answers] == [True, True], answers


@pytest.mark.parametrize('kind', UPGRADES)
def test_request_with_upgrade_goes_on_without_its_caller(address, lines, kind):
    """It ends with its caller, as each request whose body was read."""

    async def handler(request, responder):
        await request.read_body()
        await curio.sleep(ENOUGH_S)

    async def talk(conn):
        await conn.sendall(UPGRADES[kind])
        await curio.sleep(0.2)
        await conn.close()
        while not ends(lines):
            await curio.sleep(0.05)

    curio.run(serve, make_server(address, handler), talk, address)
    assert ends(lines)[0]['reason'] == 'caller closed'
