"""Record of begun streams in the store, which outlives all hosts."""

import curio
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import Record, parse_json, serialize_json
from jacinthmount.stores import new_write_id
from jacinthmount.stream_origins import BegunStreams

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.state import RelayState

__all__ = ('RecordedStreams', 'StreamRecord')

RECORD_NAME = 'stream-versions/fleet'
CHECK_INTERVAL_S = 0.2


class RecordedStreams(Record):
    """Versions that may have begun a stream, and the streams of several.

    ``versions`` are listed by service.
    """

    __slots__ = ('versions', 'begun', 'write_id')

    versions: dict[str, list[str]]
    begun: list[BegunStreams]
    write_id: str


class StreamRecord:
    """Keeps the record while this host is the active runner.

    A service with one version needs no entries for its streams.
    """

    __slots__ = ('_state', '_version', '_was_active', '_written')

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._version = ABSENT
        self._was_active = False
        # Versions and number of changes of the origins in the last write.
        self._written: tuple[dict[str, list[str]], int] = ({}, 0)

    async def run(self) -> None:
        """Reads the record, and writes it on change, until cancelled."""
        while not await self._read():
            await curio.sleep(CHECK_INTERVAL_S)
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            is_active = self._state.leadership.active
            if is_active and self._needs_read():
                is_active = await self._read()
            self._was_active = is_active
            if is_active:
                await self._write_if_changed()

    def _needs_read(self) -> bool:
        now = self._state.now()
        return not self._was_active or self._state.versions.needs_restore(now)

    async def _read(self) -> bool:
        """Merges the record into what this host knows.

        :returns: false if the store did not answer.
        """
        try:
            stored = await self._state.store.read(RECORD_NAME)
        except StoreUnavailable as exc:
            log_event('stream_record_unread', detail=exc.detail)
            return False
        if stored is not None:
            self._merge(stored)
        self._state.versions.complete()
        return True

    def _merge(self, stored: Stored) -> None:
        self._version = stored.version
        now = self._state.now()
        try:
            record = parse_json(RecordedStreams, stored.body or '')
        except MalformedRecord as exc:
            log_event('bad_object', name=RECORD_NAME, detail=exc.detail)
            return
        for service, versions in record.versions.items():
            self._state.versions.add(service, versions, now)
        self._state.origins.note_missing(record.begun, now)
        self._written = (record.versions, self._state.origins.changes)

    async def _write_if_changed(self) -> None:
        now = self._state.now()
        versions = self._state.versions.all_candidates(now)
        current = (versions, self._state.origins.changes)
        is_mixed = any(len(names) > 1 for names in versions.values())
        if versions == self._written[0] and not (
            is_mixed and current != self._written
        ):
            return
        record = RecordedStreams(
            versions=versions,
            begun=[
                group
                for group in self._state.origins.pack(now)
                if len(versions.get(group.origin.service, ())) > 1
            ],
            write_id=new_write_id(),
        )
        try:
            self._version = await self._state.store.write(
                RECORD_NAME, serialize_json(record), self._version
            )
        except StoreConflict:
            # Another runner was active, or an answer of the store was lost.
            await self._read()
        except StoreUnavailable as exc:
            log_event('stream_record_unwritten', detail=exc.detail)
        else:
            self._written = current
