"""How long runs of batch items still take, learned from runs that were seen.

Answers batches whose items take from parts of a second to a minute: which of
them can still be in time depends on that, and no constant fits all.
"""

from jacinthmount.batch_order import ItemRun

__all__ = ('RunForecast',)

WEIGHT = 0.1
# Shorter runs were mostly spent on starting.
MIN_SEEN_S = 0.3
# A run beyond the usual number of events still needs some more.
MIN_LEFT_PART = 0.1


class _Seen:
    """Smoothed figures of one route; events of a run, and seconds of each."""

    __slots__ = ('event_s', 'events')

    def __init__(self) -> None:
        self.events = 0.0
        self.event_s = 0.0


class RunForecast:
    """Events of whole runs and their pace, by route."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        """Starts with nothing seen."""
        self._seen: dict[str, _Seen] = {}

    def note_event_time(self, run: ItemRun, events: int, took_s: float) -> None:
        """Notes how long a run took for some events, whole or not."""
        if took_s < MIN_SEEN_S or not events:
            return
        seen = self._seen.setdefault(run.route, _Seen())
        seen.event_s = _smooth(seen.event_s, took_s / events)

    def note_event_count(self, run: ItemRun) -> None:
        """Notes how many events a whole run has."""
        seen = self._seen.setdefault(run.route, _Seen())
        seen.events = _smooth(seen.events, len(run.texts))

    def remaining_s(self, run: ItemRun) -> float:
        """Tells for how long an item still has to run, 0 while unknown."""
        seen = self._seen.get(run.route)
        if seen is None:
            return 0.0
        least = seen.events * MIN_LEFT_PART
        return max(least, seen.events - len(run.texts)) * seen.event_s


def _smooth(before: float, now: float) -> float:
    return before + (now - before) * WEIGHT if before else now
