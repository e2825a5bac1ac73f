"""Choice of peers by an isolated host."""

import random

import pytest
from jacinthmount.peer_choice import VALID_S, PeerChoice

HOSTS = ['h1', 'h2', 'h3', 'h4']


@pytest.fixture
def choice():
    """A choice without any request so far."""
    return PeerChoice(rng=random.Random(3))


def draw(choice, now, count=50):
    """Returns the hosts of many choices."""
    return {choice.choose(HOSTS, now) for _ in range(count)}


def test_any_host_may_be_first(choice):
    """Without results all hosts are chosen."""
    assert draw(choice, 0.0) == set(HOSTS)


def test_host_that_succeeded_is_chosen_again(choice):
    """It is preferred while its success is recent."""
    choice.on_succeeded('h3', 1.0)
    assert draw(choice, 1.0) == {'h3'}
    assert draw(choice, 1.0 + VALID_S) == set(HOSTS)


def test_host_that_failed_is_left_out(choice):
    """Half of the hosts are isolated together with this one."""
    choice.on_failed('h1', 1.0)
    choice.on_failed('h2', 1.0)
    assert draw(choice, 1.1) == {'h3', 'h4'}
    choice.on_succeeded('h1', 1.2)
    assert draw(choice, 1.3) == {'h1'}


def test_all_hosts_are_tried_again_if_all_failed(choice):
    """The hosts may be connected again."""
    for host in HOSTS:
        choice.on_failed(host, 1.0)
    assert draw(choice, 1.1) == set(HOSTS)


def test_no_host_is_chosen_without_peers(choice):
    """A single host has no peer to choose."""
    assert choice.choose([], 0.0) is None
