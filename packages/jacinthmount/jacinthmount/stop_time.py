"""The end of a process that was asked to stop, and what fits before it."""

import math
from collections import OrderedDict, deque

from jacinthmount.errors import ShuttingDown

__all__ = ('StopTime',)

# The last requests of a route whose longest run time counts.
KEPT_RUN_TIMES = 32
KEPT_ROUTES = 1024
# A request may take this many times as long as the longest of its route.
RUN_TIME_MARGIN = 1.5
# The request is repeated at another host, so the caller need not wait.
OTHER_HOST_RETRY_AFTER_S = 0.05


class StopTime:
    """Refuses requests that may not be answered before the process ends.

    ``ends_at`` is the monotonic time by which all answers have to be complete;
    infinite unless the process was asked to stop.
    """

    __slots__ = ('_run_times', 'ends_at')

    def __init__(self) -> None:
        self.ends_at = math.inf
        self._run_times: OrderedDict[str, deque[float]] = OrderedDict()

    def begin(self, ends_at: float) -> None:
        """Starts the stop; a later call does not move its end."""
        self.ends_at = min(self.ends_at, ends_at)

    def note_run(self, route: str, took_s: float) -> None:
        """Records how long a request of a route took."""
        times = self._run_times.setdefault(route, deque(maxlen=KEPT_RUN_TIMES))
        times.append(took_s)
        self._run_times.move_to_end(route)
        if len(self._run_times) > KEPT_ROUTES:
            self._run_times.popitem(last=False)

    def fit(self, now: float, deadline: float, route: str) -> float:
        """Returns the deadline of a request that was not passed on yet.

        :param deadline: monotonic time by which it had to be answered so far.
        :raises ShuttingDown: it may end after the process.
        """
        self.raise_if_too_late(now, deadline - now, route)
        return min(deadline, self.ends_at)

    def raise_if_too_late(
        self,
        now: float,
        allowed_s: float,
        route: str = '',
    ) -> None:
        """Checks a request that was not passed on yet.

        :param allowed_s: seconds that it may take at most.
        :param route: name of its route, whose latest run times count as well.
        :raises ShuttingDown: it may end after the process.
        """
        left_s = self.ends_at - now
        expected_s = allowed_s
        times = self._run_times.get(route)
        if times:
            expected_s = min(allowed_s, max(times) * RUN_TIME_MARGIN)
        if expected_s > left_s:
            raise ShuttingDown(
                detail=(
                    f'the host ends in {left_s:.2f} s, '
                    f'the request may take {expected_s:.2f} s'
                ),
                retry_after_s=OTHER_HOST_RETRY_AFTER_S,
            )
