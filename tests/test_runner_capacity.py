"""Placement of online requests, and the capacity left for batch items."""

import random

import pytest
from jacinthmount.cold_period import runner_limit
from jacinthmount.endpoint_table import LeavingEndpoint
from jacinthmount.memory import ManualClock
from jacinthmount.records import replaced
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
    """Capacity in which the settling time of the endpoints has passed."""
    found = RunnerCapacity(state=state)
    found.refresh()
    state.clock.advance(SETTLE_S + 1)
    return found


def report(rooms, host, **uses):
    """Records a report of what a host has in flight."""
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
    """Places one request of each of several hosts at the same moment."""
    return [rooms.place(f'h{number}', SERVICE) for number in range(count)]


def test_hosts_that_ask_at_once_get_slots_of_their_own(rooms):
    """Guards against requests that waited at one endpoint beside free ones.

    No report arrives between the requests for a slot.
    """
    placed = place_all(rooms, ENDPOINTS * SLOTS)
    assert {placed.count(f'e{number}') for number in range(ENDPOINTS)} == {
        SLOTS
    }


def test_one_request_an_endpoint_waits_beyond_the_slots(rooms):
    """Further ones are not placed; their host may refuse them at once."""
    placed = place_all(rooms, ENDPOINTS * (SLOTS + 2))
    assert placed.count('') == ENDPOINTS


def test_equally_loaded_endpoint_near_the_host_is_chosen(rooms, state):
    """Load is even all the same; only the order within a round changes."""
    state.update_hosts([
        replaced(make_host(number), data_centre='west') for number in range(9)
    ])
    for number in (2, 4):
        entry = make_entry(f'e{number}', data_centre='west')
        state.endpoints.put(entry, 2)
    state.refresh_placements()
    placed = place_all(rooms, ENDPOINTS)
    assert set(placed[:2]) == {'e2', 'e4'}
    assert len(set(placed)) == ENDPOINTS


def test_endpoints_with_items_come_last(rooms):
    """No item is preempted while another endpoint is free."""
    run = make_run('a')
    run.endpoint_id = 'e0'
    rooms.begin(run)
    assert 'e0' not in place_all(rooms, ENDPOINTS - 1)


def test_endpoint_that_announced_its_end_is_not_chosen(rooms, state):
    """Nor is one that failed recently."""
    entry = state.endpoints.find('e0')
    state.placement(SERVICE)
    state.add_leaving([
        LeavingEndpoint(
            endpoint_id='e0',
            address=entry.address,
            started_at_ms=entry.started_at_ms,
        ),
    ])
    state.find_endpoint_use('e1').on_failure(state.now())
    placed = place_all(rooms, ENDPOINTS * SLOTS)
    assert not {'e0', 'e1'} & set(placed)


def test_report_of_the_host_replaces_what_was_placed(rooms):
    """Requests that ended release their slots."""
    place_all(rooms, ENDPOINTS * SLOTS)
    for number in range(ENDPOINTS * SLOTS):
        report(rooms, f'h{number}')
    assert not any(rooms.online(f'e{number}') for number in range(ENDPOINTS))


def test_each_request_preempts_one_item(rooms):
    """Batch items keep every slot that online requests don't use."""
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
    """Before that, it can't know which slots online requests use."""
    state.update_hosts([make_host(number) for number in range(6)])
    for number in range(reported):
        report(rooms, f'h{number}')
    rooms.delay_batch()
    assert rooms.free('e0') == free
    state.clock.advance(SETTLE_S)
    assert rooms.free('e0') == SLOTS


def cold_state_of(state, per_s):
    """Sets how many requests per second cold endpoints tolerate."""
    state.placement(SERVICE).apply_limit(runner_limit(3.0, per_s))
    state.endpoints.put(make_entry('e0', cold_left_s=3.0), 2)
    state.refresh_placements()


def test_cold_endpoint_gets_few_requests(rooms, state):
    """A burst goes to the others, though the cold endpoint is empty."""
    cold_state_of(state, 3.0)
    placed = place_all(rooms, ENDPOINTS * SLOTS)
    assert placed.count('e0') == 1
    state.clock.advance(0.51)
    assert rooms.place('h99', SERVICE) == 'e0'


def test_cold_endpoint_runs_no_items(rooms, state):
    """What it tolerates is left to online requests."""
    cold_state_of(state, 3.0)
    assert not rooms.free('e0')
    state.clock.advance(3.0)
    assert rooms.free('e0') == SLOTS


def test_evacuated_endpoint_runs_no_items_and_gets_no_requests(rooms, state):
    """Items that already run there may end."""
    run = make_run('a')
    run.endpoint_id = 'e0'
    rooms.begin(run)
    state.placement(SERVICE)
    state.apply_evacuations(frozenset(('east',)))
    assert not any(rooms.free(f'e{number}') > 0 for number in range(ENDPOINTS))
    assert not rooms.place('h1', SERVICE)
    assert not rooms.excess('e0')
    assert not rooms.spare(SERVICE)
