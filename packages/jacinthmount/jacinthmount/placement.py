"""Placement of online requests on endpoints that all hosts share.

Answers a load of short requests that enters at every host at once: each host
sees its own requests in flight exactly and those of other hosts a little late.
"""

import random

from jacinthmount.endpoint_table import EndpointEntry

__all__ = ('EndpointUse', 'Placement')

EJECT_BASE_S = 0.4
EJECT_MAX_S = 4.0
VIEW_VALID_S = 1.5
REPORT_VALID_S = 0.4
EXTRA_WAITING = 1


class EndpointUse:
    """What this host knows of the load of one endpoint."""

    __slots__ = (
        '_failures',
        '_viewed_at',
        'batch_elsewhere',
        'ejected_until',
        'entry',
        'online',
        'online_elsewhere',
    )

    def __init__(self, *, entry: EndpointEntry) -> None:
        """Starts with nothing in flight."""
        self.entry = entry
        self.online = 0
        self.online_elsewhere = 0
        self.batch_elsewhere = 0
        self.ejected_until = 0.0
        self._viewed_at = -VIEW_VALID_S
        self._failures = 0

    def on_view(self, online: int, batch: int, now: float) -> None:
        """Takes the requests in flight from other hosts."""
        self.online_elsewhere = online
        self.batch_elsewhere = batch
        self._viewed_at = now

    def on_success(self) -> None:
        """Notes an answer."""
        self._failures = 0
        self.ejected_until = 0.0

    def on_failure(self, now: float) -> None:
        """Notes a failure; repeated ones keep work away for longer."""
        if now < self.ejected_until:
            return
        self._failures += 1
        pause_s = EJECT_BASE_S * 2 ** min(self._failures - 1, 5)
        self.ejected_until = now + min(pause_s, EJECT_MAX_S)

    def in_flight(self, now: float) -> int:
        """Counts the online requests in flight as far as known."""
        if now - self._viewed_at >= VIEW_VALID_S:
            return self.online
        return self.online + self.online_elsewhere

    def has_room(self, now: float) -> bool:
        """Tells whether another online request would run at once, or soon."""
        return self.in_flight(now) < self.entry.slots + EXTRA_WAITING


class Placement:
    """Endpoints of one service and the choice among them."""

    __slots__ = ('_rng', '_uses')

    def __init__(self, *, rng: random.Random) -> None:
        """Starts without endpoints."""
        self._rng = rng
        self._uses: dict[str, EndpointUse] = {}

    def set_entries(self, entries: list[EndpointEntry]) -> None:
        """Takes the endpoints in use, keeping what is known of each."""
        uses = {}
        for entry in entries:
            use = self._uses.get(entry.endpoint_id)
            if use is None or _restarted(use.entry, entry):
                use = EndpointUse(entry=entry)
            use.entry = entry
            uses[entry.endpoint_id] = use
        self._uses = uses

    def uses(self) -> list[EndpointUse]:
        """Lists the endpoints."""
        return list(self._uses.values())

    def find(self, endpoint_id: str) -> EndpointUse | None:
        """Finds an endpoint by id."""
        return self._uses.get(endpoint_id)

    def available(self, tried: set[str], now: float) -> list[EndpointUse]:
        """Lists the endpoints that a request may go to.

        Where all others were tried or failed lately, those that failed are
        tried again rather than refusing.
        """
        untried = [
            use
            for use in self._uses.values()
            if use.entry.endpoint_id not in tried
        ]
        return [use for use in untried if now >= use.ejected_until] or untried

    def choose(self, tried: set[str], now: float) -> EndpointUse | None:
        """Chooses the endpoint with the fewest requests that has room.

        :returns: None where every endpoint is full or was tried.
        """
        roomy = [use for use in self.available(tried, now) if use.has_room(now)]
        if not roomy:
            return None
        return min(roomy, key=lambda use: self._rank(use, now))

    def slots(self, now: float) -> int:
        """Sums the slots of the endpoints in use."""
        return sum(use.entry.slots for use in self.available(set(), now))

    def _rank(
        self,
        use: EndpointUse,
        now: float,
    ) -> tuple[bool, int, float]:
        online = use.in_flight(now)
        full = online + use.batch_elsewhere >= use.entry.slots
        # Batch gives way, but not without restarting one of its streams.
        return full, online, self._rng.random()


def _restarted(before: EndpointEntry, after: EndpointEntry) -> bool:
    return (before.address, before.started_at_ms) != (
        after.address,
        after.started_at_ms,
    )
