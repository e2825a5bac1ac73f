"""Requests with large bodies, which are sent while their answers are read."""

from typing import Any

import curio

from jacinthmount_node.net.sockets import count_unconfirmed

__all__ = ('Upload',)


class Upload:
    """A request that a task of its own sends.

    ``error`` is why it could not be sent.
    """

    __slots__ = ('_ended', '_is_sent', '_parts', '_sock', '_task', 'error')

    def __init__(self, *, sock: Any, parts: list[bytes]) -> None:
        self._ended = curio.Event()
        self._is_sent = False
        self._parts = parts
        self._sock = sock
        self._task: curio.Task | None = None
        self.error: OSError | None = None

    async def start(self) -> None:
        """Begins to send."""
        self._task = await curio.spawn(self._send, daemon=True)

    async def wait(self) -> None:
        """Waits until all was sent, or until that failed."""
        await self._ended.wait()

    async def cancel(self) -> None:
        """Stops to send."""
        if self._task is not None:
            await self._task.cancel()

    def is_taken(self) -> bool:
        """Returns whether all of it has reached the system of the peer."""
        return self._is_sent and not count_unconfirmed(self._sock)

    async def _send(self) -> None:
        try:
            for part in self._parts:
                await self._sock.sendall(part)
            self._is_sent = True
        except OSError as exc:
            self.error = exc
        finally:
            # The body is no longer needed.
            self._parts = []
            await self._ended.set()
