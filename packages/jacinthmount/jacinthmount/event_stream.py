"""Server-sent events cut out of a byte stream and checked for order."""

import re

from jacinthmount.errors import EndlessAnswer, EndpointFailed, GarbageKind

__all__ = ('EventChecker', 'ServerEvent')

ID_LINE = re.compile(rb'^id:[ ]?(\d{1,18})\s*$', re.MULTILINE)
EVENT_END = re.compile(rb'\r?\n\r?\n')
# Bytes that may still be the start of an event's end.
END_OVERLAP_BYTES = 3
MAX_EVENT_BYTES = 1_048_576
# Comments and the like between two numbered events.
MAX_UNNUMBERED_BYTES = 1_048_576


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

    __slots__ = ('_rest', '_searched', '_unnumbered', 'last')

    def __init__(self, *, last: int | None = None) -> None:
        """Starts with nothing received."""
        self._rest = bytearray()
        self._searched = 0
        self._unnumbered = 0
        self.last = last

    @property
    def is_between_events(self) -> bool:
        """Tells whether no part of an event is pending."""
        return not self._rest.strip()

    @property
    def pending_bytes(self) -> int:
        """Bytes received of an event that is not whole yet."""
        return len(self._rest)

    def feed(self, received: bytes) -> list[ServerEvent]:
        """Takes bytes and returns the events that they complete.

        :raises EndpointFailed: an event is missing or repeated.
        :raises EndlessAnswer: an event is too long, or none has a number.
        """
        self._rest += received
        events = []
        start = 0
        found = EVENT_END.search(self._rest, self._searched)
        while found is not None:
            events.append(self._check(bytes(self._rest[start : found.end()])))
            start = found.end()
            found = EVENT_END.search(self._rest, start)
        self._rest = self._rest[start:]
        self._searched = max(0, len(self._rest) - END_OVERLAP_BYTES)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EndlessAnswer(
                kind=GarbageKind.EVENT,
                taken=len(self._rest),
                allowed=MAX_EVENT_BYTES,
            )
        return events

    def _check(self, packed: bytes) -> ServerEvent:
        found = ID_LINE.search(packed)
        if found is None:
            self._count_unnumbered(len(packed))
            return ServerEvent(packed=packed, number=None)
        self._unnumbered = 0
        number = int(found.group(1))
        if self.last is not None and number != self.last + 1:
            raise EndpointFailed(
                detail=f'event {number} follows event {self.last}',
            )
        self.last = number
        return ServerEvent(packed=packed, number=number)

    def _count_unnumbered(self, size: int) -> None:
        self._unnumbered += size
        if self._unnumbered > MAX_UNNUMBERED_BYTES:
            raise EndlessAnswer(
                kind=GarbageKind.UNNUMBERED,
                taken=self._unnumbered,
                allowed=MAX_UNNUMBERED_BYTES,
            )
