"""Slots of a service that batch items may use beside online requests.

Online load rises and falls within seconds. An item on a slot that the next rise
needs is preempted, and online requests wait until that is done. So the slots of
the recent online peak stay free as long as the others are enough for batch.
Once items have waited for some time they may use any idle slot, since a
preempted item keeps its events.
"""

from collections import deque

__all__ = ('BatchCapacity', 'may_use_any_slot')

PEAK_WINDOW_S = 8.0
BUCKET_S = 0.5
# Reserved in addition to the recent peak, for requests that arrive before the
# reports that count them.
RESERVED_FRACTION = 0.05
# Time for which a waiting item may only use slots beyond the recent peak.
MAX_SPARE_WAIT_S = 0.5


class BatchCapacity:
    """Batch capacity of one service, from its recent online peak."""

    __slots__ = ('_peaks',)

    def __init__(self) -> None:
        # Start of each time bucket and the peak of requests in flight in it.
        self._peaks: deque[tuple[float, int]] = deque()

    def note_online(self, online: int, now: float) -> None:
        """Records the number of online requests in flight."""
        while self._peaks and now - self._peaks[0][0] > PEAK_WINDOW_S:
            self._peaks.popleft()
        if self._peaks and now - self._peaks[-1][0] < BUCKET_S:
            started_at, peak = self._peaks.pop()
            self._peaks.append((started_at, max(peak, online)))
        else:
            self._peaks.append((now, online))

    def spare(self, slots: int, running: int) -> int:
        """Returns how many items may start on slots beyond the recent peak.

        :param slots: number of slots of all endpoints of the service.
        :param running: number of batch items that already run.
        """
        peak = max((peak for _, peak in self._peaks), default=0)
        reserved = int(slots * RESERVED_FRACTION) if peak else 0
        return max(0, slots - peak - reserved - running)


def may_use_any_slot(waiting_since: float, now: float) -> bool:
    """Returns whether an item has waited long enough to use any idle slot.

    :param waiting_since: monotonic seconds.
    """
    return now - waiting_since > MAX_SPARE_WAIT_S
