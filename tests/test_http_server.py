"""Tests of the graceful shutdown of the HTTP server."""

import curio
import pytest
from curio import socket as curio_socket
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import listen
from jacinthmount_standin.addresses import LOOPBACK, PortReserve

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'


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
