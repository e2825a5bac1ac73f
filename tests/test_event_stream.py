"""Server-sent events: cut, checked and resumed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from jacinthmount.errors import EndpointFailed
from jacinthmount.event_stream import EventChecker


def event(number):
    """Packs one event."""
    return f'id: {number}\ndata: token {number}\n\n'.encode()


@given(
    count=st.integers(1, 6),
    cuts=st.lists(st.integers(1, 40), max_size=20),
)
def test_any_cut_gives_the_same_events(count, cuts):
    """Events don't depend on how the bytes are divided."""
    packed = b''.join(event(number) for number in range(count))
    checker = EventChecker()
    found = []
    for size in cuts:
        found.extend(checker.feed(packed[:size]))
        packed = packed[size:]
    found.extend(checker.feed(packed))
    assert [one.number for one in found] == list(range(count))
    assert checker.is_between_events


@pytest.mark.parametrize('numbers', [(0, 2), (0, 0), (1, 0)])
def test_gap_or_repeat_is_refused(numbers):
    """An event that is not the next one ends the stream."""
    checker = EventChecker()
    with pytest.raises(EndpointFailed):
        checker.feed(b''.join(event(number) for number in numbers))


def test_resumed_stream_goes_on_after_the_last_event():
    """Only the event after the last one received may come next."""
    checker = EventChecker(last=4)
    with pytest.raises(EndpointFailed):
        checker.feed(event(0))
    assert EventChecker(last=4).feed(event(5))[0].number == 5


def test_half_an_event_is_noticed():
    """A stream that ends inside an event is not whole."""
    checker = EventChecker()
    assert not checker.feed(event(0)[:-4])
    assert not checker.is_between_events


def test_data_lines_are_joined():
    """The data of an event are its data lines."""
    checker = EventChecker()
    found = checker.feed(b'id: 0\nevent: x\ndata: a\ndata: b\n\n')
    assert found[0].read_data() == 'a\nb'
