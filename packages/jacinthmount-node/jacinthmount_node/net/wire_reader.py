"""Events of an HTTP connection, read so that no peer holds others up."""

from typing import Any

import h11

from jacinthmount_node.net.yield_budget import READ_BYTES, YieldBudget

__all__ = ('FramingTooLong', 'WireReader')

# Head, trailers, sizes and extensions of chunks, and what is not parsed yet.
MAX_FRAMING_BYTES = 2 * READ_BYTES
MAX_FRAMING_RATIO = 16


class FramingTooLong(h11.RemoteProtocolError):
    """The bytes that frame a body are out of proportion to it."""

    def __init__(self, *, taken: int, allowed: int) -> None:
        """Keeps how much was taken and is allowed, in bytes."""
        super().__init__(f'{taken} bytes of framing, {allowed} allowed')
        self.taken = taken
        self.allowed = allowed


class WireReader:
    """Reads one connection, whichever side of it this is."""

    __slots__ = (
        '_data_bytes',
        '_sock',
        '_taken_bytes',
        '_yield_budget',
        '_wire',
    )

    def __init__(self, *, sock: Any, wire: h11.Connection) -> None:
        """Takes the socket and the state of the connection."""
        self._sock = sock
        self._wire = wire
        self._yield_budget = YieldBudget()
        self._taken_bytes = 0
        self._data_bytes = 0

    async def next_event(self) -> Any:
        """Reads until the next event.

        :raises FramingTooLong: the body is mostly framing.
        """
        while True:
            event = self._wire.next_event()
            if event is not h11.NEED_DATA:
                await self._yield_budget.spend(0)
                self._count(event)
                return event
            received = await self._sock.recv(READ_BYTES)
            await self._yield_budget.spend(len(received))
            self.take(received)

    def take(self, received: bytes) -> None:
        """Takes bytes that were read from the socket."""
        self._taken_bytes += len(received)
        self._wire.receive_data(received)

    def _count(self, event: Any) -> None:
        if isinstance(event, h11.EndOfMessage):
            self._taken_bytes = 0
            self._data_bytes = 0
            return
        if isinstance(event, h11.Data):
            self._data_bytes += len(event.data)
        framing = self._taken_bytes - self._data_bytes
        allowed = MAX_FRAMING_BYTES + self._data_bytes * MAX_FRAMING_RATIO
        if framing > allowed:
            raise FramingTooLong(taken=framing, allowed=allowed)
