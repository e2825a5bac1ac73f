"""Sums of the online requests that hosts report."""

import random

import pytest
from jacinthmount.online_load import OnlineLoad


@pytest.fixture
def load():
    """Two hosts that use one endpoint."""
    found = OnlineLoad()
    found.take('h1', {'e1': 2}, now=1.0)
    found.take('h2', {'e1': 1, 'e2': 1}, now=2.0)
    return found


def test_sums_are_of_the_latest_reports(load):
    """An endpoint that a host no longer lists has no requests of it."""
    assert (load.total('e1'), load.total('e2')) == (3, 1)
    load.take('h2', {'e2': 4}, now=3.0)
    assert (load.total('e1'), load.total('e2')) == (2, 4)


def test_own_requests_are_excluded(load):
    """A host counts its own requests itself."""
    assert load.elsewhere('h1', 'e1') == 1
    assert load.elsewhere('h3', 'e1') == 3


def test_hosts_without_a_current_report_are_dropped(load):
    """The counts of an unresponsive host do not stay forever."""
    load.drop_stale_hosts(before=1.5)
    assert load.total('e1') == 1
    assert load.hosts() == 1


def test_request_about_to_be_sent_counts_until_the_next_report(load):
    """Two concurrent requests are not sent to the same slot."""
    load.begin('h1', 'e2', now=3.0)
    load.begin('h3', 'e2', now=3.0)
    assert load.total('e2') == 3
    load.take('h1', {'e1': 2, 'e2': 1}, now=3.5)
    load.take('h3', {}, now=3.5)
    assert load.total('e2') == 2


def test_sums_never_drift():
    """The sums stay exact over many reports and the removal of hosts."""
    rng = random.Random(3)
    load = OnlineLoad()
    latest = {}
    for step in range(2000):
        host = f'h{rng.randrange(20)}'
        uses = {f'e{rng.randrange(5)}': rng.randrange(4) for _ in range(3)}
        load.take(host, dict(uses), now=step)
        latest[host] = uses
    for endpoint in range(5):
        name = f'e{endpoint}'
        assert load.total(name) == sum(
            uses.get(name, 0) for uses in latest.values()
        )
    load.drop_stale_hosts(before=2000)
    assert not any(load.total(f'e{endpoint}') for endpoint in range(5))
