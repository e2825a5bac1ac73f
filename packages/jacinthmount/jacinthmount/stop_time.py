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

    What a request may take at most decides. What others of its route took is
    only an estimate, which counts while callers may not have been sent
    elsewhere yet.
    """

    __slots__ = ('_estimates_until', '_run_times', 'ends_at')

    def __init__(self) -> None:
        self.ends_at = math.inf
        self._estimates_until = math.inf
        self._run_times: OrderedDict[str, deque[float]] = OrderedDict()

    def begin(self, ends_at: float, estimates_until: float) -> None:
        """Starts the stop; a later call changes nothing.

        :param ends_at: monotonic time by which all answers are complete.
        :param estimates_until: monotonic time until which requests are taken
            by the latest run times of their routes.
        """
        if math.isinf(self.ends_at):
            self.ends_at = ends_at
            self._estimates_until = estimates_until

    def note_run(self, route: str, took_s: float) -> None:
        """Records how long a request of a route took."""
        times = self._run_times.setdefault(route, deque(maxlen=KEPT_RUN_TIMES))
        times.append(took_s)
        self._run_times.move_to_end(route)
        if len(self._run_times) > KEPT_ROUTES:
            self._run_times.popitem(last=False)

    def fit(
        self, now: float, deadline: float, route: str, taken_at: float
    ) -> float:
        """Returns the deadline of a request that has just been read.

        :param deadline: monotonic time by which it had to be answered so far.
        :param taken_at: see :meth:`raise_if_too_late`.
        :raises ShuttingDown: it may end after the process.
        """
        self.raise_if_too_late(now, deadline - now, route, taken_at)
        return min(deadline, self.ends_at)

    def raise_if_too_late(
        self,
        now: float,
        allowed_s: float,
        route: str = '',
        taken_at: float = math.inf,
    ) -> None:
        """Checks a request that was not passed on yet.

        :param allowed_s: seconds that it may take at most.
        :param route: name of its route.
        :param taken_at: monotonic time at which its caller had sent it;
            infinite if the run times of its route must not count.
        :raises ShuttingDown: it may end after the process.
        """
        left_s = self.ends_at - now
        expected_s = allowed_s
        if taken_at <= self._estimates_until:
            expected_s = min(allowed_s, self._estimate_s(route))
        if expected_s > left_s:
            raise ShuttingDown(
                detail=(
                    f'the host ends in {left_s:.2f} s, '
                    f'the request may take {expected_s:.2f} s'
                ),
                retry_after_s=OTHER_HOST_RETRY_AFTER_S,
            )

    def _estimate_s(self, route: str) -> float:
        times = self._run_times.get(route)
        return max(times) * RUN_TIME_MARGIN if times else math.inf
