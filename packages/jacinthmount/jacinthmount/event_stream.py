"""Parser of server-sent events that checks their numbers for gaps."""

import re

from jacinthmount.errors import EndlessAnswer, EndpointFailed, GarbageKind

__all__ = ('MAX_EVENT_BYTES', 'EventChecker', 'ServerEvent')

ID_LINE = re.compile(rb'^id:[ ]?(\d{1,18})\s*$', re.MULTILINE)
EVENT_END = re.compile(rb'\r?\n\r?\n')
# Trailing bytes that may be an incomplete ``EVENT_END``, searched again.
END_OVERLAP_BYTES = 3
MAX_EVENT_BYTES = 1_048_576
# Limit on comments and other unnumbered events between two numbered ones.
MAX_UNNUMBERED_BYTES = 1_048_576


class ServerEvent:
    """One complete event: its bytes as received and its number."""

    __slots__ = ('number', 'packed')

    def __init__(self, *, packed: bytes, number: int | None) -> None:
        """Creates an event.

        :param packed: bytes of the event with the blank line that ends it.
        :param number: its id, or None if it has none.
        """
        self.packed = packed
        self.number = number

    def read_data(self) -> str:
        """Joins the data lines of the event."""
        lines = self.packed.decode('utf-8', 'replace').splitlines()
        data_lines = [
            line[len('data:') :].removeprefix(' ')
            for line in lines
            if line.startswith('data:')
        ]
        return '\n'.join(data_lines)


class EventChecker:
    """Splits a byte stream into events; rejects gaps and repeats.

    :param last: number of the last event received before, or None.
    """

    __slots__ = ('_buffer', '_searched', '_unnumbered_bytes', 'last')

    def __init__(self, *, last: int | None = None) -> None:
        self._buffer = bytearray()
        self._searched = 0
        self._unnumbered_bytes = 0
        self.last = last

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer.strip()

    @property
    def rest(self) -> bytes:
        """Bytes after the last event.

        A stream may end with blank lines, which are part of its body.
        """
        return bytes(self._buffer)

    @property
    def pending_bytes(self) -> int:
        """Size of the buffered incomplete event in bytes."""
        return len(self._buffer)

    def feed(self, received: bytes) -> list[ServerEvent]:
        """Adds received bytes and returns the events that they complete.

        :raises EndpointFailed: an event is missing or repeated.
        :raises EndlessAnswer: an event is too long, or too many bytes came
            without a numbered event.
        """
        self._buffer += received
        events = []
        start = 0
        match = EVENT_END.search(self._buffer, self._searched)
        while match is not None:
            events.append(self._check(bytes(self._buffer[start : match.end()])))
            start = match.end()
            match = EVENT_END.search(self._buffer, start)
        self._buffer = self._buffer[start:]
        self._searched = max(0, len(self._buffer) - END_OVERLAP_BYTES)
        EndlessAnswer.check(
            GarbageKind.EVENT, len(self._buffer), MAX_EVENT_BYTES
        )
        return events

    def _check(self, packed: bytes) -> ServerEvent:
        match = ID_LINE.search(packed)
        if match is None:
            self._count_unnumbered(len(packed))
            return ServerEvent(packed=packed, number=None)
        self._unnumbered_bytes = 0
        number = int(match.group(1))
        if self.last is not None and number != self.last + 1:
            raise EndpointFailed(
                detail=f'event {number} follows event {self.last}',
            )
        self.last = number
        return ServerEvent(packed=packed, number=number)

    def _count_unnumbered(self, size: int) -> None:
        self._unnumbered_bytes += size
        EndlessAnswer.check(
            GarbageKind.UNNUMBERED,
            self._unnumbered_bytes,
            MAX_UNNUMBERED_BYTES,
        )
