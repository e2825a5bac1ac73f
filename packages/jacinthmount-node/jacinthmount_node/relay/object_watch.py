"""Watches of object prefixes that survive outages and lost history."""

import math
import random
from collections.abc import Awaitable, Callable

import curio
from jacinthmount.errors import HistoryGone, StoreUnavailable
from jacinthmount.ports import Listing, ObjectStore, Stored
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import with_timeout

__all__ = ('ObjectWatch', 'PrefixSnapshot', 'WatchPace')

WATCH_WAIT_S = 20.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
RETRY_SPREAD = (0.7, 1.3)
CHECK_S = 0.1
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


class WatchPace:
    """Pauses of a watch, since many hosts together must not press the store."""

    __slots__ = ('gather_s', 'update_grace_s')

    def __init__(
        self,
        *,
        update_grace_s: float = 0.0,
        gather_s: float = 0.0,
    ) -> None:
        """Keeps times in seconds.

        :param update_grace_s: wait for another host to feed this one before
            the store is asked.
        :param gather_s: pause after changes, so that more come together.
        """
        self.update_grace_s = update_grace_s
        self.gather_s = gather_s


class ObjectWatch:
    """Holds the objects under one prefix; never goes back to an older state.

    The callback gets what changed; a removed object has no body. While the
    host is fed by another one it makes no calls. One that is probed leaves it
    to its owner to find the end of an outage.
    """

    __slots__ = (
        '_find_pace',
        '_is_fed',
        '_is_probed',
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
        has_update_source: Callable[[], bool] | None = None,
        find_pace: Callable[[], WatchPace] = WatchPace,
        is_probed: bool = False,
    ) -> None:
        """Starts with nothing known.

        :param is_probed: the owner refreshes this watch in an outage.
        """
        self._is_fed = has_update_source or _is_never_fed
        self._find_pace = find_pace
        self._is_probed = is_probed
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
            await with_timeout(timeout_s, self.refresh)
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
            if await self._rest_while_fed():
                return
            page = await self._store.watch_page(
                self.prefix,
                self.revision,
                WATCH_WAIT_S,
            )
            await self._take_changes(page)
            await curio.sleep(self._find_pace().gather_s)

    async def _rest_while_fed(self) -> bool:
        """Waits as long as others feed this host, or may soon do so.

        :returns: whether a probe found meanwhile that the store is away.
        """
        unfed_s = 0.0
        while not self.in_outage:
            if self._is_fed():
                unfed_s = 0.0
            elif unfed_s >= self._find_pace().update_grace_s:
                return False
            await curio.sleep(CHECK_S)
            unfed_s += CHECK_S
        return True

    async def _relist_until_done(self) -> None:
        # A listing answers at once, so that the end of an outage is noticed.
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._relist()
            except StoreUnavailable as exc:
                self._note_outage(exc)
                if self._is_probed:
                    await self._wait_for_return()
                    return
                await curio.sleep(pause_s * self._rng.uniform(*RETRY_SPREAD))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            else:
                return

    async def _wait_for_return(self) -> None:
        while self.in_outage:
            await curio.sleep(CHECK_S)

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


def _is_never_fed() -> bool:
    """Stands in where no other host feeds this one."""
    return False
