"""Tests of the parser of server-sent events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from jacinthmount.errors import EndpointFailed
from jacinthmount.event_stream import EventChecker


def event(number):
    """Returns the bytes of one event."""
    return f'id: {number}\ndata: token {number}\n\n'.encode()


@given(
    count=st.integers(1, 6),
    cuts=st.lists(st.integers(1, 40), max_size=20),
)
def test_any_cut_gives_the_same_events(count, cuts):
    """The events do not depend on how the bytes are split into pieces."""
    packed = b''.join(event(number) for number in range(count))
    checker = EventChecker()
    events = []
    for size in cuts:
        events.extend(checker.feed(packed[:size]))
        packed = packed[size:]
    events.extend(checker.feed(packed))
    assert [parsed.number for parsed in events] == list(range(count))
    assert checker.is_between_events


@pytest.mark.parametrize('numbers', [(0, 2), (0, 0), (1, 0)])
def test_gap_or_repeat_is_refused(numbers):
    """An event with a number other than the next one is rejected."""
    checker = EventChecker()
    with pytest.raises(EndpointFailed):
        checker.feed(b''.join(event(number) for number in numbers))


def test_resumed_stream_goes_on_after_the_last_event():
    """A resumed stream continues with the number after the last event."""
    checker = EventChecker(last=4)
    with pytest.raises(EndpointFailed):
        checker.feed(event(0))
    assert EventChecker(last=4).feed(event(5))[0].number == 5


def test_incomplete_event_is_detected():
    """A stream that ends inside an event is incomplete."""
    checker = EventChecker()
    assert not checker.feed(event(0)[:-4])
    assert not checker.is_between_events


def test_data_lines_are_joined():
    """The data of an event consists of all its data lines."""
    checker = EventChecker()
    events = checker.feed(b'id: 0\nevent: x\ndata: a\ndata: b\n\n')
    assert events[0].read_data() == 'a\nb'
