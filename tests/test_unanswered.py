"""Connections that end after a request was read, on the HTTP server."""

import curio
import eliot
import pytest
from curio import socket as curio_socket
from jacinthmount.errors import EndpointFailed
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
