"""Reader of HTTP events that yields regularly and limits framing bytes."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11

from jacinthmount_node.net.yield_budget import READ_BYTES, YieldBudget

__all__ = ('FramingTooLong', 'WireReader')

# Framing is everything but body data: head, trailers, chunk sizes and
# extensions, and bytes that are not parsed yet. Its limit is this size plus
# the ratio times the size of the body data.
MAX_FRAMING_BYTES = 2 * READ_BYTES
MAX_FRAMING_RATIO = 16
# What a head has beside the target, the names and the values: a colon, a space
# and the end of a line, and the rest of the request line.
SEPARATOR_BYTES = 4
REQUEST_LINE_BYTES = 20
USUAL_HEAD_BYTES = 2048


class FramingTooLong(h11.RemoteProtocolError):
    """A message has too many framing bytes for the size of its body."""

    def __init__(self, *, taken: int, allowed: int) -> None:
        """Creates the error from the framing bytes received and allowed."""
        super().__init__(f'{taken} bytes of framing, {allowed} allowed')
        self.taken = taken
        self.allowed = allowed


class WireReader:
    """Reads the events of one connection as its client or its server."""

    __slots__ = (
        '_data_bytes',
        '_error',
        '_find_limit',
        '_on_incomplete',
        '_sock',
        '_received_bytes',
        '_yield_budget',
        '_wire',
    )

    def __init__(
        self,
        *,
        sock: Any,
        wire: h11.Connection,
        find_limit: Callable[[], int] | None = None,
        on_incomplete: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        """Creates a reader.

        :param find_limit: returns the bytes that the target, the names and the
            values of an incomplete head may have now, or None to leave the
            limit to the parser.
        :param on_incomplete: told the bytes of an incomplete head that are
            kept, once there are more than most heads have.
        """
        self._sock = sock
        self._wire = wire
        self._find_limit = find_limit
        self._on_incomplete = on_incomplete
        self._yield_budget = YieldBudget()
        self._received_bytes = 0
        self._data_bytes = 0
        # That of a read ahead, until it is raised.
        self._error: OSError | None = None

    async def next_event(self) -> Any:
        """Reads until the next event and returns it.

        :raises FramingTooLong: there are too many framing bytes.
        :raises h11.RemoteProtocolError: an incomplete head exceeds its limit.
        :raises OSError: the connection failed.
        """
        while True:
            event = self._wire.next_event()
            if event is not h11.NEED_DATA:
                await self._yield_budget.spend(0)
                self._check_framing(event)
                return event
            await self._check_incomplete()
            if self._error is not None:
                raise self._error
            received = await self._sock.recv(READ_BYTES)
            await self._yield_budget.spend(len(received))
            self.take(received)

    async def read_ahead(self) -> None:
        """Waits for bytes and keeps them for the next events.

        An error is kept as well, and raised where the next bytes are needed.
        """
        try:
            received = await self._sock.recv(READ_BYTES)
        except OSError as exc:
            self._error = exc
        else:
            self.take(received)

    def take(self, received: bytes) -> None:
        """Passes bytes to the parser that were read from the socket."""
        self._received_bytes += len(received)
        self._wire.receive_data(received)

    async def _check_incomplete(self) -> None:
        if self._find_limit is None:
            return
        limit = self._find_limit()
        incomplete = self._wire.trailing_data[0]
        separators = incomplete.count(b'\n') * SEPARATOR_BYTES
        allowed = limit + REQUEST_LINE_BYTES + min(separators, limit)
        if len(incomplete) > allowed:
            raise h11.RemoteProtocolError(
                f'{len(incomplete)} bytes without an end',
                error_status_hint=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        if self._on_incomplete and len(incomplete) > USUAL_HEAD_BYTES:
            await self._on_incomplete(len(incomplete))

    def _check_framing(self, event: Any) -> None:
        if isinstance(event, h11.EndOfMessage):
            self._received_bytes = 0
            self._data_bytes = 0
            return
        if isinstance(event, h11.Data):
            self._data_bytes += len(event.data)
        framing = self._received_bytes - self._data_bytes
        allowed = MAX_FRAMING_BYTES + self._data_bytes * MAX_FRAMING_RATIO
        if framing > allowed:
            raise FramingTooLong(taken=framing, allowed=allowed)
