"""Tests of the memory budget of callers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthmount.caller_memory import CallerMemory, Holding, HoldState
from jacinthmount.json_size import estimate_parsed_bytes
from jacinthmount.memory import ManualClock

LIMIT_BYTES = 1_000_000
IDLE_BYTES = 100


class Site:
    """A budget and its clock."""

    def __init__(self, **options):
        """Starts without connections."""
        self.clock = ManualClock()
        self.memory = CallerMemory(
            clock=self.clock, limit_bytes=LIMIT_BYTES, **options
        )

    def open(self, name, state=HoldState.IDLE):
        """Opens a connection."""
        holding = Holding(owner=name, now=self.clock.now())
        self.memory.open(holding, IDLE_BYTES)
        self.memory.enter(holding, state)
        return holding

    def receive(self, name, size, remaining=1):
        """Opens a connection that has received a part of a body."""
        holding = self.open(name, HoldState.RECEIVING)
        self.memory.resize(holding, size)
        self.memory.progress(holding, remaining)
        return holding


@pytest.fixture
def site():
    """A budget of a million bytes."""
    return Site()


def names(holdings):
    """Returns the owners of holdings."""
    return [one.owner for one in holdings]


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.integers(0, 500_000),
            st.sampled_from([HoldState.RECEIVING, HoldState.ANSWERING]),
        ),
        max_size=60,
    )
)
def test_sum_stays_within_limit(steps):
    """What is held stays within the limit, and sums up."""
    site = Site()
    holdings = [site.open(number) for number in range(10)]
    for number, size, state in steps:
        site.memory.enter(holdings[number], state)
        site.memory.resize(holdings[number], size)
        assert site.memory.total_bytes <= LIMIT_BYTES
        assert site.memory.total_bytes == sum(
            one.size_bytes for one in holdings
        )


def test_silent_body_makes_room_before_active_ones(site):
    """A body that stopped short of its end goes first, however near it is."""
    site.receive('silent', 300_000, remaining=1)
    site.clock.advance(1.0)
    site.receive('active', 300_000, remaining=500_000)
    newest = site.receive('newest', 100_000, remaining=400_000)
    assert names(site.memory.resize(newest, 300_000)) == ['silent']


def test_body_with_the_most_to_come_makes_room_among_active_ones(site):
    """Of those that are being sent, the one nearest to its end stays."""
    site.receive('near', 400_000, remaining=10)
    far = site.receive('far', 300_000, remaining=100_000)
    assert names(site.memory.resize(far, 400_000)) == ['far']
    assert far.is_ended


def test_crowd_of_small_bodies_makes_room_for_large_one(site):
    """Many small silent bodies don't hide behind one large body."""
    for number in range(200):
        site.receive(number, 3000)
    site.clock.advance(1.0)
    large = site.receive('large', 100_000, remaining=300_000)
    ended = site.memory.resize(large, 300_000)
    assert ended
    assert not large.is_ended


def test_small_request_finds_room_beside_large_ones(site):
    """Large bodies fill only a part of the budget."""
    for number in range(10):
        one = site.receive(number, 300_000)
        site.memory.enter(one, HoldState.ANSWERING)
    small = site.receive('small', 2000)
    assert not small.is_ended


def test_complete_requests_are_not_ended(site):
    """A body that finds no room beside complete ones is refused itself."""
    complete = site.receive('complete', 700_000)
    site.memory.enter(complete, HoldState.ANSWERING)
    late = site.receive('late', 100_000)
    assert late.is_ended
    assert not complete.is_ended


def test_ready_answer_is_kept_beside_complete_requests(site):
    """An answer is sent even if nothing makes room for it."""
    complete = site.receive('complete', 700_000)
    site.memory.enter(complete, HoldState.ANSWERING)
    answer = site.open('answer', HoldState.SENDING)
    assert not site.memory.resize(answer, 500_000, is_forced=True)
    assert not answer.is_ended


def test_answer_that_nobody_reads_makes_room(site):
    """Answers that are not read are ended before new ones."""
    unread = site.open('unread', HoldState.SENDING)
    site.memory.resize(unread, 600_000, is_forced=True)
    site.clock.advance(5.0)
    answer = site.open('answer', HoldState.SENDING)
    ended = site.memory.resize(answer, 500_000, is_forced=True)
    assert names(ended) == ['unread']


def test_longest_idle_connection_makes_room_for_new_one():
    """Beyond the limit on connections, idle ones are closed."""
    site = Site(max_connections=2)
    site.open('oldest')
    site.clock.advance(1.0)
    site.open('other')
    newest = Holding(owner='newest', now=site.clock.now())
    assert names(site.memory.open(newest, IDLE_BYTES)) == ['oldest']
    assert not newest.is_ended


def test_new_connection_is_refused_without_idle_ones():
    """Beyond the limit, requests in progress keep their connections."""
    site = Site(max_connections=1)
    busy = site.open('busy', HoldState.ANSWERING)
    refused = site.open('refused')
    assert refused.is_ended
    assert not busy.is_ended


def test_closed_connection_is_not_counted(site):
    """What a connection held is free once it has ended."""
    holding = site.receive('one', 500_000)
    site.memory.close(holding)
    site.memory.resize(holding, 700_000)
    assert (site.memory.total_bytes, site.memory.connections) == (0, 0)


@pytest.mark.parametrize(
    ('packed', 'least'),
    [
        (b'{"a": "%b"}' % (b'x' * 1000), 1000),
        (b'[%b{}]' % (b'{},' * 1000), 64_000),
        (b'[%b""]' % (b'"ab",' * 1000), 50_000),
        (f'["{"x" * 1000}\U0001f600"]'.encode(), 4000),
        (json.dumps(['x' * 1000, '\U0001f600']).encode(), 4000),
    ],
    ids=['text', 'objects', 'texts', 'emoji', 'escaped emoji'],
)
def test_parsed_form_is_not_underestimated(packed, least):
    """The estimate is at least what the objects take."""
    assert estimate_parsed_bytes(packed) >= least
