"""Placement of online requests on endpoints."""

import random

import pytest
from jacinthmount.placement import (
    MAX_EXTRA_WAITING,
    REGISTRATION_LAG_S,
    STALLED_AFTER_S,
    Placement,
)
from jacinthmount.reachability import DataCentreContacts

from tests.relay_builders import make_entry


@pytest.fixture
def centres():
    """Contacts with data centres, for a host in east."""
    return DataCentreContacts(own='east')


@pytest.fixture
def placement(centres):
    """Three endpoints with two slots each, one in another data centre."""
    found = Placement(rng=random.Random(1), centres=centres)
    found.set_entries(
        [
            make_entry('e1'),
            make_entry('e2'),
            make_entry('e3', data_centre='west'),
        ],
        0.0,
    )
    return found


def place(placement, now=0.0):
    """Places one request and counts it."""
    use = placement.choose(set(), now)
    if use is not None:
        use.online += 1
    return use


def test_equally_loaded_endpoint_of_the_own_data_centre_is_chosen(placement):
    """The others follow before any endpoint gets a second request."""
    placed = [place(placement).entry.endpoint_id for _ in range(3)]
    assert set(placed[:2]) == {'e1', 'e2'}
    assert placed[2] == 'e3'


def test_requests_spread_evenly(placement):
    """Six requests at once take two slots of each endpoint."""
    for _ in range(6):
        place(placement)
    assert [use.online for use in placement.uses()] == [2, 2, 2]


def test_full_endpoints_get_few_extra_requests(placement):
    """Beyond its slots an endpoint gets ``MAX_EXTRA_WAITING`` requests."""
    placed = [place(placement) for _ in range(20)]
    assert sum(use is not None for use in placed) == 3 * (2 + MAX_EXTRA_WAITING)


def test_slots_used_by_other_hosts_count(placement):
    """Requests in flight from other hosts are taken into account."""
    for use in placement.uses()[:2]:
        use.on_view(online=2, batch=0, now=0.0)
    assert place(placement).entry.endpoint_id == 'e3'


def test_endpoint_without_batch_is_preferred(placement):
    """A free slot is preferred to one used by a batch item."""
    for use in placement.uses()[:2]:
        use.on_view(online=0, batch=2, now=0.0)
    placement.uses()[2].on_view(online=1, batch=0, now=0.0)
    assert place(placement).entry.endpoint_id == 'e3'


def test_failed_endpoint_is_avoided_for_a_time(placement):
    """A failed endpoint is avoided unless all of them have failed."""
    first, second, third = placement.uses()
    first.on_failure(0.0)
    second.on_failure(0.0)
    assert place(placement, 0.1) is third
    third.on_failure(0.1)
    assert place(placement, 0.2) is not None


def test_stalled_endpoint_gets_no_new_requests(placement):
    """An endpoint with outstanding responses and no data is avoided."""
    first = placement.uses()[0]
    first.on_sent(0.0)
    later = STALLED_AFTER_S + 0.01
    chosen = {place(placement, later).entry.endpoint_id for _ in range(4)}
    assert chosen == {'e2', 'e3'}


def test_stalled_endpoint_makes_its_data_centre_unresponsive(placement):
    """An isolated data centre gets one request, not one per endpoint.

    Otherwise each of its endpoints would have to stall with a request first.
    """
    placement.set_entries(
        [
            make_entry('e1'),
            make_entry('w1', data_centre='west'),
            make_entry('w2', data_centre='west'),
        ],
        0.0,
    )
    placement.find('w1').on_sent(0.0)
    later = STALLED_AFTER_S + 0.01
    placement.note_unresponsive(later)
    chosen = [place(placement, later) for _ in range(3)]
    assert {use.entry.endpoint_id for use in chosen} == {'e1'}


def test_data_centre_is_responsive_after_a_contact(placement, centres):
    """One contact after the timeout is enough."""
    centres.on_timeout('west', 1.0)
    assert centres.is_unresponsive('west')
    centres.on_contact('west', 1.5)
    assert not centres.is_unresponsive('west')


def test_own_data_centre_is_never_unresponsive(centres):
    """An isolated host continues with the endpoints of its data centre."""
    centres.on_timeout('east', 1.0)
    assert not centres.is_unresponsive('east')


def test_unreachable_endpoint_is_used_only_without_others(placement):
    """An endpoint that refused a connection is avoided until a probe."""
    first, second, third = placement.uses()
    first.unreachable = True
    second.unreachable = True
    assert place(placement) is third
    third.unreachable = True
    assert place(placement) is not None


def test_restarted_endpoint_has_no_requests_in_flight(placement):
    """A new incarnation under the same id has no outstanding responses."""
    placement.uses()[0].online = 2
    placement.set_entries([make_entry('e1', started_at_ms=2)], 0.0)
    assert placement.uses()[0].online == 0


def test_version_is_in_doubt_after_an_endpoint_was_unreachable(placement):
    """Another process may have its address before its registration is known."""
    use = placement.uses()[0]
    assert use.find_version(10.0) == 'v1'
    use.unreachable = True
    placement.on_reached(use, 10.0)
    assert not use.find_version(11.0)
    assert use.find_version(10.0 + REGISTRATION_LAG_S) == 'v1'


def test_stream_goes_on_only_at_its_version(centres):
    """No endpoint is chosen if all of its version are full or tried."""
    placement = Placement(rng=random.Random(1), centres=centres)
    placement.set_entries(
        [make_entry('e1'), make_entry('e2', version='v2')], 0.0
    )
    assert placement.choose(set(), 1.0, 'v2').entry.endpoint_id == 'e2'
    assert placement.choose({'e2'}, 1.0, 'v2') is None
    assert placement.choose(set(), 1.0, 'v3') is None
    assert placement.choose({'e1'}, 1.0).entry.endpoint_id == 'e2'
