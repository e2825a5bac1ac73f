"""Placement of online requests on endpoints that all hosts share.

Short requests arrive at all hosts at the same time. Each host knows its own
requests in flight exactly, and those of other hosts with a small delay.
"""

import random

from jacinthmount.cold_period import ColdLimit, ColdPeriod
from jacinthmount.endpoint_limit import RUNNER_SHARE, LimitPace, LimitShare
from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.reachability import DataCentreContacts

__all__ = ('EndpointUse', 'Placement')

EJECT_BASE_S = 0.4
EJECT_MAX_S = 4.0
# Pause after a refusal for lack of a slot, which batch items free up soon.
FULL_PAUSE_S = 0.03
# A queue reported by an endpoint counts for this time.
QUEUE_VALID_S = 0.1
VIEW_VALID_S = 2.0
MAX_EXTRA_WAITING = 1
# Streams send an event every few tens of milliseconds.
STALLED_AFTER_S = 0.35
# Time in which the registration of an endpoint that restarted is known here.
REGISTRATION_LAG_S = 2.0
NO_LIMIT = ColdLimit(period_s=0.0, interval_s=0.0, first_wait_s=0.0)


class EndpointUse:
    """Load and health of one endpoint, as known to this host.

    ``no_data_since`` is None while no response is awaited, and otherwise the
    time of the last data, or of the first request before any data.
    """

    __slots__ = (
        '_queue_until',
        '_is_silent',
        '_failures',
        '_viewed_at',
        'batch_from_others',
        'cold',
        'doubtful_until',
        'ejected_until',
        'entry',
        'evacuated',
        'limit',
        'online',
        'online_from_others',
        'no_data_since',
        'unreachable',
    )

    def __init__(
        self,
        *,
        entry: EndpointEntry,
        limit: ColdLimit,
        share: LimitShare = RUNNER_SHARE,
    ) -> None:
        self.entry = entry
        self.cold = ColdPeriod(limit=limit)
        self.limit = LimitPace(share=share)
        # The operator wants no requests sent to the data centre.
        self.evacuated = False
        self.online = 0
        self.online_from_others = 0
        self.batch_from_others = 0
        # Until then another process may have its address and id.
        self.doubtful_until = 0.0
        self.ejected_until = 0.0
        self.no_data_since: float | None = None
        self.unreachable = False
        self._viewed_at = -VIEW_VALID_S
        self._failures = 0
        self._queue_until = 0.0
        # It was ejected only because it sent nothing.
        self._is_silent = False

    def begin(self, now: float) -> None:
        """Counts an online request that is about to be sent."""
        self.online += 1
        self.on_paced(now)

    def end(self) -> None:
        """Counts an online request that has ended."""
        self.online -= 1
        if not self.online:
            self.on_idle()

    def on_paced(self, now: float) -> None:
        """Counts a request against what a cold or limited endpoint gets."""
        self.cold.on_sent(now)
        self.limit.on_sent(now)

    def may_send(self, now: float) -> bool:
        """Returns whether a cold or limited endpoint may get a request."""
        return self.cold.may_send(now) and self.limit.may_send(now)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until it may get a request of this process."""
        return max(self.cold.wait_s(now), self.limit.wait_s(now))

    def find_version(self, now: float) -> str:
        """Returns the version that runs, empty while it is in doubt."""
        return '' if now < self.doubtful_until else self.entry.version

    def on_view(self, online: int, batch: int, now: float) -> None:
        """Records the requests in flight from other hosts."""
        self.online_from_others = online
        self.batch_from_others = batch
        self._viewed_at = now

    def on_sent(self, now: float) -> None:
        """Records that a request was sent."""
        if self.no_data_since is None:
            self.no_data_since = now

    def on_contact(self, now: float) -> None:
        """Records that the endpoint sent data."""
        self.no_data_since = now
        if self._is_silent:
            self.on_success()

    def on_idle(self) -> None:
        """Records that no response is awaited any more."""
        self.no_data_since = None

    def is_stalled(self, now: float) -> bool:
        """Returns whether responses are awaited but no data arrives."""
        if self.no_data_since is None:
            return False
        return now - self.no_data_since > STALLED_AFTER_S

    def on_success(self) -> None:
        """Records a successful response."""
        self._is_silent = False
        self._failures = 0
        self.ejected_until = 0.0
        self.unreachable = False

    def on_load(self, waiting: int, now: float) -> None:
        """Records how many requests are queued at the endpoint."""
        self._queue_until = now + QUEUE_VALID_S if waiting else 0.0

    def had_queue(self, now: float) -> bool:
        """Returns whether the endpoint recently reported a queue."""
        return now < self._queue_until

    def on_full(self, now: float) -> None:
        """Records a refusal because all slots were in use."""
        self.ejected_until = max(self.ejected_until, now + FULL_PAUSE_S)

    def on_failure(self, now: float) -> None:
        """Records a failure and ejects the endpoint, longer with each failure.

        Failures of requests that were in flight together count once.
        """
        if now < self.ejected_until:
            return
        self._is_silent = False
        self._failures += 1
        pause_s = EJECT_BASE_S * 2 ** min(self._failures - 1, 5)
        self.ejected_until = now + min(pause_s, EJECT_MAX_S)

    def on_silence(self, now: float) -> None:
        """Ejects an endpoint that sends nothing, until it does again."""
        is_new = now >= self.ejected_until
        self.on_failure(now)
        self._is_silent = self._is_silent or is_new

    def in_flight(self, now: float) -> int:
        """Returns the known online requests in flight."""
        if now - self._viewed_at >= VIEW_VALID_S:
            return self.online
        return self.online + self.online_from_others

    def has_slot(self, now: float) -> bool:
        """Returns whether another online request would start at once."""
        return self.in_flight(now) < self.entry.slots and not self.had_queue(
            now
        )

    def has_capacity(self, now: float) -> bool:
        """Returns whether another online request would start soon."""
        return self.in_flight(now) < self.entry.slots + MAX_EXTRA_WAITING


class Placement:
    """Endpoints of one service, and the choice of one for a request."""

    __slots__ = ('_centres', '_evacuated', '_limit', '_rng', '_share', '_uses')

    def __init__(
        self,
        *,
        rng: random.Random,
        centres: DataCentreContacts,
    ) -> None:
        self._rng = rng
        self._centres = centres
        self._limit = NO_LIMIT
        self._share = RUNNER_SHARE
        self._evacuated: frozenset[str] = frozenset()
        self._uses: dict[str, EndpointUse] = {}

    def set_entries(self, entries: list[EndpointEntry], now: float) -> None:
        """Replaces the endpoints, keeping the known state of each."""
        uses = {}
        for entry in entries:
            use = self._uses.get(entry.endpoint_id)
            is_known = use is not None and use.entry is entry
            if use is None or _restarted(use.entry, entry):
                use = EndpointUse(
                    entry=entry, limit=self._limit, share=self._share
                )
                use.evacuated = entry.data_centre in self._evacuated
            if not is_known:
                use.cold.on_stated(entry.cold_left_s, self._rng, now)
            use.entry = entry
            uses[entry.endpoint_id] = use
        self._uses = uses

    def apply_limit(self, limit: ColdLimit) -> None:
        """Sets the limit of requests to cold endpoints."""
        if limit == self._limit:
            return
        self._limit = limit
        for use in self._uses.values():
            use.cold.limit = limit

    def apply_share(self, share: LimitShare, now: float) -> None:
        """Sets the part of the limits of endpoints for this process."""
        if share == self._share:
            return
        self._share = share
        for use in self._uses.values():
            use.limit.apply_share(share, now)

    def has_limits(self, tried: set[str]) -> bool:
        """Returns whether an endpoint names a limit.

        :param tried: ids of endpoints to leave out.
        """
        return any(use.limit.is_named for use in self.untried(tried))

    def next_start_s(
        self, tried: set[str], now: float, version: str | None = None
    ) -> float:
        """Returns the seconds until a request may be sent, as far as limits go.

        :param tried: ids of endpoints to leave out.
        :param version: leaves out those of other versions, unless None.
        """
        return min(
            (use.wait_s(now) for use in self.untried(tried, version)),
            default=0.0,
        )

    def startable(
        self,
        tried: set[str],
        within_s: float,
        now: float,
        version: str | None = None,
    ) -> list[EndpointUse]:
        """Lists the endpoints whose limits allow a request soon.

        If none of them is available, they are listed all the same.

        :param tried: ids of endpoints to leave out.
        :param within_s: seconds that the request may wait.
        :param version: leaves out those of other versions, unless None.
        """
        in_time = [
            use
            for use in self.untried(tried, version)
            if use.wait_s(now) <= within_s
        ]
        return [
            use for use in in_time if self.is_available(use, now)
        ] or in_time

    def apply_evacuations(self, evacuated: frozenset[str], now: float) -> None:
        """Sets the data centres to which no requests may be sent.

        The endpoints of a data centre that returns are presumed cold.
        """
        self._evacuated = evacuated
        for use in self._uses.values():
            was_evacuated = use.evacuated
            use.evacuated = use.entry.data_centre in evacuated
            if was_evacuated and not use.evacuated:
                use.cold.presume(self._rng, now)

    def on_reached(self, use: EndpointUse, now: float) -> None:
        """Records that an unreachable endpoint accepts connections again."""
        use.unreachable = False
        use.doubtful_until = now + REGISTRATION_LAG_S
        use.cold.presume(self._rng, now)

    def on_host_reconnected(self) -> None:
        """Records that this host, not the endpoints, was cut off."""
        for use in self._uses.values():
            if use.unreachable:
                use.on_success()

    def uses(self) -> list[EndpointUse]:
        """Lists the endpoints."""
        return list(self._uses.values())

    def find(self, endpoint_id: str) -> EndpointUse | None:
        """Finds an endpoint by id."""
        return self._uses.get(endpoint_id)

    def find_available(
        self, endpoint_id: str, now: float
    ) -> EndpointUse | None:
        """Finds an endpoint by id that the active runner chose.

        :returns: None if this host may not or can't use it now.
        """
        use = self._uses.get(endpoint_id)
        if use is None or not self.is_available(use, now):
            return None
        return use if use.cold.may_send_assigned(now) else None

    def available(
        self, tried: set[str], now: float, version: str | None = None
    ) -> list[EndpointUse]:
        """Lists the endpoints to which a request may be sent.

        If none of them is available, unavailable ones are tried as well rather
        than refusing the request.

        :param tried: ids of endpoints to leave out.
        :param version: leaves out those of other versions, unless None.
        """
        untried = self.untried(tried, version)
        return [
            use for use in untried if self.is_available(use, now)
        ] or untried

    def untried(
        self, tried: set[str], version: str | None = None
    ) -> list[EndpointUse]:
        """Lists the endpoints that a request has not tried, available or not.

        :param tried: ids of endpoints to leave out.
        :param version: leaves out those of other versions, unless None.
        """
        return [
            use
            for use in self._uses.values()
            if use.entry.endpoint_id not in tried
            and not use.evacuated
            and version in {None, use.entry.version}
        ]

    def has_version(self, version: str) -> bool:
        """Returns whether an endpoint of a version may get requests."""
        return any(
            use.entry.version == version and not use.evacuated
            for use in self._uses.values()
        )

    def is_available(self, use: EndpointUse, now: float) -> bool:
        """Returns whether new requests may be sent to an endpoint."""
        if use.evacuated or use.unreachable:
            return False
        if now < use.ejected_until or use.is_stalled(now):
            return False
        return not self._centres.is_unresponsive(use.entry.data_centre)

    def note_unresponsive(self, now: float) -> None:
        """Records stalled endpoints as timeouts of their data centres."""
        for use in self._uses.values():
            if use.no_data_since is not None and use.is_stalled(now):
                self._centres.on_timeout(
                    use.entry.data_centre,
                    use.no_data_since,
                )

    def choose(
        self, tried: set[str], now: float, version: str | None = None
    ) -> EndpointUse | None:
        """Chooses the endpoint with capacity and the fewest online requests.

        Of equally loaded ones those in the data centre of this host come first.

        :param tried: ids of endpoints to leave out.
        :param version: leaves out those of other versions, unless None.
        :returns: None if every endpoint is full, cold or was tried.
        """
        with_capacity = [
            use
            for use in self.available(tried, now, version)
            if use.has_capacity(now) and use.may_send(now)
        ]
        if not with_capacity:
            return None
        return min(with_capacity, key=lambda use: self._rank(use, now))

    def choose_free(
        self, tried: set[str], now: float, version: str | None = None
    ) -> EndpointUse | None:
        """Chooses an endpoint at which a request would surely start at once.

        :param tried: ids of endpoints to leave out.
        :param version: leaves out those of other versions, unless None.
        :returns: None if every endpoint is full, cold, not available or was
            tried.
        """
        free = [
            use
            for use in self.untried(tried, version)
            if self.is_available(use, now)
            and use.has_slot(now)
            and use.may_send(now)
        ]
        return min(free, key=lambda use: self._rank(use, now), default=None)

    def _rank(
        self,
        use: EndpointUse,
        now: float,
    ) -> tuple[bool, bool, int, bool, float]:
        online = use.in_flight(now)
        full = online + use.batch_from_others >= use.entry.slots
        full = full or use.had_queue(now)
        is_remote = not self._centres.is_own(use.entry.data_centre)
        # Batch would be preempted, which restarts one of its streams.
        return full, use.limit.is_named, online, is_remote, self._rng.random()


def _restarted(before: EndpointEntry, after: EndpointEntry) -> bool:
    return (before.address, before.started_at_ms) != (
        after.address,
        after.started_at_ms,
    )
