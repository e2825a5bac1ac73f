"""Tests of ranks and of who hears whom."""

import pytest
from jacinthmount.members import (
    CONFIRM_S,
    UNHEARD_S,
    PeerHearing,
    attesters_needed,
    rank_hosts,
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
    assert attesters_needed(slots) + majority > slots


def test_answer_read_late_confirms_nothing():
    """What counts is the time of the question."""
    hearing = PeerHearing(now=0)
    hearing.on_answer('b', 0)
    assert hearing.confirmed('a', ['a', 'b'], CONFIRM_S - 1)
    hearing.on_answer('b', 1)
    assert not hearing.confirmed('a', ['a', 'b'], CONFIRM_S + 1)


def test_platform_confirms_a_lone_host():
    """A host without its peers goes on while the platform lists it."""
    hearing = PeerHearing(now=0)
    hearing.on_platform(100)
    assert hearing.confirmed('a', ['a', 'b', 'c'], 101)
    assert not hearing.confirmed('a', ['a', 'b', 'c'], 100 + CONFIRM_S)


def test_unlisted_host_is_never_confirmed():
    """Hearing others does not replace a slot."""
    hearing = PeerHearing(now=0)
    hearing.on_answer('b', 0)
    hearing.on_platform(0)
    assert not hearing.confirmed('a', ['b'], 1)


def test_unheard_lasts_longer_than_confirmation():
    """A replaced host has lost its confirmation before."""
    assert UNHEARD_S > CONFIRM_S
    hearing = PeerHearing(now=0)
    hearing.on_question('b', 5)
    assert not hearing.unheard(['b'], 5 + CONFIRM_S)
    assert hearing.unheard(['b'], 5 + UNHEARD_S) == ['b']
