"""Time that a caller has for the whole body of a request."""

import time

__all__ = ('BodyTime',)

# A body may take longer than its timeout at this speed.
MIN_BYTES_PER_S = 65_536


class BodyTime:
    """Bounds the time of one body after the other on a connection."""

    __slots__ = ('_began_at', '_received_bytes')

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """Starts the time of a body."""
        self._began_at = time.monotonic()
        self._received_bytes = 0

    def add(self, size: int) -> None:
        """Records bytes of the body that have come."""
        self._received_bytes += size

    def find_left(self, timeout_s: float) -> float:
        """Returns the seconds that are left for the body.

        :param timeout_s: time of a body without bytes in seconds.
        """
        allowed_s = timeout_s + self._received_bytes / MIN_BYTES_PER_S
        return max(0, self._began_at + allowed_s - time.monotonic())
