"""Tests of the stand-in fleet and its port reserve."""

import contextlib
import socket

import pytest
from jacinthmount_standin.addresses import PortReserve
from jacinthmount_standin.fleet import Fleet

PORTS_PER_RESERVE = 400
LOOPBACK = '127.0.0.1'


@pytest.fixture
def reserve():
    """A port reserve that is closed after the test."""
    with contextlib.closing(PortReserve()) as port_reserve:
        yield port_reserve


def test_no_port_is_given_twice(reserve):
    """No port is handed out twice, even by two reserves."""
    with contextlib.closing(PortReserve()) as other:
        ports = [
            port
            for source in (reserve, other)
            for port in source.take(PORTS_PER_RESERVE)
        ]
        assert len(set(ports)) == 2 * PORTS_PER_RESERVE


def test_a_taken_port_stays_free_for_its_process(reserve):
    """Only a process that sets ``SO_REUSEADDR`` can use a taken port."""
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
    """A fleet with a running platform and the settings of one host."""
    new_fleet = Fleet(folder=tmp_path, data_centres={'east': 1})
    new_fleet.start_platform()
    yield new_fleet
    new_fleet.stop()


def test_a_node_that_ended_is_told_at_once(fleet, tmp_path):
    """Waiting for a node that has ended raises an error with its output."""
    settings = tmp_path / 'east-h1.ini'
    settings.write_text(f'{settings.read_text()}[other]\n')
    fleet.start_host('east-h1')
    with pytest.raises(RuntimeError, match='unknown section'):
        fleet.wait_ready('east-h1')
