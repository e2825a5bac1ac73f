"""Hosts that are asked for help."""

import random

import pytest
from jacinthmount.peer_choice import VALID_S, PeerChoice

HOSTS = ['h1', 'h2', 'h3', 'h4']


@pytest.fixture
def choice():
    """Nobody was asked yet."""
    return PeerChoice(rng=random.Random(3))


def draw(choice, now, count=50):
    """Chooses many times."""
    return {choice.choose(HOSTS, now) for _ in range(count)}


def test_anybody_may_be_asked_first(choice):
    """Nothing is known of any host."""
    assert draw(choice, 0.0) == set(HOSTS)


def test_host_that_helped_is_asked_again(choice):
    """As long as that is recent."""
    choice.on_succeeded('h3', 1.0)
    assert draw(choice, 1.0) == {'h3'}
    assert draw(choice, 1.0 + VALID_S) == set(HOSTS)


def test_host_that_failed_is_left_out(choice):
    """Half of the hosts are cut off together with this one."""
    choice.on_failed('h1', 1.0)
    choice.on_failed('h2', 1.0)
    assert draw(choice, 1.1) == {'h3', 'h4'}
    choice.on_succeeded('h1', 1.2)
    assert draw(choice, 1.3) == {'h1'}


def test_somebody_is_asked_even_if_all_failed(choice):
    """The cut may have ended."""
    for host in HOSTS:
        choice.on_failed(host, 1.0)
    assert draw(choice, 1.1) == set(HOSTS)


def test_without_other_hosts_there_is_nobody(choice):
    """A host alone."""
    assert choice.choose([], 0.0) is None
