"""Budget of work after which a reading task yields to other tasks."""

import curio

__all__ = ('READ_BYTES', 'YieldBudget')

READ_BYTES = 65_536
# Bytes and steps that a task may process before it yields.
MAX_BYTES = READ_BYTES
MAX_STEPS = 32


class YieldBudget:
    """Counts the work of a reading task since it last yielded.

    Reading a socket that always has data never blocks, so without this the
    task would keep other tasks and timeouts from running.
    """

    __slots__ = ('_bytes', '_steps')

    def __init__(self) -> None:
        self._bytes = 0
        self._steps = 0

    async def spend(self, size: int) -> None:
        """Counts one step, and yields if the budget is used up.

        :param size: bytes that the step read.
        """
        self._bytes += size
        self._steps += 1
        if self._bytes >= MAX_BYTES or self._steps >= MAX_STEPS:
            self._bytes = 0
            self._steps = 0
            await curio.sleep(0)
