"""Tests of ranks and of who hears whom."""

import pytest
from jacinthmount.members import (
    CONFIRMATION_VALID_S,
    UNRESPONSIVE_S,
    PeerContacts,
    rank_hosts,
    replacement_quorum,
)


def test_rank_moves_few_subjects_when_a_host_leaves():
    """Only subjects of the host that left change their first host."""
    hosts = [f'h{number}' for number in range(6)]
    subjects = [f'account-{number}' for number in range(200)]
    before = {subject: rank_hosts(subject, hosts)[0] for subject in subjects}
    after = {subject: rank_hosts(subject, hosts[1:])[0] for subject in subjects}
    moved = [one for one in subjects if before[one] != after[one]]
    assert all(before[subject] == 'h0' for subject in moved)


@pytest.mark.parametrize('slots', range(1, 30))
def test_attesters_meet_every_majority(slots):
    """A host can't be confirmed by a majority and replaced at once."""
    majority = slots // 2 + 1
    assert replacement_quorum(slots) + majority > slots


def test_answer_read_late_confirms_nothing():
    """What counts is the time of the question."""
    contacts = PeerContacts(now=0)
    contacts.on_peer_reply('b', 0)
    assert contacts.confirmed('a', ['a', 'b'], CONFIRMATION_VALID_S - 1)
    contacts.on_peer_reply('b', 1)
    assert not contacts.confirmed('a', ['a', 'b'], CONFIRMATION_VALID_S + 1)


def test_platform_confirms_a_lone_host():
    """A host without its peers goes on while the platform lists it."""
    contacts = PeerContacts(now=0)
    contacts.on_platform_confirmation(100)
    assert contacts.confirmed('a', ['a', 'b', 'c'], 101)
    assert not contacts.confirmed(
        'a', ['a', 'b', 'c'], 100 + CONFIRMATION_VALID_S
    )


def test_unlisted_host_is_never_confirmed():
    """Hearing others does not replace a slot."""
    contacts = PeerContacts(now=0)
    contacts.on_peer_reply('b', 0)
    contacts.on_platform_confirmation(0)
    assert not contacts.confirmed('a', ['b'], 1)


def test_unheard_lasts_longer_than_confirmation():
    """A replaced host has lost its confirmation before."""
    assert UNRESPONSIVE_S > CONFIRMATION_VALID_S
    contacts = PeerContacts(now=0)
    contacts.on_peer_request('b', 5)
    assert not contacts.unresponsive(['b'], 5 + CONFIRMATION_VALID_S)
    assert contacts.unresponsive(['b'], 5 + UNRESPONSIVE_S) == ['b']
