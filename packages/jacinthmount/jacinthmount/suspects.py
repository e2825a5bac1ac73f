"""Detection of batch items that make their endpoint fail."""

__all__ = ('SuspectTracker',)

MAX_FAILURES = 2


class SuspectTracker:
    """Tracks items that were in flight on an endpoint when it was lost.

    Such an item becomes a suspect and then runs as the only suspect on its
    endpoint. If that endpoint is lost, the failure counts against this suspect
    only. An item fails after ``MAX_FAILURES`` such failures, which occur on
    distinct endpoints where there are several.
    """

    __slots__ = ('_failures', '_in_flight', '_suspects')

    def __init__(self) -> None:
        self._failures: dict[str, list[str]] = {}
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

    def on_stop(self, item: str, endpoint: str) -> None:
        """Records that an item was stopped for another reason."""
        self._in_flight.get(endpoint, set()).discard(item)

    def on_endpoint_lost(self, endpoint: str) -> list[str]:
        """Records that an endpoint was lost with its items in flight.

        :returns: items that have now failed permanently.
        """
        lost = self._in_flight.pop(endpoint, set())
        charged = lost & self._suspects
        self._suspects |= lost
        failed = []
        for item in sorted(charged):
            failures = self._failures.setdefault(item, [])
            failures.append(endpoint)
            if len(failures) >= MAX_FAILURES:
                failed.append(item)
                self._suspects.discard(item)
                self._failures.pop(item)
        return failed
