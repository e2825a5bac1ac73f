"""Keeps the progress of batch items in the store, and reads it back."""

from collections.abc import Callable

import curio
from jacinthmount.batch_order import ItemRun
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.ports import ABSENT, ObjectStore
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.run_progress import (
    PROGRESS_PREFIX,
    RunnerProgress,
    adopt_progress,
    make_progress,
    progress_name,
    write_interval_s,
)
from jacinthmount.stores import new_write_id

from jacinthmount_node.logs import log_event

__all__ = ('ProgressLog',)

CHECK_S = 0.2


class ProgressLog:
    """The object of this runner, and what it found of others.

    Nothing depends on it: a write that fails is left out, and an object that
    can't be read costs repeated work only.
    """

    __slots__ = (
        '_events',
        '_find_runs',
        '_found',
        '_name',
        '_store',
        '_version',
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        host: str,
        find_runs: Callable[[], list[ItemRun]],
    ) -> None:
        """Starts with nothing read.

        :param find_runs: lists the unfinished items of an active runner.
        """
        self._store = store
        self._name = progress_name(host)
        self._find_runs = find_runs
        self._version = ABSENT
        self._events = 0
        self._found: list[RunnerProgress] = []

    async def run(self) -> None:
        """Writes at intervals, while there is something new."""
        while True:
            await curio.sleep(CHECK_S)
            runs = self._find_runs()
            if _count_events(runs) != self._events:
                await curio.sleep(await self.write())

    async def write(self) -> float:
        """Writes what has been received.

        :returns: seconds after which to write again.
        """
        runs = self._find_runs()
        progress = make_progress(runs, new_write_id())
        events = _count_events(runs)
        try:
            self._version = await self._store.write(
                self._name,
                serialize_json(progress),
                self._version,
            )
        except StoreConflict as exc:
            # Written by an earlier start of this host, or its answer was lost.
            self._version = exc.version
        except StoreUnavailable as exc:
            log_event('progress_unwritten', detail=exc.detail)
        else:
            self._events = events
        return write_interval_s(progress)

    async def read(self) -> None:
        """Reads what all runners have kept."""
        try:
            listing = await self._store.list_names(PROGRESS_PREFIX)
        except StoreUnavailable as exc:
            log_event('progress_unread', detail=exc.detail)
            return
        self._found = []
        for one in listing.objects:
            if one.name == self._name:
                self._version = one.version
            try:
                self._found.append(parse_json(RunnerProgress, one.body or ''))
            except MalformedRecord as exc:
                log_event('bad_object', name=one.name, detail=exc.detail)

    def adopt(self, batch: str, runs: dict[str, ItemRun]) -> int:
        """Lets the runs of a batch go on after what was read.

        :returns: how many events need not be received again.
        """
        return adopt_progress(runs, batch, self._found)


def _count_events(runs: list[ItemRun]) -> int:
    return sum(len(run.texts) for run in runs)
