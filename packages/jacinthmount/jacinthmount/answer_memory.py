"""Memory that answers under way may take together.

Answers a load of several endpoints that send without end at the same time: what
has grown largest is broken off, so that whole answers of usual size go on.
"""

from collections.abc import Hashable

__all__ = ('AnswerMemory',)

DEFAULT_LIMIT_BYTES = 67_108_864


class AnswerMemory:
    """Bytes held for each answer that is not whole yet."""

    __slots__ = ('_held', '_limit_bytes', '_total', 'peak_bytes')

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Starts with nothing held."""
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, int] = {}
        self._total = 0
        # The most that was held at a time.
        self.peak_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Most bytes that all answers may take together."""
        return self._limit_bytes

    @property
    def total(self) -> int:
        """Bytes that all answers take now."""
        return self._total

    def track_bytes(self, holder: Hashable, size: int) -> Hashable | None:
        """Notes how many bytes of an answer are held.

        :returns: the holder that has to be broken off, if the bytes of all
            exceed the limit; its own are not counted any more.
        """
        self._total += size - self._held.get(holder, 0)
        self._held[holder] = size
        if self._total <= self._limit_bytes:
            self.peak_bytes = max(self.peak_bytes, self._total)
            return None
        largest = max(self._held, key=lambda one: self._held[one])
        self.release(largest)
        return largest

    def release(self, holder: Hashable) -> None:
        """Notes that nothing of an answer is held any more."""
        self._total -= self._held.pop(holder, 0)
