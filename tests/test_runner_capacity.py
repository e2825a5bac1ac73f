"""Where the active runner places requests, and what it leaves to batch."""

import random

import pytest
from jacinthmount.endpoint_table import LeavingEndpoint
from jacinthmount.memory import ManualClock
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.messages import (
    EndpointUseReport,
    HostReport,
    RelayHost,
)
from jacinthmount_node.relay.runner_capacity import SETTLE_S, RunnerCapacity
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_entry, make_relay_settings, make_run

SERVICE = 'model-a'
ENDPOINTS = 5
SLOTS = 2


@pytest.fixture
def state():
    """A runner that knows five endpoints with two slots each."""
    found = RelayState(
        settings=make_relay_settings(runs_batches=True),
        store=MemoryStore(),
        clock=ManualClock(),
        rng=random.Random(1),
    )
    for number in range(ENDPOINTS):
        found.endpoints.put(make_entry(f'e{number}'), 1)
    return found


@pytest.fixture
def rooms(state):
    """Rooms in which the endpoints have settled."""
    found = RunnerCapacity(state=state)
    found.refresh()
    state.clock.advance(SETTLE_S + 1)
    return found


def report(rooms, host, **uses):
    """Lets a host report what it has in flight."""
    rooms.record_report(
        HostReport(
            host=host,
            state=None,
            active=None,
            uses=[
                EndpointUseReport(endpoint_id=name, online=count)
                for name, count in uses.items()
            ],
            leaving=[],
            shares=None,
        ),
    )


def place_all(rooms, count):
    """Places requests of as many hosts that ask at the same moment."""
    return [rooms.place(f'h{number}', SERVICE) for number in range(count)]


def test_hosts_that_ask_at_once_get_slots_of_their_own(rooms):
    """Seen as requests that waited at one endpoint beside free ones.

    No report comes between the questions.
    """
    placed = place_all(rooms, ENDPOINTS * SLOTS)
    assert {placed.count(f'e{number}') for number in range(ENDPOINTS)} == {
        SLOTS
    }


def test_one_request_an_endpoint_waits_beyond_the_slots(rooms):
    """Further ones are left to the host, which may refuse them at once."""
    placed = place_all(rooms, ENDPOINTS * (SLOTS + 2))
    assert placed.count('') == ENDPOINTS


def test_endpoints_with_items_come_last(rooms):
    """Batch need not give way while another endpoint is free."""
    run = make_run('a')
    run.endpoint_id = 'e0'
    rooms.begin(run)
    assert 'e0' not in place_all(rooms, ENDPOINTS - 1)


def test_endpoint_that_announced_its_end_is_not_chosen(rooms, state):
    """Nor is one that failed lately."""
    entry = state.endpoints.find('e0')
    state.placement(SERVICE)
    state.take_leaving([
        LeavingEndpoint(
            endpoint_id='e0',
            address=entry.address,
            started_at_ms=entry.started_at_ms,
        ),
    ])
    state.find_use('e1').on_failure(state.now())
    placed = place_all(rooms, ENDPOINTS * SLOTS)
    assert not {'e0', 'e1'} & set(placed)


def test_report_of_the_host_replaces_what_was_placed(rooms):
    """Requests that ended free their slots."""
    place_all(rooms, ENDPOINTS * SLOTS)
    for number in range(ENDPOINTS * SLOTS):
        report(rooms, f'h{number}')
    assert not any(rooms.online(f'e{number}') for number in range(ENDPOINTS))


def test_items_give_way_to_requests_one_each(rooms):
    """Every slot that online does not use is of use to batch."""
    for item_id in ('a', 'b'):
        run = make_run(item_id)
        run.endpoint_id = 'e0'
        rooms.begin(run)
    assert not rooms.excess('e0')
    report(rooms, 'h1', e0=1)
    assert rooms.excess('e0') == 1
    report(rooms, 'h1', e0=2)
    assert rooms.excess('e0') == 2
    report(rooms, 'h1', e0=9)
    assert rooms.excess('e0') == 2


def make_host(number):
    """Builds the registration of a front."""
    return RelayHost(
        host=f'h{number}',
        incarnation='x',
        data_centre='east',
        peer_address=f'h{number}:1',
        runs_batches=False,
    )


@pytest.mark.parametrize(('reported', 'free'), [(0, 0), (4, SLOTS)])
def test_new_runner_waits_until_most_hosts_have_reported(
    rooms,
    state,
    reported,
    free,
):
    """It does not know yet which slots online requests have."""
    state.take_hosts([make_host(number) for number in range(6)])
    for number in range(reported):
        report(rooms, f'h{number}')
    rooms.delay_batch()
    assert rooms.free('e0') == free
    state.clock.advance(SETTLE_S)
    assert rooms.free('e0') == SLOTS
