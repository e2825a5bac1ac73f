"""Sockets that end under the tasks that use them."""

import socket

import curio
import pytest
from curio.io import Socket
from jacinthmount_node.net.sockets import abort_socket


@pytest.fixture
def pair():
    """Two connected sockets."""
    near, far = socket.socketpair()
    yield Socket(near), far
    far.close()


def test_other_end_sees_the_abort(pair):
    """Whoever reads gets the end."""
    near, far = pair
    abort_socket(near)
    assert not far.recv(1)


def test_closed_socket_may_be_aborted(pair):
    """A task that writes may notice the end after the socket was closed.

    Seen as a crash of the task that writes to a peer.
    """
    near, far = pair
    curio.run(near.close)
    abort_socket(near)
    assert not far.recv(1)
