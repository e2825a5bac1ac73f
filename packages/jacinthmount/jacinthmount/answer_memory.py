"""Memory budget shared by all answers that are being received.

Guards against several endpoints that send without end at the same time: the
largest answer is aborted, so that answers of usual size can complete.
"""

from collections.abc import Hashable

__all__ = ('AnswerMemory',)

DEFAULT_LIMIT_BYTES = 67_108_864


class AnswerMemory:
    """Counts the buffered bytes of each incomplete answer against a limit."""

    __slots__ = ('_sizes', '_limit_bytes', '_used_bytes', 'peak_bytes')

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[Hashable, int] = {}
        self._used_bytes = 0
        # Highest value of ``total`` so far.
        self.peak_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Limit on the buffered bytes of all answers together."""
        return self._limit_bytes

    @property
    def total(self) -> int:
        """Bytes that are buffered for all answers now."""
        return self._used_bytes

    def track_bytes(self, holder: Hashable, size: int) -> Hashable | None:
        """Sets the number of buffered bytes of an answer.

        :param holder: identifies the answer.
        :param size: its buffered bytes, which replace the number set before.
        :returns: the holder of the largest answer, which the caller has to
            abort, if all answers together exceed the limit; its bytes are no
            longer counted. None otherwise.
        """
        self._used_bytes += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
        if self._used_bytes <= self._limit_bytes:
            self.peak_bytes = max(self.peak_bytes, self._used_bytes)
            return None
        largest = max(self._sizes, key=lambda key: self._sizes[key])
        self.release(largest)
        return largest

    def release(self, holder: Hashable) -> None:
        """Removes an answer whose bytes are no longer buffered."""
        self._used_bytes -= self._sizes.pop(holder, 0)
