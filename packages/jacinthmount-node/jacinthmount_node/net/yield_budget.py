"""Turns of tasks that read from peers which never pause."""

import curio

__all__ = ('READ_BYTES', 'YieldBudget')

READ_BYTES = 65_536
MAX_TURN_BYTES = READ_BYTES
MAX_TURN_STEPS = 32


class YieldBudget:
    """Counts what one reader has done since others had their turn.

    A socket that always has bytes is read without waiting, and so without
    letting other tasks or time limits in.
    """

    __slots__ = ('_bytes', '_steps')

    def __init__(self) -> None:
        """Starts with nothing done."""
        self._bytes = 0
        self._steps = 0

    async def spend(self, size: int) -> None:
        """Notes one step, and lets others run after some of them.

        :param size: bytes that the step took in.
        """
        self._bytes += size
        self._steps += 1
        if self._bytes >= MAX_TURN_BYTES or self._steps >= MAX_TURN_STEPS:
            self._bytes = 0
            self._steps = 0
            await curio.sleep(0)
