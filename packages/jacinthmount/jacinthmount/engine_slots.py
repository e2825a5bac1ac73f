"""Slots of one engine that batch items may use.

The one host that runs the batch items of the engine decides. All hosts of the
data centre report their online requests in flight to it. If two hosts decide
for a moment, this costs throughput but not correctness.
"""

__all__ = ('EngineSlots',)

REPORT_VALID_S = 24.0
# Time in which all hosts send their first report to a new deciding host.
SETTLE_S = 1.5
RESERVED_SLOTS = 1


class EngineSlots:
    """Online requests in flight on one engine by host, and batch capacity."""

    __slots__ = (
        '_batch_slots',
        '_contenders',
        '_online',
        '_open_at',
        '_slots',
    )

    def __init__(
        self,
        *,
        slots: int,
        batch_share: float,
        now: float,
    ) -> None:
        """Starts with no report.

        :param slots: requests that the engine runs at a time.
        :param batch_share: part of the slots that batch may use, 0 to 1.
        :param now: monotonic seconds.
        """
        self._slots = slots
        self._batch_slots = int(slots * batch_share)
        self._online: dict[str, tuple[int, float]] = {}
        self._contenders: dict[str, float] = {}
        # No batch item starts before all hosts had time to report.
        self._open_at = now + SETTLE_S

    def resize(self, slots: int, batch_share: float) -> None:
        """Changes the limits."""
        self._slots = slots
        self._batch_slots = int(slots * batch_share)

    def on_report(
        self,
        host: str,
        online: int,
        now: float,
        *,
        waiting: bool,
    ) -> None:
        """Records the online requests in flight of one host.

        :param waiting: whether requests wait for a slot on that host.
        """
        if online:
            self._online[host] = (online, now)
        else:
            self._online.pop(host, None)
        if online or waiting:
            self._contenders[host] = now
        else:
            self._contenders.pop(host, None)

    def keep_only(self, hosts: set[str]) -> None:
        """Drops the reports of all other hosts."""
        for host in set(self._online) - hosts:
            self._online.pop(host)
            self._contenders.pop(host, None)

    def contenders(self, now: float) -> int:
        """Returns how many hosts have online requests that run or wait."""
        return sum(
            now - reported_at < REPORT_VALID_S
            for reported_at in self._contenders.values()
        )

    def online(self, now: float) -> int:
        """Returns the online requests in flight from all hosts."""
        return sum(
            count
            for count, reported_at in self._online.values()
            if now - reported_at < REPORT_VALID_S
        )

    def elsewhere(self, host: str, now: float) -> int:
        """Returns the online requests in flight from other hosts."""
        own, reported_at = self._online.get(host, (0, now))
        if now - reported_at >= REPORT_VALID_S:
            own = 0
        return self.online(now) - own

    def capacity(self, now: float) -> int:
        """Returns how many batch items the engine may run now."""
        if now < self._open_at:
            return 0
        online = self.online(now)
        # With online requests in flight, one slot stays free for the next one.
        reserved = RESERVED_SLOTS if online else 0
        free = self._slots - online - reserved
        return max(0, min(self._batch_slots, free))
