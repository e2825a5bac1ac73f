"""Answers of model engines on the first interface."""

import itertools
import types

import curio
import pytest
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndlessAnswer, EndpointFailed, GarbageKind
from jacinthmount.event_stream import MAX_EVENT_BYTES
from jacinthmount_node.engines.engine import EngineExchange

END = b'data: [DONE]\n\n'


class _Http:
    """A connection on which a body was answered."""

    stage = Stage.ANSWERING

    def __init__(self, *, pieces):
        """Holds the pieces of the body."""
        self._pieces = pieces
        self.held_bytes = 0
        self.tracked = []

    async def iter_body(self):
        """Yields the pieces."""
        for piece in self._pieces:
            yield piece

    def track_event_bytes(self, size):
        """Records the bytes that the answer takes in memory."""
        self.tracked.append(self.held_bytes + size)


def make_exchange(http):
    """Makes an exchange whose answer has a head and is to be read."""
    exchange = EngineExchange(http=http)
    exchange.status = 200
    return exchange


async def read_events(body):
    """Reads the events of an answer."""
    exchange = make_exchange(_Http(pieces=[body]))
    return [event async for event in exchange.iter_events()]


ODD_EVENTS = types.MappingProxyType({
    'not utf-8': b'{"choices": [{"text": "\xff"}]}',
    'number for choices': b'{"choices": 5}',
    'number for a choice': b'{"choices": [5]}',
    'number for a text': b'{"choices": [{"text": 5}]}',
    'list for a text': b'{"choices": [{"delta": {"content": ["a"]}}]}',
    'list': b'[]',
    'number': b'5',
    'null': b'null',
    'nesting': b'[' * 100_000,
})


@pytest.mark.parametrize('payload', ODD_EVENTS.values(), ids=ODD_EVENTS)
def test_odd_event_is_an_error_of_the_host(payload):
    """It is a failure of the engine, after which another one is asked."""
    body = b''.join((b'data: ', payload, b'\n\n', END))
    with pytest.raises(EndpointFailed):
        curio.run(read_events, body)


def test_whole_answer_is_taken_for_odd():
    """Events without a choice, with null fields and with usage are read."""
    body = (
        b'data: {"choices": [], "usage": null}\n\n'
        b'data: {"choices": [{"delta": {"content": null}}]}\n\n'
        b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
        b'data: {"choices": [{"text": "b"}], "usage": {"total_tokens": 1}}\n\n'
    )
    events = curio.run(read_events, body + END)
    assert [event.text for event in events] == ['', '', 'a', 'b']


def test_line_without_end_is_kept():
    """It ends with an error once it is longer than an event may be.

    Guards against an engine that fills the memory of a host.
    """
    http = _Http(pieces=itertools.repeat(b'x' * 65_536))

    async def read():
        async for _ in make_exchange(http).iter_events():
            pytest.fail('a line without end has no event')

    with pytest.raises(EndlessAnswer) as caught:
        curio.run(read)
    assert caught.value.kind is GarbageKind.EVENT
    assert max(http.tracked) <= MAX_EVENT_BYTES


def test_text_that_is_kept_is_not_counted():
    """The budget of all answers counts what the reader keeps of each."""
    event = b'data: {"choices": [{"text": "abcd"}]}\n\n'
    http = _Http(pieces=[event, event, END])

    async def read():
        exchange = make_exchange(http)
        async for one in exchange.iter_events():
            exchange.held_bytes += len(one.text)

    curio.run(read)
    assert http.tracked == [4, 8, 8]
