"""Times at which refused clients are told to come back."""

import pytest
from jacinthmount.retry_schedule import MAX_WAIT_S, RetrySchedule


@pytest.fixture
def order():
    """Nobody was told to come back yet."""
    return RetrySchedule()


def test_clients_return_as_fast_as_tokens_accrue(order):
    """Five clients refused at once come back half a second apart."""
    waits = [order.plan_retry_after_s('gin', 4.0, 0.1, 10.0) for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.35, 0.6, 0.85, 1.1])


def test_no_client_is_sent_away_for_longer_than_it_would_wait(order):
    """Whoever finds no time left comes at the last moment."""
    waits = [order.plan_retry_after_s('gin', 1.0, 0.2, 0.0) for _ in range(4)]
    assert waits == pytest.approx([0.2, 1.2, MAX_WAIT_S, MAX_WAIT_S])


def test_accounts_do_not_delay_each_other(order):
    """The return of one account's clients says nothing about another's."""
    order.plan_retry_after_s('gin', 1.0, 0.1, 0.0)
    assert order.plan_retry_after_s('audit', 1.0, 0.1, 0.0) == pytest.approx(
        0.1
    )


def test_time_that_passed_is_free_again(order):
    """After the burst a refused client may come back soon."""
    for _ in range(3):
        order.plan_retry_after_s('gin', 2.0, 0.1, 0.0)
    assert order.plan_retry_after_s('gin', 2.0, 0.1, 60.0) == pytest.approx(0.1)
