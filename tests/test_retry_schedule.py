"""Retry times that are assigned to refused clients."""

import pytest
from jacinthmount.retry_schedule import MAX_WAIT_S, RetrySchedule


@pytest.fixture
def order():
    """A schedule without refused clients."""
    return RetrySchedule()


def test_clients_retry_as_fast_as_tokens_accrue(order):
    """Five clients refused at once retry a quarter of a second apart."""
    waits = [order.plan_retry_after_s('gin', 4.0, 0.1, 10.0) for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.35, 0.6, 0.85, 1.1])


def test_no_retry_time_is_longer_than_a_client_waits(order):
    """Clients without a free retry time get the longest wait."""
    waits = [order.plan_retry_after_s('gin', 1.0, 0.2, 0.0) for _ in range(4)]
    assert waits == pytest.approx([0.2, 1.2, MAX_WAIT_S, MAX_WAIT_S])


def test_accounts_do_not_delay_each_other(order):
    """The retry times of accounts are independent."""
    order.plan_retry_after_s('gin', 1.0, 0.1, 0.0)
    assert order.plan_retry_after_s('audit', 1.0, 0.1, 0.0) == pytest.approx(
        0.1
    )


def test_past_retry_times_are_free_again(order):
    """After a burst a refused client may retry soon."""
    for _ in range(3):
        order.plan_retry_after_s('gin', 2.0, 0.1, 0.0)
    assert order.plan_retry_after_s('gin', 2.0, 0.1, 60.0) == pytest.approx(0.1)
