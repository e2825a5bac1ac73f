"""Forecast of the remaining run of batch items, from completed runs.

Items take from fractions of a second to a minute, depending on the batch.
Whether an item can still meet its deadline depends on that, and no constant
fits all.
"""

from jacinthmount.batch_order import ItemRun

__all__ = ('RunForecast',)

SMOOTHING_WEIGHT = 0.1
# A shorter run consists mostly of its start.
MIN_RUN_S = 0.3
# Fraction of the usual events that a run is assumed to need at least, also
# after more events than usual.
MIN_REMAINING_FRACTION = 0.1


class _RouteStats:
    """Smoothed events per run, and seconds per event, of one route."""

    __slots__ = ('event_s', 'events')

    def __init__(self) -> None:
        self.events = 0.0
        self.event_s = 0.0


class RunForecast:
    """Smoothed event counts and times of runs, by route."""

    __slots__ = ('_stats',)

    def __init__(self) -> None:
        self._stats: dict[str, _RouteStats] = {}

    def note_event_time(self, run: ItemRun, events: int, took_s: float) -> None:
        """Records the time for a number of events of a run, complete or not."""
        if took_s < MIN_RUN_S or not events:
            return
        stats = self._stats.setdefault(run.route, _RouteStats())
        stats.event_s = _smooth(stats.event_s, took_s / events)

    def note_event_count(self, run: ItemRun) -> None:
        """Records the number of events of a complete run."""
        stats = self._stats.setdefault(run.route, _RouteStats())
        stats.events = _smooth(stats.events, len(run.texts))

    def received_s(self, run: ItemRun) -> float:
        """Returns the seconds that the received events took, as forecast."""
        stats = self._stats.get(run.route)
        return len(run.texts) * stats.event_s if stats else 0.0

    def remaining_s(self, run: ItemRun) -> float:
        """Returns the remaining run of an item in seconds, 0 while unknown."""
        stats = self._stats.get(run.route)
        if stats is None:
            return 0.0
        min_events = stats.events * MIN_REMAINING_FRACTION
        return max(min_events, stats.events - len(run.texts)) * stats.event_s


def _smooth(previous: float, latest: float) -> float:
    return (
        previous + (latest - previous) * SMOOTHING_WEIGHT
        if previous
        else latest
    )
