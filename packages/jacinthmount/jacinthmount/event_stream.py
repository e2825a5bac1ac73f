"""Server-sent events cut out of a byte stream and checked for order."""

import re

from jacinthmount.errors import EndpointFailed

__all__ = ('EventChecker', 'ServerEvent')

ID_LINE = re.compile(rb'^id:[ ]?(\d+)\s*$', re.MULTILINE)
EVENT_END = re.compile(rb'\r?\n\r?\n')
MAX_EVENT_BYTES = 1_048_576


class ServerEvent:
    """One whole event: its bytes as sent, its number and its data."""

    __slots__ = ('number', 'packed')

    def __init__(self, *, packed: bytes, number: int | None) -> None:
        """Keeps the bytes with the blank line that ends them."""
        self.packed = packed
        self.number = number

    def read_data(self) -> str:
        """Joins the data lines of the event."""
        lines = self.packed.decode('utf-8', 'replace').splitlines()
        found = [
            line[len('data:') :].removeprefix(' ')
            for line in lines
            if line.startswith('data:')
        ]
        return '\n'.join(found)


class EventChecker:
    """Cuts bytes into events and refuses gaps and repeats.

    :param last: number of the last event already received, or None.
    """

    __slots__ = ('_rest', 'last')

    def __init__(self, *, last: int | None = None) -> None:
        """Starts with nothing received."""
        self._rest = b''
        self.last = last

    def feed(self, received: bytes) -> list[ServerEvent]:
        """Takes bytes and returns the events that they complete.

        :raises EndpointFailed: an event is missing, repeated or too long.
        """
        self._rest += received
        events = []
        start = 0
        for found in EVENT_END.finditer(self._rest):
            events.append(self._check(self._rest[start : found.end()]))
            start = found.end()
        self._rest = self._rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EndpointFailed(detail='event too long')
        return events

    @property
    def is_between_events(self) -> bool:
        """Tells whether no part of an event is pending."""
        return not self._rest.strip()

    def _check(self, packed: bytes) -> ServerEvent:
        found = ID_LINE.search(packed)
        if found is None:
            return ServerEvent(packed=packed, number=None)
        number = int(found.group(1))
        if self.last is not None and number != self.last + 1:
            raise EndpointFailed(
                detail=f'event {number} follows event {self.last}',
            )
        self.last = number
        return ServerEvent(packed=packed, number=number)
