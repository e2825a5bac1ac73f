"""Tests of the decisions about orders to engines."""

import pytest
from jacinthmount.orders import (
    ORDER_MAX_S,
    ORDER_STOP_S,
    OrderView,
    Step,
    Target,
    make_order,
    may_send_order,
    may_take_lease,
    next_lease,
    next_step,
    order_delay_s,
    runs_target,
    serves,
    slot_time_s,
)
from jacinthmount.ports import EngineState
from jacinthmount.records import replaced

TARGET = Target(
    weights='w',
    version='2',
    adapters=['a'],
    role='',
    basis=7,
)
EMPTY = EngineState(
    weights='',
    version='',
    adapters=[],
    role='',
    loading=False,
    fencing=0,
)
OLD = replaced(EMPTY, weights='w', version='1', adapters=['a'])
NEW = replaced(OLD, version='2')


@pytest.fixture
def view():
    """An engine with an old version, and another one that serves."""
    return OrderView(
        target=TARGET,
        state=OLD,
        has_slot=True,
        closed=True,
        idle=True,
        others=1,
        siblings=1,
        ordered_s=None,
    )


def test_fencing_number_increases_with_each_write():
    """Each order has its own fencing number, for any holder."""
    first = next_lease(None, 'a', '1', 7, '')
    renewed = next_lease(first, 'a', '1', 7, '')
    other = next_lease(renewed, 'b', '1', 8, '')
    assert first.fencing < renewed.fencing < other.fencing
    assert make_order(TARGET, other).fencing == other.fencing


def test_orders_of_two_holders_never_overlap():
    """The last order of a holder ends before the first of the next one."""
    lease = next_lease(None, 'a', '1', 7, '')
    last_order_ends = ORDER_STOP_S + ORDER_MAX_S
    assert not may_send_order(0, ORDER_STOP_S)
    assert order_delay_s(lease, 0, fenced=False) >= last_order_ends
    assert not order_delay_s(lease, 0, fenced=True)
    assert not order_delay_s(lease, lease.fencing, fenced=False)


def test_host_with_old_declarations_takes_no_lease():
    """No order is based on an older declaration than one before it."""
    lease = next_lease(None, 'a', '1', 7, '')
    assert not may_take_lease(lease, 6)
    assert may_take_lease(lease, 7)


@pytest.mark.parametrize(
    ('changes', 'step'),
    [
        ({}, Step.ORDER),
        ({'target': None}, Step.NOTHING),
        ({'state': None}, Step.NOTHING),
        ({'state': NEW}, Step.FINISH),
        ({'state': NEW, 'has_slot': False}, Step.NOTHING),
        ({'state': replaced(NEW, loading=True)}, Step.NOTHING),
        ({'state': replaced(OLD, loading=True)}, Step.WAIT),
        ({'has_slot': False}, Step.TAKE_SLOT),
        ({'closed': False}, Step.CLOSE),
        ({'closed': False, 'others': 0}, Step.WAIT),
        ({'closed': False, 'others': 0, 'siblings': 0}, Step.CLOSE),
        ({'closed': False, 'others': 0, 'state': EMPTY}, Step.CLOSE),
        ({'idle': False}, Step.WAIT),
        ({'ordered_s': 1.0}, Step.WAIT),
        ({'ordered_s': ORDER_MAX_S}, Step.ORDER),
    ],
)
def test_next_step(view, changes, step):
    """The steps: load slot, no new requests, none running, then the order."""
    assert next_step(replaced(view, **changes)) is step


def test_adapters_need_no_slot(view):
    """Only weights are loaded from the rate-limited store."""
    state = replaced(NEW, adapters=[])
    found = next_step(replaced(view, state=state, has_slot=False))
    assert found is Step.ORDER


def test_engine_serves_until_its_turn_to_load():
    """An engine serves an earlier version, but not while it loads."""
    assert serves(TARGET, NEW)
    assert serves(TARGET, OLD)
    assert serves(None, OLD)
    assert serves(TARGET, None)
    assert not serves(TARGET, EMPTY)
    assert not serves(TARGET, replaced(NEW, loading=True))


def test_engine_runs_its_target_once_it_is_ready():
    """The version must match, and nothing may be loading."""
    assert runs_target(TARGET, NEW)
    assert not runs_target(TARGET, OLD)
    assert not runs_target(TARGET, replaced(NEW, loading=True))
    assert not runs_target(TARGET, None)


def test_slot_time_follows_the_rate():
    """A load keeps its slot for as long as it takes at its bandwidth."""
    assert slot_time_s(100 * 1024 * 1024, 10) == pytest.approx(10)
    assert slot_time_s(100 * 1024 * 1024, 0) == slot_time_s(0, 10)
