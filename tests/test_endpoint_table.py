"""Registrations of endpoints, also over an outage of the store."""

import pytest
from jacinthmount.endpoint_table import (
    LAPSE_GRACE_S,
    MAX_LEAVING,
    EndpointTable,
    LeavingEndpoint,
)

from tests.relay_builders import make_entry


@pytest.fixture
def table():
    """A table with one endpoint, in touch with the store for long."""
    found = EndpointTable()
    found.on_store_recovery(0.0)
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
    table.on_store_outage()
    table.remove('e1', 6, now=100.0)
    assert usable_ids(table) == ['e1']
    table.on_store_recovery(101.0)
    assert not table.drop_lapsed(101.0 + LAPSE_GRACE_S - 0.1)
    assert usable_ids(table) == ['e1']
    assert table.drop_lapsed(101.0 + LAPSE_GRACE_S)
    assert not usable_ids(table)


def test_endpoint_that_comes_back_stays(table):
    """A registration that is back in time is no lapse any more."""
    table.on_store_outage()
    table.remove('e1', 6, now=100.0)
    table.on_store_recovery(101.0)
    table.put(make_entry('e1'), 7)
    assert not table.drop_lapsed(101.0 + LAPSE_GRACE_S)
    assert usable_ids(table) == ['e1']


def announce(table, endpoint_id='e1', **changes):
    """Lets one start of an endpoint announce that it leaves."""
    entry = make_entry(endpoint_id, **changes)
    return table.note_leaving(
        LeavingEndpoint(
            endpoint_id=endpoint_id,
            address=entry.address,
            started_at_ms=entry.started_at_ms,
        ),
    )


def test_announcement_goes_before_the_registration(table):
    """An endpoint that says so leaves, though it is registered as ready."""
    assert announce(table)
    assert not usable_ids(table)
    assert table.find('e1').leaving


def test_later_registration_of_the_same_start_changes_nothing(table):
    """A registration that was late on its way is no return."""
    announce(table)
    table.put(make_entry('e1'), 6)
    assert not usable_ids(table)


def test_announcement_may_come_before_the_registration(table):
    """What others heard counts for an endpoint not yet known here."""
    announce(table, 'e2')
    table.put(make_entry('e2'), 6)
    assert usable_ids(table) == ['e1']


def test_lapse_in_an_outage_does_not_undo_an_announcement(table):
    """A registration that lapsed and came back is still of that start."""
    announce(table)
    table.on_store_outage()
    table.remove('e1', 6, now=100.0)
    table.on_store_recovery(101.0)
    table.drop_lapsed(101.0 + LAPSE_GRACE_S)
    table.put(make_entry('e1'), 7)
    assert not usable_ids(table)


@pytest.mark.parametrize(
    'change',
    [{'started_at_ms': 2}, {'address': '127.0.0.1:2000'}],
)
def test_new_start_under_the_same_id_is_used(table, change):
    """A process that starts anew has announced nothing."""
    announce(table)
    table.put(make_entry('e1', **change), 6)
    assert usable_ids(table) == ['e1']


def test_another_endpoint_at_the_same_address_is_used(table):
    """An address that is used again belongs to another endpoint."""
    announce(table)
    table.put(make_entry('e2', started_at_ms=2), 6)
    assert usable_ids(table) == ['e2']


def test_announcements_are_passed_on_once_each(table):
    """Others are told of registered endpoints, and nothing is news twice."""
    announce(table)
    announce(table, 'unknown')
    assert not announce(table)
    assert [one.endpoint_id for one in table.announced_leaving()] == ['e1']


def test_announcements_are_bounded(table):
    """The oldest announcements are forgotten first."""
    announce(table)
    for number in range(MAX_LEAVING):
        announce(table, f'other-{number}')
    assert not table.announced_leaving()
    assert announce(table)
