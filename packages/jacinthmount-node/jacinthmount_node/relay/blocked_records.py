"""Records of what crashes endpoints in the store, which outlive all hosts."""

import curio
import xxhash
from jacinthmount.crash_breaker import (
    BlockedParts,
    BlockedRequest,
    RecordedRequest,
)
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.ports import ABSENT, ObjectStore, Stored
from jacinthmount.records import parse_json, replaced, serialize_json

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = (
    'BLOCKED_PREFIX',
    'BlockedRecords',
    'begin_trial',
    'clear_blocked',
    'log_blocked',
    'read_blocked',
    'remove_record',
)

BLOCKED_PREFIX = 'blocked-parts/'
REQUEST_PREFIX = f'{BLOCKED_PREFIX}request-'
WRITE_INTERVAL_S = 0.5

Blocked = BlockedParts | BlockedRequest


class BlockedRecords:
    """Applies the records on each host; the active runner writes them."""

    __slots__ = ('_state', '_waiting')

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._waiting: set[str] = set()

    async def apply(self, watch: ObjectWatch, changed: list[Stored]) -> None:
        """Replaces what is recorded after a change."""
        now = self._state.now()
        parts: list[BlockedParts] = []
        requests: list[RecordedRequest] = []
        for stored in watch.objects():
            blocked = _parse_record(stored)
            if blocked is None:
                continue
            log_blocked('block_recorded', blocked)
            if isinstance(blocked, BlockedParts):
                parts.append(blocked)
            else:
                requests.append(
                    RecordedRequest(
                        blocked=blocked, version=stored.version, seen_at=now
                    )
                )
        self._state.breaker.apply_recorded(parts, requests, now)
        self._state.metrics.blocked_parts.set(len(parts))
        self._state.metrics.blocked_requests.set(len(requests))

    async def run(self) -> None:
        """Writes records while this host is the active runner.

        A record is written at the second check in a row that finds it missing,
        which leaves other hosts the time to clear the suspects.
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

    async def _write(self, name: str, blocked: Blocked) -> None:
        try:
            await self._state.store.write(name, serialize_json(blocked), ABSENT)
        except StoreConflict:
            log_event('block_known', name=name)
        except StoreUnavailable as exc:
            log_event('block_not_written', name=name, detail=exc.detail)


async def begin_trial(state: RelayState, request: str) -> bool:
    """Asks to send a blocked request to an endpoint once more.

    The record counts the trials, so all hosts together make no more than are
    allowed, whatever happens to the hosts.

    :param request: its digest.
    :returns: whether this host may send it.
    """
    recorded = state.breaker.find_recorded(request)
    if recorded is None or not recorded.may_try(state.now()):
        return False
    blocked = recorded.blocked
    name = _make_name(blocked)
    recorded.seen_at = state.now()
    try:
        await state.store.write(
            name,
            serialize_json(replaced(blocked, trials=blocked.trials + 1)),
            recorded.version,
        )
    except (StoreConflict, StoreUnavailable) as exc:
        log_event('trial_refused', request=request, detail=exc.detail)
        return False
    log_event('trial_begun', request=request, trial=blocked.trials + 1)
    return True


async def remove_record(state: RelayState, request: str) -> None:
    """Removes the record of a request that an endpoint answered completely.

    :param request: its digest.
    """
    try:
        stored = await state.store.read(f'{REQUEST_PREFIX}{request}')
        if stored is not None:
            await state.store.delete(stored.name, stored.version)
    except (StoreConflict, StoreUnavailable) as exc:
        # The next complete answer, or an operator, removes it.
        log_event('block_kept', request=request, detail=exc.detail)


async def read_blocked(store: ObjectStore) -> list[Blocked]:
    """Reads the records of what is blocked.

    :raises StoreUnavailable: the store did not answer.
    """
    listing = await store.list_names(BLOCKED_PREFIX)
    records = [_parse_record(stored) for stored in listing.objects]
    return [blocked for blocked in records if blocked is not None]


async def clear_blocked(store: ObjectStore, suspect: str) -> None:
    """Removes the records that name a prompt part or a request.

    :param suspect: id of the part, or digest of the request.
    :raises StoreUnavailable: the store did not answer.
    :raises StoreConflict: a record was changed meanwhile.
    """
    listing = await store.list_names(BLOCKED_PREFIX)
    for stored in listing.objects:
        blocked = _parse_record(stored)
        if blocked is not None and suspect in _list_suspects(blocked):
            await store.delete(stored.name, stored.version)


def log_blocked(event: str, blocked: Blocked) -> None:
    """Logs what is blocked, with the crashes that led to it."""
    if isinstance(blocked, BlockedRequest):
        log_event(
            event,
            request=blocked.request,
            trials=blocked.trials,
            crashes=','.join(blocked.crashes),
        )
        return
    log_event(
        event,
        service=blocked.service,
        parts=','.join(blocked.parts),
        crashes=','.join(blocked.crashes),
    )


def _parse_record(stored: Stored) -> Blocked | None:
    body = stored.body or ''
    try:
        if stored.name.startswith(REQUEST_PREFIX):
            return parse_json(BlockedRequest, body)
        return parse_json(BlockedParts, body)
    except MalformedRecord as exc:
        log_event('bad_object', name=stored.name, detail=exc.detail)
        return None


def _list_suspects(blocked: Blocked) -> list[str]:
    if isinstance(blocked, BlockedRequest):
        return [blocked.request]
    return blocked.parts


def _make_name(blocked: Blocked) -> str:
    """Returns the name of the record of what is blocked."""
    if isinstance(blocked, BlockedRequest):
        return f'{REQUEST_PREFIX}{blocked.request}'
    key = '\n'.join([blocked.service, *blocked.parts])
    return f'{BLOCKED_PREFIX}{xxhash.xxh3_64_hexdigest(key.encode())}'
