"""Versions of endpoints that started again while their list is old."""

import math
import random

import pytest
from jacinthmount.list_freshness import ListFreshness
from jacinthmount.memory import ManualClock
from jacinthmount.placement import Placement
from jacinthmount.ports import AddressContacts
from jacinthmount.reachability import DataCentreContacts
from jacinthmount.version_certainty import (
    MAX_AGE_S,
    REGISTRATION_LAG_S,
    VersionCertainty,
)

from tests.relay_builders import make_entry

START = 100.0


class _Contacts(AddressContacts):
    """Connections to one address."""

    def __init__(self):
        """Starts without connections."""
        self.began_at = math.inf
        self.ended_at = -math.inf

    def since(self, address):
        """Implements :meth:`AddressContacts.since`."""
        return self.began_at

    def lost_at(self, address):
        """Implements :meth:`AddressContacts.lost_at`."""
        return self.ended_at


class Host:
    """A host with a list that was complete at 100 s."""

    def __init__(self):
        """Starts without connections to the endpoint."""
        self.clock = ManualClock()
        self.clock.advance(START)
        self.freshness = ListFreshness(clock=self.clock, on_missed=lambda: None)
        self.freshness.confirm(START)
        self.contacts = _Contacts()
        self.entry = make_entry('e0', address='e0:1')
        self.certainty = VersionCertainty()
        self.certainty.attach_list(self.freshness)
        self.certainty.attach_contacts(self.contacts)

    def is_certain(self, after_s=0.0):
        """Lets time pass, and returns whether the version is certain."""
        self.clock.advance(after_s)
        return self.certainty.is_certain(self.entry)


@pytest.fixture
def host():
    """A host."""
    return Host()


def test_version_without_any_evidence_is_in_doubt():
    """A host without a list to compare with relies on what is registered."""
    assert VersionCertainty().is_certain(make_entry('e0'))


def test_version_of_a_current_list_is_in_doubt(host):
    """Without a loss the endpoint is that of the list."""
    assert host.is_certain()
    assert host.is_certain(MAX_AGE_S)
    assert not host.is_certain(0.1)


def test_version_of_an_endpoint_that_ended_is_certain(host):
    """Guards against a list from before its next start.

    It counts again once it would show the start.
    """
    host.contacts.ended_at = START + 0.5
    assert not host.is_certain(1.0)
    host.freshness.confirm(START + 0.5 + REGISTRATION_LAG_S - 0.1)
    assert not host.is_certain(2.0)
    host.freshness.confirm(START + 0.5 + REGISTRATION_LAG_S)
    assert host.is_certain()


def test_loss_long_before_the_list_counts(host):
    """The list shows what has started since."""
    host.contacts.ended_at = START - REGISTRATION_LAG_S
    assert host.is_certain()


def test_version_of_an_old_list_is_certain(host):
    """Only a connection from before it shows the process."""
    host.contacts.began_at = START - REGISTRATION_LAG_S
    assert host.is_certain(60)
    host.contacts.began_at = START - REGISTRATION_LAG_S + 0.1
    assert not host.is_certain()


def test_list_that_is_followed_counts_as_old(host):
    """A request for all changes is pending, so none is missing."""
    with host.freshness.follow():
        assert host.is_certain(60)
    assert not host.is_certain()


def test_text_goes_on_where_the_version_is_in_doubt(host):
    """Other requests are placed there all the same."""
    placement = Placement(
        rng=random.Random(1),
        centres=DataCentreContacts(own='east'),
        certainty=host.certainty,
    )
    placement.set_entries([host.entry], host.clock.now())
    version = host.entry.version
    assert placement.choose(set(), host.clock.now(), version)
    host.contacts.ended_at = START
    assert placement.choose(set(), host.clock.now(), version) is None
    assert placement.choose(set(), host.clock.now())
    assert placement.has_version(version)
