"""Writes the progress of batch items to the store and reads it back."""

from collections.abc import Callable

import curio
from jacinthmount.batch_order import ItemRun
from jacinthmount.errors import (
    MalformedRecord,
    StoreConflict,
    StoreUnavailable,
    ValueTooLarge,
)
from jacinthmount.ports import ABSENT, ObjectStore
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.run_progress import (
    MAX_BYTES,
    PROGRESS_PREFIX,
    ItemProgress,
    RunnerProgress,
    adopt_progress,
    make_progress,
    progress_name,
    write_interval_s,
)
from jacinthmount.stores import new_write_id

from jacinthmount_node.logs import log_event

__all__ = ('ProgressLog',)

CHECK_INTERVAL_S = 0.2


class ProgressLog:
    """The progress object of this runner, and those loaded from all runners.

    It is an optimisation: a failed write is skipped, and an unreadable object
    only means that work is repeated.

    :param find_runs: lists the unfinished items of an active runner.
    :param find_finished: lists the items whose results are not written yet.
    """

    __slots__ = (
        '_written',
        '_find_finished',
        '_find_runs',
        '_loaded',
        '_max_bytes',
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
        find_finished: Callable[[], list[ItemProgress]],
    ) -> None:
        self._store = store
        self._name = progress_name(host)
        self._find_runs = find_runs
        self._find_finished = find_finished
        self._version = ABSENT
        self._max_bytes = MAX_BYTES
        # Number of events and of finished items in the last write.
        self._written = (0, 0)
        self._loaded: list[RunnerProgress] = []

    async def run(self) -> None:
        """Writes the progress at intervals, if it has changed."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            count = _count(self._find_runs(), self._find_finished())
            if count != self._written:
                await curio.sleep(await self.write())

    async def write(self) -> float:
        """Writes the events received so far.

        :returns: seconds to wait before the next write.
        """
        runs, finished = self._find_runs(), self._find_finished()
        body = serialize_json(
            make_progress(runs, finished, new_write_id(), self._max_bytes)
        )
        count = _count(runs, finished)
        try:
            self._version = await self._store.write(
                self._name, body, self._version
            )
        except StoreConflict as exc:
            # An earlier process of this host wrote it, or the answer to an
            # earlier write was lost.
            self._version = exc.version
        except StoreUnavailable as exc:
            log_event('progress_unwritten', detail=exc.detail)
        except ValueTooLarge as exc:
            self._max_bytes = len(body) // 2
            log_event('progress_too_large', size=len(body), detail=exc.detail)
        else:
            self._written = count
        return write_interval_s(len(body))

    async def read(self) -> None:
        """Loads the progress objects of all runners."""
        try:
            listing = await self._store.list_names(PROGRESS_PREFIX)
        except StoreUnavailable as exc:
            log_event('progress_unread', detail=exc.detail)
            return
        self._loaded = []
        for stored in listing.objects:
            if stored.name == self._name:
                self._version = stored.version
            try:
                self._loaded.append(
                    parse_json(RunnerProgress, stored.body or '')
                )
            except MalformedRecord as exc:
                log_event('bad_object', name=stored.name, detail=exc.detail)

    def adopt(self, batch: str, runs: dict[str, ItemRun]) -> int:
        """Resumes the runs of a batch from the loaded progress.

        :returns: number of events that need not be received again.
        """
        return adopt_progress(runs, batch, self._loaded)


def _count(
    runs: list[ItemRun], finished: list[ItemProgress]
) -> tuple[int, int]:
    return sum(len(run.texts) for run in runs), len(finished)
