"""Tests of the refusal of requests that outlast a stopping process."""

import math

import pytest
from jacinthmount.errors import ShuttingDown
from jacinthmount.stop_time import KEPT_RUN_TIMES, StopTime

NOW = 100.0
ESTIMATES_UNTIL = NOW + 1


@pytest.fixture
def stop():
    """A process that ends in four seconds."""
    made = StopTime()
    made.begin(NOW + 4, ESTIMATES_UNTIL)
    return made


def test_process_that_does_not_stop_refuses_nothing():
    """Without a stop any time limit is allowed."""
    StopTime().raise_if_too_late(NOW, 1e9)


def test_time_limit_counts_on_a_route_without_run_times(stop):
    """A request without a known run time may take its whole limit."""
    stop.raise_if_too_late(NOW, 4.0, 'scan', NOW)
    with pytest.raises(ShuttingDown) as caught:
        stop.raise_if_too_late(NOW, 4.1, 'scan', NOW)
    assert caught.value.retry_after_s < 1


def test_longest_of_the_latest_run_times_counts(stop):
    """Older ones are forgotten, and other routes don't count."""
    stop.note_run('scan', 3.0)
    stop.note_run('check', 9.0)
    for _ in range(KEPT_RUN_TIMES - 1):
        stop.note_run('scan', 0.1)
    with pytest.raises(ShuttingDown):
        stop.raise_if_too_late(NOW, 20.0, 'scan', NOW)
    stop.note_run('scan', 0.1)
    stop.raise_if_too_late(NOW, 20.0, 'scan', NOW)


def test_time_limit_bounds_long_run_times(stop):
    """A request that ends at its limit fits, whatever others took."""
    stop.note_run('scan', 9.0)
    stop.raise_if_too_late(NOW, 3.0, 'scan', NOW)


@pytest.mark.parametrize('taken_at', [ESTIMATES_UNTIL + 0.01, math.inf])
def test_run_times_of_others_bound_a_late_request(stop, taken_at):
    """Guards against requests that are run and cut, as others were short."""
    stop.note_run('scan', 0.1)
    stop.raise_if_too_late(NOW, 20.0, 'scan', ESTIMATES_UNTIL)
    stop.raise_if_too_late(NOW, 4.0, 'scan', taken_at)
    with pytest.raises(ShuttingDown):
        stop.raise_if_too_late(NOW, 20.0, 'scan', taken_at)


def test_request_that_waited_is_judged_by_its_arrival(stop):
    """It was taken while estimates counted, and has waited since."""
    stop.note_run('scan', 0.1)
    stop.raise_if_too_late(ESTIMATES_UNTIL + 1, 20.0, 'scan', ESTIMATES_UNTIL)


def test_second_signal_does_not_move_the_end(stop):
    """Only the first one counts."""
    stop.note_run('scan', 0.1)
    stop.begin(NOW + 9, NOW + 9)
    assert stop.ends_at == NOW + 4
    with pytest.raises(ShuttingDown):
        stop.raise_if_too_late(NOW, 20.0, 'scan', ESTIMATES_UNTIL + 1)
