"""Tests of token buckets and loans."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.buckets import LOAN_S, TAKE_VALID_S, Bucket

RATE_PER_S = 4.0
BURST = 16.0
ROUNDING = 1e-6
STEPS = st.lists(
    st.tuples(
        st.sampled_from(['take east', 'take west', 'lend', 'wait', 'resize']),
        st.floats(min_value=0.01, max_value=4),
    ),
    max_size=60,
)


def test_starts_empty():
    """A bucket of a restarted host holds no tokens."""
    bucket = Bucket(rate_per_s=1, burst=5, now=0)
    assert not bucket.take(1, 0)


def test_refills_up_to_lowered_capacity():
    """The capacity excludes the tokens that accrue while a token is valid."""
    bucket = Bucket(rate_per_s=10, burst=5, now=0)
    assert bucket.level(100) == 5 - 10 * TAKE_VALID_S


def test_small_burst_keeps_half_and_gives_up_rate():
    """A burst below the tokens that accrue while one is valid still admits."""
    bucket = Bucket(rate_per_s=1000, burst=4, now=0)
    assert bucket.level(10) == 2
    assert bucket.total_rate(10) == 2 / TAKE_VALID_S


def test_loan_moves_rate_capacity_and_level():
    """A loan transfers rate, capacity and level from the lender."""
    lender = Bucket(rate_per_s=2, burst=8, now=0, level=8)
    before = lender.total_capacity(0)
    loan = lender.lend('loan', 0.5, 0)
    assert loan is not None
    assert lender.total_capacity(0) + loan.capacity == before
    assert lender.total_rate(0) + loan.rate_per_s == 2
    assert lender.level(0) == loan.level


def test_loan_returns_without_its_level():
    """Tokens that the borrower may have used do not return to the lender."""
    lender = Bucket(rate_per_s=0, burst=8, now=0, level=8)
    lender.lend('loan', 0.5, 0)
    assert lender.level(100) == 4


def test_loan_is_valid_from_the_request():
    """A late reply shortens the loan, which starts at the request."""
    lender = Bucket(rate_per_s=2, burst=8, now=0, level=8)
    loan = lender.lend('loan', 0.5, 1)
    borrower = Bucket(rate_per_s=0, burst=0, now=0)
    assert loan is not None
    assert borrower.borrow(loan, 0, 1)
    assert borrower.level(LOAN_S - 0.1) > 0
    assert not borrower.level(LOAN_S)
    assert not borrower.borrow(loan, 0, LOAN_S)


def test_reduced_rate_holds_when_loan_ends():
    """A loan that ends after a reduction of the rate returns within it."""
    bucket = Bucket(rate_per_s=10, burst=20, now=0, level=20)
    bucket.lend('loan', 0.5, 0)
    bucket.resize(4, 4, 1)
    assert bucket.total_rate(100) == 4


@seed(20261204)
@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_no_window_exceeds_rate_and_burst(steps):
    """Two data centres with loans stay within one reference bucket."""
    east = Bucket(
        rate_per_s=RATE_PER_S / 2, burst=BURST / 2, now=0, level=BURST
    )
    west = Bucket(
        rate_per_s=RATE_PER_S / 2, burst=BURST / 2, now=0, level=BURST
    )
    now = 0.0
    reference = BURST
    for number, (action, amount) in enumerate(steps):
        if action == 'wait':
            now += amount
            reference = min(BURST, reference + RATE_PER_S * amount)
        elif action == 'lend':
            loan = east.lend(str(number), 0.5, now)
            if loan:
                west.borrow(loan, now - amount / 8, now)
        elif action != 'resize':
            bucket = east if action.endswith('east') else west
            if bucket.take(amount, now):
                reference -= amount
        assert reference + ROUNDING >= 0
