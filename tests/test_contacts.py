"""Connections that show which process serves an address."""

import contextlib
import math
import socket
import time

import pytest
from jacinthmount.memory import ManualClock
from jacinthmount_node.net.contacts import MAX_ADDRESSES, Contacts

ADDRESS = '127.0.0.1:1'
NEVER = -math.inf


class Link:
    """A connection, both of whose ends are here."""

    def __init__(self, contacts):
        """Connects."""
        pair = socket.socketpair()
        self._sock = pair[0]
        self._peer = pair[1]
        self.contact = contacts.open(ADDRESS, self)

    @contextlib.contextmanager
    def blocking(self):
        """Implements the method of a curio socket."""
        yield self._sock

    def end(self):
        """Ends the connection at the peer."""
        self._peer.close()

    def send(self):
        """Sends bytes that nobody has read."""
        self._peer.sendall(b'data')

    def rest(self, usable_s=60.0):
        """Leaves the connection idle."""
        self.contact.usable_until = time.monotonic() + usable_s


class Site:
    """Connections to one address, and a clock for them."""

    def __init__(self):
        """Starts without connections, at 100 s."""
        self.clock = ManualClock()
        self.clock.advance(100)
        self.contacts = Contacts(clock=self.clock)

    def connect(self):
        """Makes a connection."""
        return Link(self.contacts)

    def read(self, after_s=1.0):
        """Lets time pass, and returns what is shown then."""
        self.clock.advance(after_s)
        return self.contacts.since(ADDRESS), self.contacts.lost_at(ADDRESS)


@pytest.fixture
def site():
    """An address without connections."""
    return Site()


def test_address_without_connections(site):
    """Nothing is shown."""
    assert site.read() == (math.inf, NEVER)


def test_connections_that_overlap_have_a_gap(site):
    """They lead to the same process, whichever of them is closed first."""
    first = site.connect()
    assert site.read() == (100, NEVER)
    second = site.connect()
    first.contact.close()
    assert site.read() == (100, NEVER)
    second.contact.close()
    assert site.read() == (math.inf, NEVER)
    site.connect()
    assert site.read() == (103, NEVER)


def test_bytes_that_wait_look_like_an_end(site):
    """The peer has sent them and lives."""
    site.connect().send()
    assert site.read() == (100, NEVER)


def test_one_connection_of_two_is_lost(site):
    """The process has ended one, and serves on."""
    first, second = site.connect(), site.connect()
    first.end()
    assert site.read() == (100, NEVER)
    second.rest()
    assert site.read() == (100, NEVER)


@pytest.mark.parametrize('closes', [True, False])
def test_process_that_ended_is_taken_for_the_same(site, closes):
    """Guards against texts that go on at a process that started anew."""
    links = [site.connect(), site.connect()]
    links[1].rest()
    site.clock.advance(1)
    for link in links:
        link.end()
        if closes:
            link.contact.close()
    assert site.contacts.lost_at(ADDRESS) == 101
    site.clock.advance(0.3)
    site.connect()
    assert site.read() == (101.3, 101)


def test_connections_that_were_reset_are_taken_for_an_end(site):
    """No process starts again at once."""
    link = site.connect()
    site.clock.advance(5)
    link.end()
    assert site.contacts.lost_at(ADDRESS) == 105
    site.clock.advance(0.05)
    site.connect()
    assert site.read() == (100, NEVER)


@pytest.mark.parametrize(('after_s', 'since'), [(0.05, 100), (0.2, 105.2)])
def test_connection_that_was_closed_here_is_a_gap(site, after_s, since):
    """Another one that is made at once leads to the same process."""
    link = site.connect()
    site.clock.advance(5)
    link.contact.close()
    site.clock.advance(after_s)
    site.connect()
    assert site.read() == (pytest.approx(since), NEVER)


def test_short_connections_that_are_reset_are_taken_for_an_end(site):
    """Each may last for one event only."""
    for _ in range(3):
        link = site.connect()
        site.clock.advance(0.06)
        link.end()
        assert site.contacts.lost_at(ADDRESS) > 0
        site.clock.advance(0.02)
    site.connect()
    assert site.read() == (100, NEVER)


def test_end_of_an_idle_connection_is_taken_for_recent(site):
    """It may have ended long before, and the process with it."""
    link = site.connect()
    link.rest()
    link.end()
    site.clock.advance(5)
    site.connect()
    assert site.read() == (105, 105)


def test_timeout_of_an_idle_connection_is_taken_for_an_end(site):
    """An endpoint closes connections that have been idle for long."""
    link = site.connect()
    link.rest(usable_s=0.0)
    link.end()
    assert site.read() == (math.inf, NEVER)


def test_idle_connection_shows_a_process_for_ever(site):
    """One without an end may be that of a host that is gone."""
    site.connect().rest(usable_s=0.0)
    assert site.read() == (math.inf, NEVER)


def test_address_that_refuses_is_taken_for_the_same(site):
    """A process ends there, or has; unless a connection lives."""
    link = site.connect()
    site.contacts.note_refused(ADDRESS)
    assert site.read() == (100, NEVER)
    link.contact.close()
    site.contacts.note_refused(ADDRESS)
    site.clock.advance(0.05)
    site.connect()
    assert site.read() == (101.05, 101)


def test_addresses_are_remembered_without_end(site):
    """Those without connections are forgotten when there are many."""
    link = site.connect()
    for number in range(MAX_ADDRESSES + 10):
        site.contacts.note_refused(f'127.0.0.2:{number}')
    assert len(site.contacts._addresses) <= MAX_ADDRESSES
    assert site.read() == (100, NEVER)
    link.contact.close()
