"""Records in the object API of what crashes endpoints."""

from jacinthmount.crash_breaker import (
    PARTS_MARK,
    BlockedParts,
    BlockedRequest,
    CrashBreaker,
    digest_parts,
)
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.ports import ABSENT, FLEET_PREFIX, ObjectStore, Stored
from jacinthmount.records import parse_json, replaced, serialize_json

from jacinthmount_node.logs import log_event

__all__ = ('FLEET_BLOCKED_PREFIX', 'Blocked', 'BlockedStore', 'log_blocked')

# Records of the first interface, which hosts read with the configuration.
FLEET_BLOCKED_PREFIX = f'{FLEET_PREFIX}blocked/'
REQUEST_MARK = 'request-'

Blocked = BlockedParts | BlockedRequest


class BlockedStore:
    """Records whose names begin with a prefix.

    :param prefix: prefix of their names in the store.
    """

    __slots__ = ('_prefix', '_store')

    def __init__(self, *, store: ObjectStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def write(self, blocked: Blocked) -> Stored | None:
        """Records what is blocked, if there is no such record.

        :returns: what was written, or None.
        """
        name = self.make_name(blocked)
        body = serialize_json(blocked)
        try:
            version = await self._store.write(name, body, ABSENT)
        except StoreConflict:
            log_event('block_known', name=name)
        except StoreUnavailable as exc:
            log_event('block_not_written', name=name, detail=exc.detail)
        else:
            return Stored(name=name, version=version, body=body)
        return None

    async def begin_trial(
        self, breaker: CrashBreaker, request: str, now: float
    ) -> bool:
        """Asks to send a blocked request to an endpoint once more.

        The record counts the trials, so all hosts together make no more than
        are allowed, whatever happens to the hosts.

        :param request: its digest, or that of the parts that block it.
        :returns: whether this host may send it.
        """
        recorded = breaker.find_recorded(request)
        if recorded is None or not recorded.may_try(now):
            return False
        blocked = recorded.blocked
        recorded.seen_at = now
        try:
            await self._store.write(
                self.make_name(blocked),
                serialize_json(replaced(blocked, trials=blocked.trials + 1)),
                recorded.version,
            )
        except (StoreConflict, StoreUnavailable) as exc:
            log_event('trial_refused', request=request, detail=exc.detail)
            return False
        log_event('trial_begun', request=request, trial=blocked.trials + 1)
        return True

    async def remove_request(self, request: str) -> None:
        """Removes the record of a request that was answered completely.

        :param request: its digest.
        """
        await self._remove(f'{self._prefix}{REQUEST_MARK}{request}')

    async def remove_parts(self, blocked: BlockedParts) -> None:
        """Removes the record of parts that crash no endpoints."""
        log_blocked('block_refuted', blocked)
        await self._remove(self.make_name(blocked))
        await self.remove_request(digest_parts(blocked))

    async def read_all(self) -> list[Blocked]:
        """Reads the records.

        :raises StoreUnavailable: the store did not answer.
        """
        listing = await self._store.list_names(self._prefix)
        records = [self.parse(stored) for stored in listing.objects]
        return [blocked for blocked in records if blocked is not None]

    async def clear(self, suspect: str) -> None:
        """Removes the records that name a prompt part or a request.

        :param suspect: id of the part, or digest of the request.
        :raises StoreUnavailable: the store did not answer.
        :raises StoreConflict: a record was changed meanwhile.
        """
        listing = await self._store.list_names(self._prefix)
        for stored in listing.objects:
            blocked = self.parse(stored)
            if blocked is None or suspect not in _list_suspects(blocked):
                continue
            await self._store.delete(stored.name, stored.version)
            if isinstance(blocked, BlockedParts):
                await self.remove_request(digest_parts(blocked))

    def parse(self, stored: Stored) -> Blocked | None:
        """Reads a record; one that is malformed is logged and left out."""
        body = stored.body or ''
        try:
            if stored.name.startswith(f'{self._prefix}{REQUEST_MARK}'):
                return parse_json(BlockedRequest, body)
            blocked = parse_json(BlockedParts, body)
        except MalformedRecord as exc:
            log_event('bad_object', name=stored.name, detail=exc.detail)
            return None
        if blocked.parts:
            return blocked
        # Each prompt would have all of no parts.
        log_event('bad_object', name=stored.name, detail='no parts')
        return None

    def make_name(self, blocked: Blocked) -> str:
        """Returns the name of the record of what is blocked."""
        if isinstance(blocked, BlockedRequest):
            return f'{self._prefix}{REQUEST_MARK}{blocked.request}'
        return f'{self._prefix}{digest_parts(blocked).removeprefix(PARTS_MARK)}'

    async def _remove(self, name: str) -> None:
        try:
            stored = await self._store.read(name)
            if stored is not None:
                await self._store.delete(stored.name, stored.version)
        except (StoreConflict, StoreUnavailable) as exc:
            # The caller tries again, or an operator removes it.
            log_event('block_kept', name=name, detail=exc.detail)


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


def _list_suspects(blocked: Blocked) -> list[str]:
    if isinstance(blocked, BlockedRequest):
        return [blocked.request]
    return blocked.parts
