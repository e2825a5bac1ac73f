"""Watches of object prefixes that survive store outages and lost history."""

import math
import random
from collections.abc import Awaitable, Callable

import curio
from jacinthmount.errors import HistoryGone, StoreUnavailable
from jacinthmount.list_freshness import ListFreshness
from jacinthmount.ports import Listing, ObjectStore, Stored
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.net.sockets import SystemClock, with_timeout

__all__ = ('ObjectWatch', 'PrefixSnapshot', 'WatchDelays')

WATCH_WAIT_S = 20.0
# Time for the answer of a watch call to arrive once its wait is over.
ANSWER_MARGIN_S = 0.5
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# Factors between which retry delays are randomised.
RETRY_SPREAD = (0.7, 1.3)
POLL_INTERVAL_S = 0.25
OnChange = Callable[['ObjectWatch', list[Stored]], Awaitable[None]]


class PrefixSnapshot(Record):
    """The objects under a prefix as of a revision.

    ``names`` lists all objects, ``objects`` holds those that the requesting
    host does not have in this version.
    """

    __slots__ = ('prefix', 'revision', 'names', 'objects')

    prefix: str
    revision: int
    names: list[str]
    objects: list[Stored]


class WatchDelays:
    """Delays of a watch, to bound the load of many hosts on the store."""

    __slots__ = ('coalesce_s', 'update_grace_s', 'wait_s')

    def __init__(
        self,
        *,
        update_grace_s: float = 0.0,
        coalesce_s: float = 0.0,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        """Keeps the delays.

        :param update_grace_s: seconds to wait for another update source after
            the last one is lost, before this host watches the store itself.
        :param coalesce_s: seconds to wait after a page of changes, so that the
            next page holds several.
        :param wait_s: seconds for which the store may hold a watch call back.
            A call or an answer that is lost goes unnoticed for about as long.
        """
        self.wait_s = wait_s
        self.update_grace_s = update_grace_s
        self.coalesce_s = coalesce_s


class ObjectWatch:
    """Holds the objects under one prefix and never reverts to an older state.

    The callback gets the changed objects; a removed object has no body. If it
    fails, it gets each of them once more alone, so that an object that can't be
    handled does not cost the others. While another host is the update source
    of this one, the watch makes no calls. A watch call without an answer in
    time shows no outage, but a change may be lost with it, so the prefix is
    listed. A watch with ``is_probed`` relies on
    its owner to detect the end of an outage. ``last_reply_at`` is when the last
    listing that succeeded was requested.
    """

    __slots__ = (
        '_call',
        '_freshness',
        '_make_delays',
        '_has_update_source',
        '_is_probed',
        '_objects',
        '_on_change',
        '_rng',
        '_store',
        'in_outage',
        'prefix',
        'last_reply_at',
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
        make_delays: Callable[[], WatchDelays] = WatchDelays,
        is_probed: bool = False,
        freshness: ListFreshness | None = None,
    ) -> None:
        """Starts without objects and in an outage, until the first listing.

        :param has_update_source: whether another host sends updates to this
            one; without it no host does.
        :param is_probed: the owner refreshes this watch in an outage.
        :param freshness: told of listings and pages.
        """
        self._freshness = freshness or ListFreshness(
            clock=SystemClock(), on_missed=_ignore_missed
        )
        self._has_update_source = has_update_source or _never_has_update_source
        self._make_delays = make_delays
        self._is_probed = is_probed
        self._store = store
        self._on_change = on_change
        self._rng = rng
        self._objects: dict[str, Stored] = {}
        # Task of the watch call that waits, or None.
        self._call: curio.Task | None = None
        self.prefix = prefix
        self.revision = 0
        self.in_outage = True
        self.last_reply_at = -math.inf

    def objects(self) -> list[Stored]:
        """Lists the known objects."""
        return list(self._objects.values())

    def find(self, name: str) -> Stored | None:
        """Finds an object."""
        return self._objects.get(name)

    def snapshot(self, after: int) -> PrefixSnapshot:
        """Copies the objects newer than a revision, for another host."""
        return PrefixSnapshot(
            prefix=self.prefix,
            revision=self.revision,
            names=list(self._objects),
            objects=[
                stored
                for stored in self._objects.values()
                if stored.version > after
            ],
        )

    async def run(self) -> None:
        """Follows the store until cancelled."""
        await self._relist_until_done()
        while True:
            try:
                await self._follow()
            except HistoryGone:
                log_event('history_gone', prefix=self.prefix)
            except TimeoutError:
                log_event('watch_unanswered', prefix=self.prefix)
            except StoreUnavailable as exc:
                self._note_outage(exc)
            else:
                # The owner lists the prefix, or finds an update source.
                await self._wait_for_recovery()
                continue
            await self._relist_until_done()

    async def refresh(self) -> None:
        """Lists the prefix once, independently of a pending watch call."""
        try:
            await self._relist()
        except StoreUnavailable as exc:
            self._note_outage(exc)

    async def end_call(self) -> None:
        """Ends the watch call that waits, so that a new one is made."""
        if self._call is not None:
            await self._call.cancel(blocking=False)

    async def probe(self, timeout_s: float) -> None:
        """Lists the prefix once and treats a time-out as an outage."""
        try:
            await with_timeout(timeout_s, self.refresh)
        except TimeoutError as exc:
            self._note_outage(StoreUnavailable(detail=str(exc)))

    def end_outage(self) -> None:
        """Records that the store is available, without a call to it."""
        if self.in_outage:
            log_event('store_reached', prefix=self.prefix)
        self.in_outage = False

    async def apply_snapshot(self, snapshot: PrefixSnapshot) -> None:
        """Applies the state of another host if it is newer."""
        if snapshot.revision > self.revision:
            await self._apply_state(
                snapshot.objects,
                set(snapshot.names),
                snapshot.revision,
            )

    async def _follow(self) -> None:
        while True:
            if await self._wait_while_updated():
                return
            requested_at = self._freshness.now()
            with self._freshness.follow():
                page = await self._wait_for_changes()
            if page is None:
                continue
            await self._apply_changes(page)
            self._freshness.note_followed(requested_at)
            await curio.sleep(self._make_delays().coalesce_s)

    async def _wait_for_changes(self) -> Listing | None:
        """Makes one watch call.

        :returns: None if the call was ended.
        :raises TimeoutError: the call was not answered in time.
        """
        wait_s = self._make_delays().wait_s
        call = await curio.spawn(
            self._store.watch_page,
            self.prefix,
            self.revision,
            wait_s,
        )
        self._call = call
        try:
            await with_timeout(wait_s + ANSWER_MARGIN_S, call.wait)
        finally:
            self._call = None
            await call.cancel()
        if isinstance(call.exception, curio.TaskCancelled):
            return None
        if call.exception is not None:
            raise call.exception
        return call.result

    async def _wait_while_updated(self) -> bool:
        """Waits while an update source exists or a new one may still appear.

        :returns: whether the watch is in an outage, which a probe detected
            meanwhile.
        """
        without_source_s = 0.0
        while not self.in_outage:
            if self._has_update_source():
                without_source_s = 0.0
            elif without_source_s >= self._make_delays().update_grace_s:
                return False
            await curio.sleep(POLL_INTERVAL_S)
            without_source_s += POLL_INTERVAL_S
        return True

    async def _relist_until_done(self) -> None:
        # A listing returns at once, unlike a watch, and so detects the end of
        # an outage without delay.
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._relist()
            except StoreUnavailable as exc:
                self._note_outage(exc)
                if self._is_probed:
                    await self._wait_for_recovery()
                    return
                await curio.sleep(pause_s * self._rng.uniform(*RETRY_SPREAD))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            else:
                return

    async def _wait_for_recovery(self) -> None:
        while self.in_outage:
            await curio.sleep(POLL_INTERVAL_S)

    async def _relist(self) -> None:
        sent_at = await curio.clock()
        requested_at = self._freshness.now()
        listing = await self._store.list_names(self.prefix)
        self.last_reply_at = sent_at
        self.end_outage()
        names = {stored.name for stored in listing.objects}
        if listing.revision >= self.revision:
            await self._apply_state(listing.objects, names, listing.revision)
        self._freshness.confirm(requested_at)

    async def _apply_state(
        self,
        objects: list[Stored],
        names: set[str],
        revision: int,
    ) -> None:
        changed = [stored for stored in objects if self._is_newer(stored)]
        changed.extend(
            Stored(name=name, version=revision, body=None)
            for name, known in self._objects.items()
            if name not in names and known.version <= revision
        )
        self.revision = revision
        await self._apply(changed)

    async def _apply_changes(self, page: Listing) -> None:
        # A snapshot of another host may have been applied meanwhile.
        changed = [stored for stored in page.objects if self._is_newer(stored)]
        self.revision = max(self.revision, page.revision)
        await self._apply(changed)

    def _is_newer(self, stored: Stored) -> bool:
        known = self._objects.get(stored.name)
        if known is None:
            return stored.body is not None
        return stored.version > known.version or (
            stored.body is None and stored.version >= known.version
        )

    async def _apply(self, changed: list[Stored]) -> None:
        for stored in changed:
            if stored.body is None:
                self._objects.pop(stored.name, None)
            else:
                self._objects[stored.name] = stored
        if changed:
            await self._report(changed)

    async def _report(self, changed: list[Stored]) -> None:
        try:
            await self._on_change(self, changed)
        except Exception as exc:
            log_failure(f'watch of {self.prefix}', exc)
            if len(changed) > 1:
                await self._report_singly(changed)

    async def _report_singly(self, changed: list[Stored]) -> None:
        # The objects are stored, so no later listing would report them.
        for stored in changed:
            if not self._is_current(stored):
                # What came meanwhile was reported already.
                continue
            try:
                await self._on_change(self, [stored])
            except Exception as exc:
                log_failure(f'object {stored.name}', exc)

    def _is_current(self, stored: Stored) -> bool:
        if stored.body is None:
            return stored.name not in self._objects
        return self._objects.get(stored.name) == stored

    def _note_outage(self, exc: StoreUnavailable) -> None:
        if not self.in_outage:
            log_event('store_lost', prefix=self.prefix, detail=exc.detail)
        self.in_outage = True


def _never_has_update_source() -> bool:
    """Default of watches that have no update source."""
    return False


def _ignore_missed() -> None:
    """Default of watches whose history does not matter."""
