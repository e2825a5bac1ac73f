"""How many slots of a service batch items may take beside online requests.

Answers online load that rises and falls within seconds: items that are started
on slots which the next rise needs are cut short, and requests wait until they
are. Slots that online needed lately are left free while the others are enough
for batch; once items wait for longer, every idle slot is taken, since an item
that gives way keeps its events.
"""

from collections import deque

__all__ = ('BatchCapacity', 'may_use_any_slot')

PEAK_WINDOW_S = 8.0
BUCKET_S = 0.5
# Beside the recent peak, for requests that come before their reports do.
RESERVED_PART = 0.05
MAX_HELD_S = 0.5


class BatchCapacity:
    """Recent peak of the online requests of one service."""

    __slots__ = ('_peaks',)

    def __init__(self) -> None:
        """Starts with no request seen."""
        # Start of each bucket and the most requests in flight in it.
        self._peaks: deque[tuple[float, int]] = deque()

    def note_online(self, online: int, now: float) -> None:
        """Notes how many online requests are in flight."""
        while self._peaks and now - self._peaks[0][0] > PEAK_WINDOW_S:
            self._peaks.popleft()
        if self._peaks and now - self._peaks[-1][0] < BUCKET_S:
            started_at, peak = self._peaks.pop()
            self._peaks.append((started_at, max(peak, online)))
        else:
            self._peaks.append((now, online))

    def spare(self, slots: int, running: int) -> int:
        """Counts the items that may be started on slots not needed lately.

        :param slots: requests that all endpoints together run at a time.
        :param running: items that run already.
        """
        peak = max((peak for _, peak in self._peaks), default=0)
        reserved = int(slots * RESERVED_PART) if peak else 0
        return max(0, slots - peak - reserved - running)


def may_use_any_slot(waiting_since: float, now: float) -> bool:
    """Tells whether an item need not wait any more for a slot to spare."""
    return now - waiting_since > MAX_HELD_S
