"""Tests of host ranks and of the confirmation of slots."""

import pytest
from jacinthmount.members import (
    CONFIRMATION_VALID_S,
    UNRESPONSIVE_S,
    PeerContacts,
    rank_hosts,
    replacement_quorum,
)


def test_rank_moves_few_subjects_when_a_host_leaves():
    """Only subjects of the host that left get another first host."""
    hosts = [f'h{number}' for number in range(6)]
    subjects = [f'account-{number}' for number in range(200)]
    before = {subject: rank_hosts(subject, hosts)[0] for subject in subjects}
    after = {subject: rank_hosts(subject, hosts[1:])[0] for subject in subjects}
    moved = [one for one in subjects if before[one] != after[one]]
    assert all(before[subject] == 'h0' for subject in moved)


@pytest.mark.parametrize('slots', range(1, 30))
def test_replacement_quorum_intersects_every_majority(slots):
    """A host can't be confirmed by a majority and replaced as well."""
    majority = slots // 2 + 1
    assert replacement_quorum(slots) + majority > slots


def test_reply_read_late_confirms_nothing():
    """A reply counts with the time of its request."""
    contacts = PeerContacts(now=0)
    contacts.on_peer_reply('b', 0)
    assert contacts.confirmed('a', ['a', 'b'], CONFIRMATION_VALID_S - 1)
    contacts.on_peer_reply('b', 1)
    assert not contacts.confirmed('a', ['a', 'b'], CONFIRMATION_VALID_S + 1)


def test_platform_confirms_an_isolated_host():
    """A host without peers stays confirmed while the platform lists it."""
    contacts = PeerContacts(now=0)
    contacts.on_platform_confirmation(100)
    assert contacts.confirmed('a', ['a', 'b', 'c'], 101)
    assert not contacts.confirmed(
        'a', ['a', 'b', 'c'], 100 + CONFIRMATION_VALID_S
    )


def test_unlisted_host_is_never_confirmed():
    """Replies of peers do not replace a slot in the table."""
    contacts = PeerContacts(now=0)
    contacts.on_peer_reply('b', 0)
    contacts.on_platform_confirmation(0)
    assert not contacts.confirmed('a', ['b'], 1)


def test_host_is_unresponsive_only_after_its_confirmation_expired():
    """The confirmation of a host expires before it can be replaced."""
    assert UNRESPONSIVE_S > CONFIRMATION_VALID_S
    contacts = PeerContacts(now=0)
    contacts.on_peer_request('b', 5)
    assert not contacts.unresponsive(['b'], 5 + CONFIRMATION_VALID_S)
    assert contacts.unresponsive(['b'], 5 + UNRESPONSIVE_S) == ['b']
