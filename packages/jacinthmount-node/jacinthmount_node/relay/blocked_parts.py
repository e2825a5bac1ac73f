"""Records of blocked prompt parts in the store, which outlive all hosts."""

import curio
import xxhash
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.ports import ABSENT, ObjectStore, Stored
from jacinthmount.prompt_breaker import BlockedParts
from jacinthmount.records import parse_json, serialize_json

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.crash_evidence import log_blocked
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = (
    'BLOCKED_PREFIX',
    'BlockedPartRecords',
    'clear_blocked',
    'read_blocked',
)

BLOCKED_PREFIX = 'blocked-parts/'
WRITE_INTERVAL_S = 0.5


class BlockedPartRecords:
    """Applies the records on each host; the active runner writes them."""

    __slots__ = ('_state', '_waiting')

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._waiting: set[str] = set()

    async def apply(self, watch: ObjectWatch, changed: list[Stored]) -> None:
        """Replaces the recorded parts after a change."""
        recorded = _parse_records(watch.objects())
        for blocked in recorded:
            log_blocked('blocked_parts_recorded', blocked)
        self._state.breaker.apply_recorded(recorded, self._state.now())
        self._state.metrics.blocked_parts.set(len(recorded))

    async def run(self) -> None:
        """Writes records while this host is the active runner.

        A part is recorded at the second check in a row that finds it blocked,
        which leaves other hosts the time to clear it.
        """
        while True:
            await curio.sleep(WRITE_INTERVAL_S)
            found = {
                _make_name(blocked): blocked
                for blocked in self._state.breaker.unrecorded()
            }
            if self._state.leadership.active:
                for name in self._waiting.intersection(found):
                    await self._write(name, found[name])
            self._waiting = set(found)

    async def _write(self, name: str, blocked: BlockedParts) -> None:
        try:
            await self._state.store.write(name, serialize_json(blocked), ABSENT)
        except StoreConflict:
            log_event('blocked_parts_known', name=name)
        except StoreUnavailable as exc:
            log_event('blocked_parts_not_written', detail=exc.detail)


async def read_blocked(store: ObjectStore) -> list[BlockedParts]:
    """Reads the records of blocked parts.

    :raises StoreUnavailable: the store did not answer.
    """
    listing = await store.list_names(BLOCKED_PREFIX)
    return _parse_records(listing.objects)


async def clear_blocked(store: ObjectStore, part: str) -> None:
    """Removes the records that name a part.

    :raises StoreUnavailable: the store did not answer.
    :raises StoreConflict: a record was changed meanwhile.
    """
    listing = await store.list_names(BLOCKED_PREFIX)
    for stored in listing.objects:
        for blocked in _parse_records([stored]):
            if part in blocked.parts:
                await store.delete(stored.name, stored.version)


def _parse_records(objects: list[Stored]) -> list[BlockedParts]:
    recorded = []
    for stored in objects:
        try:
            record = parse_json(BlockedParts, stored.body or '')
        except MalformedRecord as exc:
            log_event('bad_object', name=stored.name, detail=exc.detail)
            continue
        # Each prompt would have all of no parts.
        if record.parts:
            recorded.append(record)
        else:
            log_event('bad_object', name=stored.name, detail='no parts')
    return recorded


def _make_name(blocked: BlockedParts) -> str:
    """Returns the name of the record of blocked parts."""
    key = '\n'.join([blocked.service, *blocked.parts])
    return f'{BLOCKED_PREFIX}{xxhash.xxh3_64_hexdigest(key.encode())}'
