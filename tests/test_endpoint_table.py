"""Registrations of endpoints, also over an outage of the store."""

import pytest
from jacinthmount.endpoint_table import RETURN_GRACE_S, EndpointTable

from tests.relay_builders import make_entry


@pytest.fixture
def table():
    """A table with one endpoint, in touch with the store for long."""
    found = EndpointTable()
    found.on_return(0.0)
    found.put(make_entry('e1'), 5)
    return found


def usable_ids(table):
    """Names the endpoints that take new requests."""
    return [entry.endpoint_id for entry in table.usable('model-a')]


def test_removed_endpoint_is_gone_at_once(table):
    """Without an outage a removal counts at once."""
    table.remove('e1', 6, now=100.0)
    assert not usable_ids(table)


def test_leaving_endpoint_takes_no_new_requests(table):
    """A leaving endpoint stays known and gets nothing new."""
    table.put(make_entry('e1', leaving=True), 6)
    assert not usable_ids(table)
    assert table.find('e1').leaving


def test_older_registration_changes_nothing(table):
    """A stale reading does not bring back an older state."""
    table.put(make_entry('e1', leaving=True), 6)
    table.put(make_entry('e1'), 5)
    assert not usable_ids(table)


def test_lapsed_endpoint_stays_in_use_over_an_outage(table):
    """What lapses in an outage is used until it had time to come back."""
    table.on_outage()
    table.remove('e1', 6, now=100.0)
    assert usable_ids(table) == ['e1']
    table.on_return(101.0)
    assert not table.settle(101.0 + RETURN_GRACE_S - 0.1)
    assert usable_ids(table) == ['e1']
    assert table.settle(101.0 + RETURN_GRACE_S)
    assert not usable_ids(table)


def test_endpoint_that_comes_back_stays(table):
    """A registration that is back in time is no lapse any more."""
    table.on_outage()
    table.remove('e1', 6, now=100.0)
    table.on_return(101.0)
    table.put(make_entry('e1'), 7)
    assert not table.settle(101.0 + RETURN_GRACE_S)
    assert usable_ids(table) == ['e1']
