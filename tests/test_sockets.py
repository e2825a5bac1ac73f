"""Tests of sockets: aborts by other tasks, and what a peer has taken."""

import socket
import tempfile
import time

import curio
import pytest
from curio.io import Socket
from jacinthmount_node.net.sockets import (
    abort_socket,
    connect,
    count_unconfirmed,
)

# More than the system of a peer takes unread.
LARGE_BYTES = 3_000_000
CONFIRMED_S = 0.05


@pytest.fixture
def pair():
    """Two connected sockets."""
    local, remote = socket.socketpair()
    yield Socket(local), remote
    remote.close()


def test_other_end_sees_the_abort(pair):
    """A reader at the other end gets end of file."""
    local, remote = pair
    abort_socket(local)
    assert not remote.recv(1)


def test_closed_socket_may_be_aborted(pair):
    """Aborting a closed socket raises no error.

    A writing task may detect the end of the connection after the reading task
    has closed the socket. This crashed the task that writes to a peer.
    """
    local, remote = pair
    curio.run(local.close)
    abort_socket(local)
    assert not remote.recv(1)


@pytest.mark.parametrize(
    'address',
    ['127.0.0.1:99999', '127.0.0.1:', '127.0.0.1:\xb2', '127.0.0.1:-1'],
)
def test_unusable_address_ends_the_caller_of_connect(address):
    """Guards tasks that expect a failed connection and nothing else."""
    with pytest.raises(OSError, match='unusable address'):
        curio.run(connect, address)


def test_bytes_that_the_peer_has_not_read_count_as_confirmed():
    """Guards against a request that counts as read once it was sent."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        local = socket.create_connection(listener.getsockname())
        remote, _ = listener.accept()
        with local, remote:
            local.setblocking(False)
            sent = local.send(b'x' * LARGE_BYTES)
            before = count_unconfirmed(local)
            while sent:
                sent -= len(remote.recv(sent))
            time.sleep(CONFIRMED_S)
            assert before
            assert not count_unconfirmed(local)


def test_system_without_the_count_ends_the_request():
    """Some systems don't tell; all that was sent counts as confirmed then."""
    with tempfile.TemporaryFile() as no_socket:
        assert not count_unconfirmed(no_socket)
