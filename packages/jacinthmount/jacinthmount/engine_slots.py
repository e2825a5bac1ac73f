"""Batch room of one engine, decided by the one host that runs its batch items.

Every host of the data centre reports its online requests in flight to that
host. Two such hosts for a moment cost throughput, not safety.
"""

__all__ = ('EngineSlots',)

REPORT_VALID_S = 24.0
SETTLE_S = 1.5
RESERVED_SLOTS = 1


class EngineSlots:
    """Online requests in flight on one engine by host, and room for batch."""

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
        """Starts with nothing reported.

        :param slots: requests that the engine runs at a time.
        :param batch_share: part of them that batch may fill, 0 to 1.
        """
        self._slots = slots
        self._batch_slots = int(slots * batch_share)
        self._online: dict[str, tuple[int, float]] = {}
        self._contenders: dict[str, float] = {}
        # Until then all hosts report for the first time.
        self._open_at = now + SETTLE_S

    def resize(self, slots: int, batch_share: float) -> None:
        """Takes changed limits."""
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
        """Takes the online requests in flight of one host.

        :param waiting: whether requests wait there for a slot.
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
        """Forgets what hosts reported that are gone."""
        for host in set(self._online) - hosts:
            self._online.pop(host)
            self._contenders.pop(host, None)

    def contenders(self, now: float) -> int:
        """Counts the hosts that use the engine for online or wait for it."""
        return sum(
            now - at < REPORT_VALID_S for at in self._contenders.values()
        )

    def online(self, now: float) -> int:
        """Counts the online requests in flight from all hosts."""
        return sum(
            count
            for count, at in self._online.values()
            if now - at < REPORT_VALID_S
        )

    def elsewhere(self, host: str, now: float) -> int:
        """Counts the online requests in flight from other hosts."""
        own, at = self._online.get(host, (0, now))
        if now - at >= REPORT_VALID_S:
            own = 0
        return self.online(now) - own

    def capacity(self, now: float) -> int:
        """Counts the batch items that the engine may run now."""
        if now < self._open_at:
            return 0
        online = self.online(now)
        # With online at work, one slot stays free for its next request.
        reserved = RESERVED_SLOTS if online else 0
        free = self._slots - online - reserved
        return max(0, min(self._batch_slots, free))
