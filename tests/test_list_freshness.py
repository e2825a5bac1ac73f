"""Lists that are taken for complete though they are old."""

import pytest
from jacinthmount.list_freshness import (
    FRESH_S,
    MISSED_S,
    STALL_S,
    ListFreshness,
)
from jacinthmount.memory import ManualClock


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return ManualClock()


@pytest.fixture
def missed():
    """Times at which entries may have come and left."""
    return []


@pytest.fixture
def freshness(clock, missed):
    """A list that has just begun."""
    return ListFreshness(
        clock=clock, on_missed=lambda: missed.append(clock.now())
    )


def run_for(clock, freshness, seconds):
    """Lets the process run."""
    for _ in range(round(seconds / 0.1)):
        clock.advance(0.1)
        freshness.note_alive()


def test_list_of_a_new_process_counts_as_complete(freshness):
    """It has been confirmed by nobody."""
    assert not freshness.is_fresh()


def test_list_counts_as_complete_long_after_it_was_confirmed(clock, freshness):
    """Nothing but the age of a list shows that its host is cut off."""
    freshness.confirm(freshness.now())
    run_for(clock, freshness, FRESH_S - 0.1)
    assert freshness.is_fresh()
    run_for(clock, freshness, 0.2)
    assert not freshness.is_fresh()


def test_list_counts_as_complete_after_a_stop(clock, freshness):
    """Also once the process runs again, until a request sent since then."""
    asked_before = freshness.now()
    freshness.confirm(asked_before)
    clock.advance(STALL_S + 0.1)
    assert not freshness.is_fresh()
    freshness.note_alive()
    freshness.confirm(asked_before)
    assert not freshness.is_fresh()
    freshness.confirm(freshness.now())
    assert freshness.is_fresh()


def test_answer_confirms_a_list_as_of_the_moment_it_comes(clock, freshness):
    """It may have been on its way for long."""
    requested_at = freshness.now()
    run_for(clock, freshness, FRESH_S + 0.1)
    freshness.confirm(requested_at)
    assert not freshness.is_fresh()
    assert not freshness.is_confirmed_since(freshness.now())


def test_what_came_and_left_while_out_of_touch_is_not_missed(
    clock, freshness, missed
):
    """A fresh list does not show it."""
    run_for(clock, freshness, MISSED_S + 0.2)
    freshness.confirm(freshness.now())
    assert len(missed) == 1
    run_for(clock, freshness, MISSED_S - 0.2)
    freshness.confirm(freshness.now())
    assert len(missed) == 1


def test_listing_beside_a_pending_watch_counts_as_a_gap(
    clock, freshness, missed
):
    """The watch brings all changes, but not if it is lost."""
    with freshness.follow():
        run_for(clock, freshness, MISSED_S + 0.2)
        freshness.confirm(freshness.now())
    assert not missed
    freshness.confirm(freshness.now())
    assert missed
