"""Tests of aborting sockets that other tasks use."""

import socket

import curio
import pytest
from curio.io import Socket
from jacinthmount_node.net.sockets import abort_socket, connect


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
