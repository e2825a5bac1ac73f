"""Registered endpoints, kept in use during an outage of the store."""

import xxhash

from jacinthmount.records import Record, replaced

__all__ = ('EndpointEntry', 'EndpointIds', 'EndpointTable', 'LeavingEndpoint')

# Time for endpoints to renew their registration after an outage of the store.
LAPSE_GRACE_S = 2.2
MAX_LEAVING = 4096


class EndpointEntry(Record):
    """A registered endpoint; one that is ``leaving`` gets no new requests.

    A restarted process usually registers under a new ``endpoint_id``. If it
    keeps its id, ``started_at_ms`` distinguishes the two incarnations.
    ``cold_left_s`` is how long it stays cold from the registration on.
    ``version`` is that of its software.
    """

    __slots__ = (
        'endpoint_id',
        'service',
        'address',
        'data_centre',
        'slots',
        'leaving',
        'started_at_ms',
        'cold_left_s',
        'version',
    )

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    started_at_ms: int
    cold_left_s: float
    version: str


class LeavingEndpoint(Record):
    """An incarnation of an endpoint that announced that it leaves."""

    __slots__ = ('endpoint_id', 'address', 'started_at_ms')

    endpoint_id: str
    address: str
    started_at_ms: int


class EndpointTable:
    """Registered endpoints by id.

    During an outage of the store registrations lapse although their endpoints
    still run. Such endpoints stay in use until the store has been available
    again for ``LAPSE_GRACE_S``.

    An announcement of an endpoint that it leaves takes precedence over its
    registration, which may be older, until the endpoint restarts.
    """

    __slots__ = (
        '_store_recovered_at',
        '_entries',
        '_ids',
        '_lapsed',
        '_leaving',
        '_revisions',
    )

    def __init__(self) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._ids: EndpointIds | None = None
        self._revisions: dict[str, int] = {}
        self._lapsed: set[str] = set()
        # A dict used as an ordered set: the oldest entries are dropped first.
        self._leaving: dict[LeavingEndpoint, None] = {}
        self._store_recovered_at = 0.0

    def on_store_outage(self) -> None:
        """Records that the store is unavailable."""
        self._store_recovered_at = float('inf')

    def on_store_recovery(self, now: float) -> None:
        """Records that the store is available again."""
        self._store_recovered_at = now

    def put(self, entry: EndpointEntry, revision: int) -> None:
        """Stores a registration unless a newer one is known."""
        if revision < self._revisions.get(entry.endpoint_id, 0):
            return
        self._revisions[entry.endpoint_id] = revision
        if _start_of(entry) in self._leaving:
            entry = replaced(entry, leaving=True)
        if entry.endpoint_id not in self._entries:
            self._ids = None
        self._entries[entry.endpoint_id] = entry
        self._lapsed.discard(entry.endpoint_id)

    def remove(self, endpoint_id: str, revision: int, now: float) -> None:
        """Removes a registration, or marks it as lapsed around an outage."""
        if revision < self._revisions.get(endpoint_id, 0):
            return
        self._revisions[endpoint_id] = revision
        if now < self._store_recovered_at + LAPSE_GRACE_S:
            self._lapsed.add(endpoint_id)
            return
        self._drop(endpoint_id)
        self._lapsed.discard(endpoint_id)

    def note_leaving(self, leaving: LeavingEndpoint) -> bool:
        """Records that an incarnation of an endpoint leaves.

        :returns: whether that was not known before.
        """
        if leaving in self._leaving:
            return False
        self._leaving[leaving] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        entry = self._entries.get(leaving.endpoint_id)
        if entry is not None and _start_of(entry) == leaving:
            self._entries[entry.endpoint_id] = replaced(entry, leaving=True)
        return True

    def announced_leaving(self) -> list[LeavingEndpoint]:
        """Lists the registered endpoints that announced that they leave."""
        return [
            leaving
            for leaving in self._leaving
            if leaving.endpoint_id in self._entries
        ]

    def drop_lapsed(self, now: float) -> bool:
        """Drops lapsed registrations that were not renewed in time.

        :returns: whether any was dropped.
        """
        if not self._lapsed or now < self._store_recovered_at + LAPSE_GRACE_S:
            return False
        for endpoint_id in self._lapsed:
            self._drop(endpoint_id)
        self._lapsed.clear()
        return True

    def usable(self, service: str) -> list[EndpointEntry]:
        """Lists the endpoints of a service that accept new requests."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.leaving
        ]

    def entries(self) -> list[EndpointEntry]:
        """Lists all known endpoints."""
        return list(self._entries.values())

    def ids(self) -> 'EndpointIds':
        """Returns the ids of all known endpoints."""
        if self._ids is None:
            self._ids = EndpointIds(ids=sorted(self._entries))
        return self._ids

    def find(self, endpoint_id: str) -> EndpointEntry | None:
        """Finds an endpoint by id."""
        return self._entries.get(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        if self._entries.pop(endpoint_id, None) is not None:
            self._ids = None


class EndpointIds:
    """Sorted ids of endpoints, with a digest that hosts compare.

    Counts of all endpoints are sent in the order of the ids, without them.
    """

    __slots__ = ('digest', 'ids')

    def __init__(self, *, ids: list[str]) -> None:
        self.ids = ids
        self.digest = xxhash.xxh32_intdigest('\n'.join(ids).encode())


def _start_of(entry: EndpointEntry) -> LeavingEndpoint:
    return LeavingEndpoint(
        endpoint_id=entry.endpoint_id,
        address=entry.address,
        started_at_ms=entry.started_at_ms,
    )
