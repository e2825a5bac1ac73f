"""Online requests in flight by endpoint, summed over the reports of all hosts.

Hundreds of hosts report. The work for a report is proportional to the endpoints
in it, and independent of the number of hosts and of all endpoints.
"""

__all__ = ('OnlineLoad',)


class OnlineLoad:
    """Latest counts of every host; times are monotonic seconds."""

    __slots__ = ('_last_report_at', '_totals', '_uses')

    def __init__(self) -> None:
        self._uses: dict[str, dict[str, int]] = {}
        self._last_report_at: dict[str, float] = {}
        self._totals: dict[str, int] = {}

    def take(self, host: str, uses: dict[str, int], now: float) -> None:
        """Replaces the counts of a host; an endpoint not listed has none."""
        self._last_report_at[host] = now
        for endpoint_id, count in self._uses.get(host, {}).items():
            self._add(endpoint_id, -count)
        for endpoint_id, count in uses.items():
            self._add(endpoint_id, count)
        self._uses[host] = uses

    def begin(self, host: str, endpoint_id: str, now: float) -> None:
        """Counts a request that a host is about to send.

        The next report of the host replaces its counts.
        """
        self._last_report_at.setdefault(host, now)
        uses = self._uses.setdefault(host, {})
        uses[endpoint_id] = uses.get(endpoint_id, 0) + 1
        self._add(endpoint_id, 1)

    def total(self, endpoint_id: str) -> int:
        """Returns the requests in flight at an endpoint from all hosts."""
        return self._totals.get(endpoint_id, 0)

    def elsewhere(self, host: str, endpoint_id: str) -> int:
        """Returns the requests in flight at an endpoint from other hosts."""
        own = self._uses.get(host, {}).get(endpoint_id, 0)
        return self.total(endpoint_id) - own

    def hosts(self) -> int:
        """Returns the number of hosts with a current report."""
        return len(self._last_report_at)

    def drop_stale_hosts(self, before: float) -> None:
        """Drops hosts whose last report is not newer than ``before``."""
        for host, reported_at in list(self._last_report_at.items()):
            if reported_at <= before:
                self.take(host, {}, reported_at)
                self._last_report_at.pop(host)
                self._uses.pop(host)

    def _add(self, endpoint_id: str, count: int) -> None:
        total = self._totals.get(endpoint_id, 0) + count
        if total:
            self._totals[endpoint_id] = total
        else:
            self._totals.pop(endpoint_id, None)
