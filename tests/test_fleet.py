"""Tests of the tool that starts small fleets."""

import contextlib
import socket

import pytest
from jacinthmount_standin.addresses import PortReserve
from jacinthmount_standin.fleet import Fleet

MANY = 400
LOOPBACK = '127.0.0.1'


@pytest.fixture
def reserve():
    """A reserve that is released at the end."""
    with contextlib.closing(PortReserve()) as made:
        yield made


def test_no_port_is_given_twice(reserve):
    """Two processes never get one port, also from two reserves."""
    with contextlib.closing(PortReserve()) as other:
        ports = [port for one in (reserve, other) for port in one.take(MANY)]
        assert len(set(ports)) == 2 * MANY


def test_a_taken_port_stays_free_for_its_process(reserve):
    """Another process can't pick it, its own can listen on it."""
    port = reserve.take(1)[0]
    with contextlib.closing(socket.socket()) as other:
        with pytest.raises(OSError, match='in use'):
            other.bind((LOOPBACK, port))
    with contextlib.closing(socket.socket()) as own:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        own.bind((LOOPBACK, port))
        own.listen()


@pytest.fixture
def fleet(tmp_path):
    """A platform and the settings of one host."""
    made = Fleet(folder=tmp_path, data_centres={'east': 1})
    made.start_platform()
    yield made
    made.stop()


def test_a_node_that_ended_is_told_at_once(fleet, tmp_path):
    """Waiting for a process that ended names what it printed."""
    settings = tmp_path / 'east-h1.ini'
    settings.write_text(f'{settings.read_text()}[other]\n')
    fleet.start_host('east-h1')
    with pytest.raises(RuntimeError, match='unknown section'):
        fleet.wait_ready('east-h1')
