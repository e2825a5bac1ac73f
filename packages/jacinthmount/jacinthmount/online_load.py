"""Online requests in flight by endpoint, added up from what hosts report.

Answers reports from hundreds of hosts: the work for a report grows with the
endpoints that it names, neither with the hosts nor with all endpoints.
"""

__all__ = ('OnlineLoad',)


class OnlineLoad:
    """The latest counts of every host; times are monotonic seconds."""

    __slots__ = ('_heard_at', '_totals', '_uses')

    def __init__(self) -> None:
        """Starts with nothing reported."""
        self._uses: dict[str, dict[str, int]] = {}
        self._heard_at: dict[str, float] = {}
        self._totals: dict[str, int] = {}

    def take(self, host: str, uses: dict[str, int], now: float) -> None:
        """Takes the counts of a host; endpoints left out have none."""
        self._heard_at[host] = now
        for endpoint_id, count in self._uses.get(host, {}).items():
            self._add(endpoint_id, -count)
        for endpoint_id, count in uses.items():
            self._add(endpoint_id, count)
        self._uses[host] = uses

    def begin(self, host: str, endpoint_id: str, now: float) -> None:
        """Counts a request that a host is about to send.

        The next report of the host replaces what it had.
        """
        self._heard_at.setdefault(host, now)
        uses = self._uses.setdefault(host, {})
        uses[endpoint_id] = uses.get(endpoint_id, 0) + 1
        self._add(endpoint_id, 1)

    def total(self, endpoint_id: str) -> int:
        """Counts the requests in flight at an endpoint from all hosts."""
        return self._totals.get(endpoint_id, 0)

    def elsewhere(self, host: str, endpoint_id: str) -> int:
        """Counts the requests in flight at an endpoint from other hosts."""
        own = self._uses.get(host, {}).get(endpoint_id, 0)
        return self.total(endpoint_id) - own

    def hosts(self) -> int:
        """Counts the hosts whose reports count."""
        return len(self._heard_at)

    def drop_stale_hosts(self, before: float) -> None:
        """Drops the counts of hosts that were last heard before a time."""
        for host, at in list(self._heard_at.items()):
            if at <= before:
                self.take(host, {}, at)
                self._heard_at.pop(host)
                self._uses.pop(host)

    def _add(self, endpoint_id: str, count: int) -> None:
        total = self._totals.get(endpoint_id, 0) + count
        if total:
            self._totals[endpoint_id] = total
        else:
            self._totals.pop(endpoint_id, None)
