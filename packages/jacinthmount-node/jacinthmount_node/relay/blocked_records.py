"""Records of what crashes endpoints in the store, which outlive all hosts."""

import curio
from jacinthmount.crash_breaker import BlockedParts, RecordedRequest
from jacinthmount.crash_strikes import Suspect
from jacinthmount.ports import ObjectStore, Stored

from jacinthmount_node.blocked_store import Blocked, BlockedStore, log_blocked
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
    'remove_refuted',
)

BLOCKED_PREFIX = 'blocked-parts/'
WRITE_INTERVAL_S = 0.5


class BlockedRecords:
    """Applies the records on each host; the active runner writes them."""

    __slots__ = ('_state', '_waiting')

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._waiting: set[str] = set()

    async def apply(self, watch: ObjectWatch, changed: list[Stored]) -> None:
        """Replaces what is recorded after a change."""
        now = self._state.now()
        records = _open(self._state.store)
        parts: list[BlockedParts] = []
        requests: list[RecordedRequest] = []
        for stored in watch.objects():
            blocked = records.parse(stored)
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
        self._state.metrics.blocked_requests.set(
            sum(not recorded.counts_parts for recorded in requests)
        )

    async def run(self) -> None:
        """Writes records while this host is the active runner.

        A record is written at the second check in a row that finds it missing,
        which leaves other hosts the time to clear the suspects.
        """
        records = _open(self._state.store)
        while True:
            await curio.sleep(WRITE_INTERVAL_S)
            found = {
                records.make_name(blocked): blocked
                for blocked in self._state.breaker.unrecorded()
            }
            if self._state.leadership.active:
                for name in self._waiting.intersection(found):
                    await records.write(found[name])
            self._waiting = set(found)


async def begin_trial(
    state: RelayState, service: str, suspect: Suspect
) -> bool:
    """Asks to send a blocked request to an endpoint once more.

    :returns: whether this host may send it.
    """
    now = state.now()
    trial = state.breaker.find_trial(service, suspect, now)
    return await _open(state.store).begin_trial(state.breaker, trial, now)


async def remove_record(state: RelayState, request: str) -> None:
    """Removes the record of a request that an endpoint answered completely.

    :param request: its digest.
    """
    await _open(state.store).remove_request(request)


async def remove_refuted(state: RelayState) -> None:
    """Removes the records of parts that are known not to crash endpoints.

    They are listed until the change of the store is known here, so a removal
    that fails is repeated by the next call.
    """
    for blocked in state.breaker.refuted_parts():
        await _open(state.store).remove_parts(blocked)


async def read_blocked(store: ObjectStore) -> list[Blocked]:
    """Reads the records of what is blocked.

    :raises StoreUnavailable: the store did not answer.
    """
    return await _open(store).read_all()


async def clear_blocked(store: ObjectStore, suspect: str) -> None:
    """Removes the records that name a prompt part or a request.

    :param suspect: id of the part, or digest of the request.
    :raises StoreUnavailable: the store did not answer.
    :raises StoreConflict: a record was changed meanwhile.
    """
    await _open(store).clear(suspect)


def _open(store: ObjectStore) -> BlockedStore:
    return BlockedStore(store=store, prefix=BLOCKED_PREFIX)
