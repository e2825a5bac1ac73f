"""Watches of object prefixes that survive outages and lost history."""

import math
import random
from collections.abc import Awaitable, Callable

import curio
from jacinthmount.errors import HistoryGone, StoreUnavailable
from jacinthmount.ports import Listing, ObjectStore, Stored
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import bounded

__all__ = ('ObjectWatch', 'PrefixSnapshot')

WATCH_WAIT_S = 20.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
RETRY_SPREAD = (0.7, 1.3)

FED_CHECK_S = 0.1

IsFed = Callable[[], bool]
OnChange = Callable[['ObjectWatch', list[Stored]], Awaitable[None]]


class PrefixSnapshot(Record):
    """The objects under a prefix as of a revision.

    ``names`` lists all of them, ``objects`` holds those that the asking host
    does not know.
    """

    __slots__ = ('prefix', 'revision', 'names', 'objects')

    prefix: str
    revision: int
    names: list[str]
    objects: list[Stored]


class ObjectWatch:
    """Holds the objects under one prefix; never goes back to an older state.

    The callback gets what changed; a removed object has no body. While the
    host is fed by another one it makes no calls.
    """

    __slots__ = (
        '_is_fed',
        '_objects',
        '_on_change',
        '_rng',
        '_store',
        'in_outage',
        'prefix',
        'reached_at',
        'revision',
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        prefix: str,
        on_change: OnChange,
        rng: random.Random,
        is_fed: IsFed | None = None,
    ) -> None:
        """Starts with nothing known."""
        self._is_fed = is_fed
        self._store = store
        self._on_change = on_change
        self._rng = rng
        self._objects: dict[str, Stored] = {}
        self.prefix = prefix
        self.revision = 0
        self.in_outage = True
        self.reached_at = -math.inf

    def objects(self) -> list[Stored]:
        """Lists the objects known."""
        return list(self._objects.values())

    def find(self, name: str) -> Stored | None:
        """Finds an object."""
        return self._objects.get(name)

    def snapshot(self, after: int) -> PrefixSnapshot:
        """Copies for another host what is newer than a revision."""
        return PrefixSnapshot(
            prefix=self.prefix,
            revision=self.revision,
            names=list(self._objects),
            objects=[
                one for one in self._objects.values() if one.version > after
            ],
        )

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            await self._relist_until_done()
            try:
                await self._follow()
            except HistoryGone:
                log_event('history_gone', prefix=self.prefix)
            except StoreUnavailable as exc:
                self._note_outage(exc)

    async def refresh(self) -> None:
        """Lists once beside the watch, which may wait in vain."""
        try:
            await self._relist()
        except StoreUnavailable as exc:
            self._note_outage(exc)

    async def probe(self, timeout_s: float) -> None:
        """Lists once; an answer that takes longer is taken for an outage."""
        try:
            await bounded(timeout_s, self.refresh)
        except TimeoutError as exc:
            self._note_outage(StoreUnavailable(detail=str(exc)))

    async def take_snapshot(self, snapshot: PrefixSnapshot) -> None:
        """Takes the state of another host if it is newer."""
        if snapshot.revision > self.revision:
            await self._take_state(
                snapshot.objects,
                set(snapshot.names),
                snapshot.revision,
            )

    async def _follow(self) -> None:
        while True:
            if self._is_fed is not None and self._is_fed():
                await self._rest_while_fed(self._is_fed)
                return
            page = await self._store.watch_page(
                self.prefix,
                self.revision,
                WATCH_WAIT_S,
            )
            await self._take_changes(page)

    async def _rest_while_fed(self, is_fed: IsFed) -> None:
        while is_fed():
            await curio.sleep(FED_CHECK_S)

    async def _relist_until_done(self) -> None:
        # A listing answers at once, so that the end of an outage is noticed.
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._relist()
            except StoreUnavailable as exc:
                self._note_outage(exc)
                await curio.sleep(pause_s * self._rng.uniform(*RETRY_SPREAD))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            else:
                return

    async def _relist(self) -> None:
        asked_at = await curio.clock()
        listing = await self._store.list_names(self.prefix)
        self.reached_at = asked_at
        self._note_return()
        names = {one.name for one in listing.objects}
        if listing.revision >= self.revision:
            await self._take_state(listing.objects, names, listing.revision)

    async def _take_state(
        self,
        objects: list[Stored],
        names: set[str],
        revision: int,
    ) -> None:
        changed = [one for one in objects if self._is_newer(one)]
        changed.extend(
            Stored(name=name, version=revision, body=None)
            for name in self._objects
            if name not in names
        )
        self.revision = revision
        await self._apply(changed)

    async def _take_changes(self, page: Listing) -> None:
        # Another source may have brought a newer state meanwhile.
        changed = [one for one in page.objects if self._is_newer(one)]
        self.revision = max(self.revision, page.revision)
        await self._apply(changed)

    def _is_newer(self, one: Stored) -> bool:
        known = self._objects.get(one.name)
        if known is None:
            return one.body is not None
        return one.version > known.version or (
            one.body is None and one.version >= known.version
        )

    async def _apply(self, changed: list[Stored]) -> None:
        for one in changed:
            if one.body is None:
                self._objects.pop(one.name, None)
            else:
                self._objects[one.name] = one
        if changed:
            await self._on_change(self, changed)

    def _note_outage(self, exc: StoreUnavailable) -> None:
        if not self.in_outage:
            log_event('store_lost', prefix=self.prefix, detail=exc.detail)
        self.in_outage = True

    def _note_return(self) -> None:
        if self.in_outage:
            log_event('store_reached', prefix=self.prefix)
        self.in_outage = False
