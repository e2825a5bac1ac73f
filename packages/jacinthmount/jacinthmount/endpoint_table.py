"""Endpoints as their registrations tell them, also over a store outage."""

from jacinthmount.records import Record, replaced

__all__ = ('EndpointEntry', 'EndpointTable', 'LeavingEndpoint')

RETURN_GRACE_S = 2.2
KEPT_LEAVING = 4096


class EndpointEntry(Record):
    """One registered endpoint; ``leaving`` ones take no new requests.

    ``endpoint_id`` names one incarnation, so a restarted process is another
    endpoint unless it keeps its id; then ``started_at_ms`` tells them apart.
    """

    __slots__ = (
        'endpoint_id',
        'service',
        'address',
        'data_centre',
        'slots',
        'leaving',
        'started_at_ms',
    )

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    started_at_ms: int


class LeavingEndpoint(Record):
    """One start of an endpoint that announced in an answer that it leaves."""

    __slots__ = ('endpoint_id', 'address', 'started_at_ms')

    endpoint_id: str
    address: str
    started_at_ms: int


class EndpointTable:
    """Registered endpoints by id.

    Registrations lapse while the store is away though their endpoints live.
    They stay in use until the store has been back for ``RETURN_GRACE_S``.

    What an endpoint announced of leaving goes before its registration, which
    may be older, until it starts anew.
    """

    __slots__ = ('_back_at', '_entries', '_lapsed', '_leaving', '_revisions')

    def __init__(self) -> None:
        """Starts empty."""
        self._entries: dict[str, EndpointEntry] = {}
        self._revisions: dict[str, int] = {}
        self._lapsed: set[str] = set()
        # A dict keeps the order, so that the oldest are dropped first.
        self._leaving: dict[LeavingEndpoint, None] = {}
        self._back_at = 0.0

    def on_store_outage(self) -> None:
        """Notes that the store does not answer."""
        self._back_at = float('inf')

    def on_store_recovery(self, now: float) -> None:
        """Notes that the store answers again."""
        self._back_at = now

    def put(self, entry: EndpointEntry, revision: int) -> None:
        """Takes a registration unless a newer one is known."""
        if revision < self._revisions.get(entry.endpoint_id, 0):
            return
        self._revisions[entry.endpoint_id] = revision
        if _start_of(entry) in self._leaving:
            entry = replaced(entry, leaving=True)
        self._entries[entry.endpoint_id] = entry
        self._lapsed.discard(entry.endpoint_id)

    def remove(self, endpoint_id: str, revision: int, now: float) -> None:
        """Takes a removal; right after an outage it may be a lapse."""
        if revision < self._revisions.get(endpoint_id, 0):
            return
        self._revisions[endpoint_id] = revision
        if now < self._back_at + RETURN_GRACE_S:
            self._lapsed.add(endpoint_id)
            return
        self._entries.pop(endpoint_id, None)
        self._lapsed.discard(endpoint_id)

    def note_leaving(self, leaving: LeavingEndpoint) -> bool:
        """Notes that one start of an endpoint leaves.

        :returns: whether that is news.
        """
        if leaving in self._leaving:
            return False
        self._leaving[leaving] = None
        if len(self._leaving) > KEPT_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        entry = self._entries.get(leaving.endpoint_id)
        if entry is not None and _start_of(entry) == leaving:
            self._entries[entry.endpoint_id] = replaced(entry, leaving=True)
        return True

    def announced_leaving(self) -> list[LeavingEndpoint]:
        """Lists the registered endpoints that announced that they leave."""
        return [
            one for one in self._leaving if one.endpoint_id in self._entries
        ]

    def drop_lapsed(self, now: float) -> bool:
        """Drops registrations that did not come back in time.

        :returns: whether any was dropped.
        """
        if not self._lapsed or now < self._back_at + RETURN_GRACE_S:
            return False
        for endpoint_id in self._lapsed:
            self._entries.pop(endpoint_id, None)
        self._lapsed.clear()
        return True

    def usable(self, service: str) -> list[EndpointEntry]:
        """Lists the endpoints of a service that take new requests."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.leaving
        ]

    def entries(self) -> list[EndpointEntry]:
        """Lists every endpoint known."""
        return list(self._entries.values())

    def find(self, endpoint_id: str) -> EndpointEntry | None:
        """Finds an endpoint by id."""
        return self._entries.get(endpoint_id)


def _start_of(entry: EndpointEntry) -> LeavingEndpoint:
    return LeavingEndpoint(
        endpoint_id=entry.endpoint_id,
        address=entry.address,
        started_at_ms=entry.started_at_ms,
    )
