"""Tests of the refusal of requests that outlast a stopping process."""

import pytest
from jacinthmount.errors import ShuttingDown
from jacinthmount.stop_time import KEPT_RUN_TIMES, StopTime

NOW = 100.0


@pytest.fixture
def stop():
    """A process that ends in four seconds."""
    made = StopTime()
    made.begin(NOW + 4)
    return made


def test_process_that_does_not_stop_refuses_nothing():
    """Without a stop any time limit is allowed."""
    StopTime().raise_if_too_late(NOW, 1e9)


def test_time_limit_counts_on_a_route_without_run_times(stop):
    """A request without a known run time may take its whole limit."""
    stop.raise_if_too_late(NOW, 4.0, 'scan')
    with pytest.raises(ShuttingDown) as caught:
        stop.raise_if_too_late(NOW, 4.1, 'scan')
    assert caught.value.retry_after_s < 1


def test_longest_of_the_latest_run_times_counts(stop):
    """Older ones are forgotten, and other routes don't count."""
    stop.note_run('scan', 3.0)
    stop.note_run('check', 9.0)
    for _ in range(KEPT_RUN_TIMES - 1):
        stop.note_run('scan', 0.1)
    with pytest.raises(ShuttingDown):
        stop.raise_if_too_late(NOW, 20.0, 'scan')
    stop.note_run('scan', 0.1)
    stop.raise_if_too_late(NOW, 20.0, 'scan')


def test_time_limit_bounds_long_run_times(stop):
    """A request that ends at its limit fits, whatever others took."""
    stop.note_run('scan', 9.0)
    stop.raise_if_too_late(NOW, 3.0, 'scan')


def test_second_signal_does_not_move_the_end(stop):
    """Only the first one counts."""
    stop.begin(NOW + 9)
    assert stop.ends_at == NOW + 4
