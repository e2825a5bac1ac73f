"""Slots that batch leaves free, replaying online load in steps."""

import pytest
from jacinthmount.batch_capacity import (
    PEAK_WINDOW_S,
    BatchCapacity,
    may_use_any_slot,
)

SLOTS = 360
HIGH, LOW = 220, 46
CYCLE_S, HIGH_S = 6.6, 2.8
TICK_S = 0.1


@pytest.fixture
def capacity():
    """A service of which nothing is known yet."""
    return BatchCapacity()


def play(capacity, seconds):
    """Replays load that rises for 2.8 s of each 6.6 s.

    :returns: the slots that batch could take at each moment, and online's.
    """
    found = []
    for step in range(int(seconds / TICK_S)):
        now = step * TICK_S
        online = HIGH if now % CYCLE_S > CYCLE_S - HIGH_S else LOW
        capacity.note_online(online, now)
        found.append((capacity.spare(SLOTS, 0), online))
    return found


def test_batch_never_takes_what_the_next_rise_needs(capacity):
    """Seen as 647 runs cut short for 202 items, and late requests beside."""
    known = play(capacity, 40)[int(CYCLE_S / TICK_S) :]
    assert all(spare + HIGH <= SLOTS for spare, _ in known)
    assert min(spare for spare, _ in known) > SLOTS / 4


def test_a_peak_is_forgotten(capacity):
    """Slots that online needed once are of use to batch later."""
    capacity.note_online(HIGH, 0.0)
    capacity.note_online(LOW, PEAK_WINDOW_S + 1)
    assert capacity.spare(SLOTS, 0) > SLOTS - HIGH


def test_items_that_run_count(capacity):
    """Nothing is started beyond what is to spare."""
    capacity.note_online(HIGH, 0.0)
    assert not capacity.spare(SLOTS, SLOTS - HIGH)


def test_batch_alone_takes_everything(capacity):
    """Without online requests nothing is left free for them."""
    capacity.note_online(0, 0.0)
    assert capacity.spare(SLOTS, 0) == SLOTS


@pytest.mark.parametrize(('since', 'held'), [(99.0, True), (99.9, False)])
def test_items_take_any_slot_once_they_wait(since, held):
    """Where there is more batch than slots to spare, none stays idle.

    Seen as 74 items that waited for 6 s beside 40 idle slots, on a day on which
    the runs take 4 s each.
    """
    assert may_use_any_slot(since, 100.0) is held
