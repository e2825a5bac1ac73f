"""Registrations of endpoints, also during an outage of the store."""

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
    """A table with one endpoint, long after the last outage."""
    found = EndpointTable()
    found.on_store_recovery(0.0)
    found.put(make_entry('e1'), 5)
    return found


def usable_ids(table):
    """Lists the ids of the endpoints that accept new requests."""
    return [entry.endpoint_id for entry in table.usable('model-a')]


def test_removal_takes_effect_immediately(table):
    """Without an outage a removal takes effect immediately."""
    table.remove('e1', 6, now=100.0)
    assert not usable_ids(table)


def test_leaving_endpoint_takes_no_new_requests(table):
    """A leaving endpoint stays registered but gets no new requests."""
    table.put(make_entry('e1', leaving=True), 6)
    assert not usable_ids(table)
    assert table.find('e1').leaving


def test_older_registration_changes_nothing(table):
    """A stale read does not restore an older state."""
    table.put(make_entry('e1', leaving=True), 6)
    table.put(make_entry('e1'), 5)
    assert not usable_ids(table)


def test_lapsed_endpoint_stays_in_use_during_an_outage(table):
    """A registration that lapses in an outage is used for a grace period."""
    table.on_store_outage()
    table.remove('e1', 6, now=100.0)
    assert usable_ids(table) == ['e1']
    table.on_store_recovery(101.0)
    assert not table.drop_lapsed(101.0 + LAPSE_GRACE_S - 0.1)
    assert usable_ids(table) == ['e1']
    assert table.drop_lapsed(101.0 + LAPSE_GRACE_S)
    assert not usable_ids(table)


def test_renewed_registration_stays(table):
    """A registration that is renewed in time is not dropped."""
    table.on_store_outage()
    table.remove('e1', 6, now=100.0)
    table.on_store_recovery(101.0)
    table.put(make_entry('e1'), 7)
    assert not table.drop_lapsed(101.0 + LAPSE_GRACE_S)
    assert usable_ids(table) == ['e1']


def announce(table, endpoint_id='e1', **changes):
    """Records that an incarnation of an endpoint announced to leave."""
    entry = make_entry(endpoint_id, **changes)
    return table.note_leaving(
        LeavingEndpoint(
            endpoint_id=endpoint_id,
            address=entry.address,
            started_at_ms=entry.started_at_ms,
        ),
    )


def test_announcement_takes_precedence_over_the_registration(table):
    """An endpoint leaves although it is still registered as ready."""
    assert announce(table)
    assert not usable_ids(table)
    assert table.find('e1').leaving


def test_later_registration_of_the_same_incarnation_changes_nothing(table):
    """A delayed registration does not undo the announcement."""
    announce(table)
    table.put(make_entry('e1'), 6)
    assert not usable_ids(table)


def test_announcement_may_come_before_the_registration(table):
    """An announcement counts for an endpoint that is not yet known."""
    announce(table, 'e2')
    table.put(make_entry('e2'), 6)
    assert usable_ids(table) == ['e1']


def test_lapse_in_an_outage_does_not_undo_an_announcement(table):
    """A lapsed and renewed registration is of the same incarnation."""
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
def test_new_incarnation_under_the_same_id_is_used(table, change):
    """The announcement does not apply to a restarted process."""
    announce(table)
    table.put(make_entry('e1', **change), 6)
    assert usable_ids(table) == ['e1']


def test_another_endpoint_at_the_same_address_is_used(table):
    """The announcement does not apply to another endpoint at the address."""
    announce(table)
    table.put(make_entry('e2', started_at_ms=2), 6)
    assert usable_ids(table) == ['e2']


def test_announcements_are_listed_once(table):
    """Only registered endpoints are listed, and repeats are not new."""
    announce(table)
    announce(table, 'unknown')
    assert not announce(table)
    assert [one.endpoint_id for one in table.announced_leaving()] == ['e1']


def test_announcements_are_bounded(table):
    """The oldest announcements are dropped first."""
    announce(table)
    for number in range(MAX_LEAVING):
        announce(table, f'other-{number}')
    assert not table.announced_leaving()
    assert announce(table)
