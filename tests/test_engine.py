"""Answers of model engines on the first interface."""

import types

import curio
import pytest
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndpointFailed
from jacinthmount_node.engines.engine import EngineExchange

END = b'data: [DONE]\n\n'


class _Http:
    """A connection on which a body was answered."""

    stage = Stage.ANSWERING

    def __init__(self, *, body):
        """Holds the body."""
        self._body = body

    async def iter_body(self):
        """Yields the body."""
        yield self._body


async def read_events(body):
    """Reads the events of an answer."""
    exchange = EngineExchange(http=_Http(body=body))
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
