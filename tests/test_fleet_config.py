"""Tests of the routes and accounts in the relay's configuration."""

import random
from collections import Counter

from jacinthmount.fleet_config import WeightedService

from tests.relay_builders import make_config, make_route


def test_longest_prefix_wins():
    """Of two matching routes the one with the longer prefix is used."""
    config = make_config(
        make_route('all', path_prefix='/a/'),
        make_route('special', path_prefix='/a/b/'),
    )
    assert config.find_route('scans.example', '/a/b/1').name == 'special'
    assert config.find_route('SCANS.example:80', '/a/c').name == 'all'


def test_unknown_host_or_path_has_no_route():
    """A path under another host name or prefix has no route."""
    config = make_config(make_route('a'))
    assert config.find_route('other.example', '/a/1') is None
    assert config.find_route('scans.example', '/b/1') is None
    assert config.find_route('scans.example', '/a') is None


def test_services_are_picked_by_weight():
    """Services are picked in proportion to their weights, at 0 never."""
    route = make_route(
        'a',
        services=[
            WeightedService(service='new', weight=1.0),
            WeightedService(service='old', weight=3.0),
            WeightedService(service='off', weight=0.0),
        ],
    )
    rng = random.Random(1)
    picked = Counter(route.pick_service(rng) for _ in range(4000))
    assert picked['off'] == 0
    assert 900 < picked['new'] < 1100


def test_key_names_its_account():
    """Only the exact key identifies the account."""
    config = make_config()
    assert config.account_of_key('secret').name == 'gin'
    assert config.account_of_key('secre') is None
