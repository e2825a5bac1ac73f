"""Detection of batch items that make their endpoint fail."""

__all__ = ('SuspectTracker',)

MAX_FAILURES = 2
# Pause before a suspect runs again, doubled with each crash under it alone.
RERUN_PAUSE_S = 1.0
MAX_RERUN_PAUSE_S = 8.0


class SuspectTracker:
    """Tracks items that were in flight on an endpoint when it was lost.

    Such an item becomes a suspect and then runs as the only suspect on its
    endpoint. If that endpoint is lost, the failure counts against this suspect
    only; where there are several, the next one is on another endpoint.

    An item under which endpoints crashed is still owed: it runs again after a
    pause that grows. An item fails after ``MAX_FAILURES`` losses of endpoints
    that did not crash.
    """

    __slots__ = ('_failures', '_in_flight', '_losses', '_suspects')

    def __init__(self) -> None:
        self._failures: dict[str, list[str]] = {}
        # Losses of endpoints that did not crash, by item.
        self._losses: dict[str, int] = {}
        self._suspects: set[str] = set()
        self._in_flight: dict[str, set[str]] = {}

    def may_start(
        self,
        item: str,
        endpoint: str,
        endpoints: list[str],
    ) -> bool:
        """Returns whether an item may start on an endpoint now.

        :param endpoints: all endpoints that could run it; a suspect is started
            on those that it failed on least often.
        """
        if item not in self._suspects:
            return True
        failures = self._failures.get(item, [])
        fewest = min(failures.count(name) for name in endpoints)
        if failures.count(endpoint) > fewest:
            return False
        running = self._in_flight.get(endpoint, set())
        return not running & self._suspects

    def on_start(self, item: str, endpoint: str) -> None:
        """Records that an item was started."""
        self._in_flight.setdefault(endpoint, set()).add(item)

    def on_end(self, item: str, endpoint: str) -> None:
        """Records that an item ended with a response."""
        self._in_flight.get(endpoint, set()).discard(item)
        self._suspects.discard(item)
        self._failures.pop(item, None)
        self._losses.pop(item, None)

    def on_stop(self, item: str, endpoint: str) -> None:
        """Records that an item was stopped for another reason."""
        self._in_flight.get(endpoint, set()).discard(item)

    def count_failures(self, item: str) -> int:
        """Returns how often an endpoint was lost under this item alone."""
        return len(self._failures.get(item, []))

    def rerun_pause_s(self, item: str) -> float:
        """Returns the seconds that an item waits before it runs again."""
        failures = self.count_failures(item)
        if not failures:
            return 0.0
        return min(MAX_RERUN_PAUSE_S, RERUN_PAUSE_S * 2 ** (failures - 1))

    def on_endpoint_lost(self, endpoint: str, *, crashed: bool) -> list[str]:
        """Records that an endpoint was lost with its items in flight.

        :param crashed: the endpoint ended, and not only its connections.
        :returns: items that have now failed permanently.
        """
        lost = self._in_flight.pop(endpoint, set())
        charged = lost & self._suspects
        self._suspects |= lost
        failed = []
        for item in sorted(charged):
            self._failures.setdefault(item, []).append(endpoint)
            self._losses[item] = self._losses.get(item, 0) + (not crashed)
            if self._losses[item] >= MAX_FAILURES:
                failed.append(item)
                self._suspects.discard(item)
                self._failures.pop(item)
                self._losses.pop(item)
        return failed
