"""Software versions that may have begun the streams of callers, by service."""

import math
from collections.abc import Iterable

from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.stream_origins import StreamOrigin

__all__ = ('GONE_VALID_S', 'VersionHistory')

# An endpoint goes on for a while after its registration is gone, hosts that are
# cut off notice later, and callers take streams up later still.
GONE_VALID_S = 30.0
# Time in which hosts learn that an endpoint was registered anew.
NEWS_LAG_S = 5.0
MAX_ENDPOINTS = 4096


class _Change:
    """Start of a process with another version, and when it was noted."""

    __slots__ = ('at', 'started_at_ms')

    def __init__(self, *, started_at_ms: int, at: float) -> None:
        self.started_at_ms = started_at_ms
        self.at = at


class VersionHistory:
    """Versions of each service that serve, or have served until recently.

    A process that has just started lacks the versions that left before. It
    learns them from other hosts or from the record in the store.
    """

    __slots__ = (
        '_changes',
        '_complete_at',
        '_gone_at',
        '_present',
        '_registered',
    )

    def __init__(self, *, now: float) -> None:
        self._present: dict[str, set[str]] = {}
        # Time at which a version was last present, by service and version.
        self._gone_at: dict[tuple[str, str], float] = {}
        # Last version of each endpoint, also of those that are gone.
        self._registered: dict[str, str] = {}
        # Last change of version under the id of each endpoint.
        self._changes: dict[str, _Change] = {}
        self._complete_at = math.inf
        self.restart(now)

    def update(self, entries: Iterable[EndpointEntry], now: float) -> None:
        """Replaces the versions that are present."""
        present: dict[str, set[str]] = {}
        for entry in entries:
            present.setdefault(entry.service, set()).add(entry.version)
        for service, versions in self._present.items():
            for version in versions - present.get(service, set()):
                self._gone_at[service, version] = now
        self._present = present
        for known, gone_at in list(self._gone_at.items()):
            if now >= gone_at + GONE_VALID_S:
                self._gone_at.pop(known)

    def note_registration(self, entry: EndpointEntry, now: float) -> None:
        """Records that an endpoint is registered, possibly anew."""
        before = self._registered.pop(entry.endpoint_id, entry.version)
        self._registered[entry.endpoint_id] = entry.version
        if before != entry.version:
            self._changes[entry.endpoint_id] = _Change(
                started_at_ms=entry.started_at_ms, at=now
            )
        if len(self._registered) > MAX_ENDPOINTS:
            oldest = next(iter(self._registered))
            self._registered.pop(oldest)
            self._changes.pop(oldest, None)

    def add(self, service: str, versions: Iterable[str], now: float) -> None:
        """Records versions that another host knows, or that a record names."""
        for version in versions:
            self._gone_at[service, version] = now

    def complete(self) -> None:
        """Records that the versions that left before the start are known."""
        self._complete_at = -math.inf

    def restart(self, now: float) -> None:
        """Records that versions may have come and left unseen."""
        self._complete_at = now + GONE_VALID_S

    def needs_restore(self, now: float) -> bool:
        """Returns whether versions that have left may be missing."""
        return now < self._complete_at

    def is_complete(self, now: float) -> bool:
        """Returns whether no version can be missing."""
        return bool(self._present) and not self.needs_restore(now)

    def candidates(self, service: str, now: float) -> set[str]:
        """Returns the versions that may have begun a recent stream."""
        recent = {
            version
            for (each, version), gone_at in self._gone_at.items()
            if each == service and now < gone_at + GONE_VALID_S
        }
        return recent | self._present.get(service, set())

    def all_candidates(self, now: float) -> dict[str, list[str]]:
        """Returns the candidates of each service, in order."""
        services = {service for service, _ in self._gone_at}
        found = {
            service: sorted(self.candidates(service, now))
            for service in sorted(services | set(self._present))
        }
        return {service: names for service, names in found.items() if names}

    def is_mixed(self, service: str, now: float) -> bool:
        """Returns whether the version of a stream has to be known."""
        return len(self.candidates(service, now)) > 1

    def is_certain(self, origin: StreamOrigin, began_at: float) -> bool:
        """Returns whether the version of an origin can be relied on.

        A request may have reached a new process of the endpoint before its
        host learned the new version.

        :param began_at: time at which the stream began, ``inf`` if that is not
            known.
        """
        changed = self._changes.get(origin.endpoint_id)
        if changed is None or began_at < changed.at - NEWS_LAG_S:
            return True
        return changed.started_at_ms == origin.started_at_ms
