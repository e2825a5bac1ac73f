"""Writer of answers that counts what callers have not read."""

from typing import Any

from jacinthmount_node.net.connection_memory import ConnectionMemory
from jacinthmount_node.net.sockets import with_timeout

__all__ = ('AnswerWriter',)

WRITE_TIMEOUT_S = 30.0
# Writes above this size count as kept until the caller has read them.
LARGE_WRITE_BYTES = 16_384


class AnswerWriter:
    """Writes parts of answers to one connection."""

    __slots__ = ('_memory', '_sock')

    def __init__(self, *, sock: Any, memory: ConnectionMemory) -> None:
        self._sock = sock
        self._memory = memory

    async def write(self, parts: list[bytes]) -> None:
        """Writes all bytes; those of a usual size at once.

        :raises OSError: the connection has ended.
        :raises TimeoutError: the caller reads too slowly.
        """
        size = sum(len(part) for part in parts)
        if size > LARGE_WRITE_BYTES:
            await with_timeout(WRITE_TIMEOUT_S, self._write_large, parts, size)
            return
        await with_timeout(WRITE_TIMEOUT_S, self._sock.sendall, b''.join(parts))

    async def _write_large(self, parts: list[bytes], size: int) -> None:
        before = await self._memory.begin_answer(size)
        try:
            for part in parts:
                await self._write_pieces(memoryview(part))
        finally:
            await self._memory.end_answer(before)

    async def _write_pieces(self, left: memoryview) -> None:
        while left:
            left = left[await self._sock.send(left) :]
            self._memory.progress(len(left))
