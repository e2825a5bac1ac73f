"""Placement of online requests on endpoints that all hosts share.

Answers a load of short requests that enters at every host at once: each host
sees its own requests in flight exactly and those of other hosts a little late.
"""

import random

from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.reachability import DataCentreContacts

__all__ = ('EndpointUse', 'Placement')

EJECT_BASE_S = 0.4
EJECT_MAX_S = 4.0
FULL_S = 0.03
CROWDED_S = 0.1
VIEW_VALID_S = 2.0
EXTRA_WAITING = 1
# Streams bring an event every few tens of milliseconds.
SILENT_S = 0.35


class EndpointUse:
    """What this host knows of the load of one endpoint."""

    __slots__ = (
        '_crowded_until',
        '_failures',
        '_viewed_at',
        'batch_from_others',
        'ejected_until',
        'entry',
        'online',
        'online_from_others',
        'no_data_since',
        'unreachable',
    )

    def __init__(self, *, entry: EndpointEntry) -> None:
        """Starts with nothing in flight."""
        self.entry = entry
        self.online = 0
        self.online_from_others = 0
        self.batch_from_others = 0
        self.ejected_until = 0.0
        self.no_data_since: float | None = None
        self.unreachable = False
        self._viewed_at = -VIEW_VALID_S
        self._failures = 0
        self._crowded_until = 0.0

    def on_view(self, online: int, batch: int, now: float) -> None:
        """Takes the requests in flight from other hosts."""
        self.online_from_others = online
        self.batch_from_others = batch
        self._viewed_at = now

    def on_sent(self, now: float) -> None:
        """Notes a request that awaits its answer."""
        if self.no_data_since is None:
            self.no_data_since = now

    def on_contact(self, now: float) -> None:
        """Notes that the endpoint sent something."""
        self.no_data_since = now

    def on_idle(self) -> None:
        """Notes that nothing is awaited from the endpoint any more."""
        self.no_data_since = None

    def is_silent(self, now: float) -> bool:
        """Tells whether the endpoint owes answers and sends nothing."""
        if self.no_data_since is None:
            return False
        return now - self.no_data_since > SILENT_S

    def on_success(self) -> None:
        """Notes an answer."""
        self._failures = 0
        self.ejected_until = 0.0
        self.unreachable = False

    def on_load(self, waiting: int, now: float) -> None:
        """Takes how many requests waited at the endpoint just now."""
        self._crowded_until = now + CROWDED_S if waiting else 0.0

    def is_crowded(self, now: float) -> bool:
        """Tells whether requests waited at the endpoint lately."""
        return now < self._crowded_until

    def on_full(self, now: float) -> None:
        """Notes a refusal for want of room, which batch gives back soon."""
        self.ejected_until = max(self.ejected_until, now + FULL_S)

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
        return self.online + self.online_from_others

    def has_room(self, now: float) -> bool:
        """Tells whether another online request would run at once, or soon."""
        return self.in_flight(now) < self.entry.slots + EXTRA_WAITING


class Placement:
    """Endpoints of one service and the choice among them."""

    __slots__ = ('_centres', '_rng', '_uses')

    def __init__(
        self,
        *,
        rng: random.Random,
        centres: DataCentreContacts,
    ) -> None:
        """Starts without endpoints."""
        self._rng = rng
        self._centres = centres
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

    def find_available(
        self, endpoint_id: str, now: float
    ) -> EndpointUse | None:
        """Finds an endpoint unless something speaks against it."""
        use = self._uses.get(endpoint_id)
        if use is None or not self.is_available(use, now):
            return None
        return use

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
        return [
            use for use in untried if self.is_available(use, now)
        ] or untried

    def is_available(self, use: EndpointUse, now: float) -> bool:
        """Tells whether nothing speaks against sending to an endpoint."""
        if use.unreachable or now < use.ejected_until or use.is_silent(now):
            return False
        return not self._centres.is_unresponsive(use.entry.data_centre)

    def note_unresponsive(self, now: float) -> None:
        """Counts endpoints that owe answers as missed questions."""
        for use in self._uses.values():
            if use.no_data_since is not None and use.is_silent(now):
                self._centres.on_timeout(
                    use.entry.data_centre,
                    use.no_data_since,
                )

    def choose(self, tried: set[str], now: float) -> EndpointUse | None:
        """Chooses the endpoint with the fewest requests that has room.

        :returns: None where every endpoint is full or was tried.
        """
        roomy = [use for use in self.available(tried, now) if use.has_room(now)]
        if not roomy:
            return None
        return min(roomy, key=lambda use: self._rank(use, now))

    def _rank(
        self,
        use: EndpointUse,
        now: float,
    ) -> tuple[bool, int, float]:
        online = use.in_flight(now)
        full = online + use.batch_from_others >= use.entry.slots
        full = full or use.is_crowded(now)
        # Batch gives way, but not without restarting one of its streams.
        return full, online, self._rng.random()


def _restarted(before: EndpointEntry, after: EndpointEntry) -> bool:
    return (before.address, before.started_at_ms) != (
        after.address,
        after.started_at_ms,
    )
