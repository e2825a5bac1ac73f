"""Writes the results of batch items, and fences logs of earlier runners."""

from collections.abc import Awaitable, Callable, Iterable

import curio
from jacinthmount.errors import StoreUnavailable
from jacinthmount.recent_objects import RecentObjects

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.batch_jobs import (
    BatchJob,
    write_fence,
    write_results,
)
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.state import RelayState

__all__ = ('ResultWriter',)

# Results that become ready in this time share a segment.
RESULT_GROUPING_S = 1.0
RETRY_S = 0.3


class ResultWriter:
    """Runs at most one writing task for each batch.

    :param is_open: returns whether this runner still works on a batch.
    :param on_complete: called for each batch whose log is complete.
    """

    __slots__ = (
        '_copies',
        '_is_open',
        '_on_complete',
        '_connectivity',
        '_state',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        connectivity: HostConnectivity,
        copies: RecentObjects,
        is_open: Callable[[BatchJob], bool],
        on_complete: Callable[[BatchJob], Awaitable[None]],
    ) -> None:
        self._state = state
        self._connectivity = connectivity
        self._copies = copies
        self._is_open = is_open
        self._on_complete = on_complete

    async def begin(self, job: BatchJob) -> None:
        """Starts writing pending results, grouped into segments."""
        if not job.writing:
            job.writing = True
            await curio.spawn(self._run, job, daemon=True)

    async def write_once(self, job: BatchJob) -> bool:
        """Writes pending results once.

        :returns: whether the store accepted them.
        """
        try:
            await write_results(self._state.store, job, self._copies)
        except StoreUnavailable as exc:
            log_event(
                'results_wait', batch=job.manifest.batch_id, detail=exc.detail
            )
            return False
        return True

    async def fence(self, jobs: Iterable[BatchJob]) -> None:
        """Fences logs to which another runner may still write.

        Until then each read of the log has to query the store.
        """
        if self._connectivity.is_store_unavailable():
            return
        for job in jobs:
            if job.needs_fence:
                job.writing = True
                await curio.spawn(self._run_fence, job, daemon=True)

    async def _run(self, job: BatchJob) -> None:
        try:
            while job.pending and self._is_open(job):
                if job.runs:
                    await curio.sleep(RESULT_GROUPING_S)
                if not await self._write_if_reachable(job):
                    await curio.sleep(RETRY_S)
        finally:
            job.writing = False
        if job.log.complete:
            await self._on_complete(job)

    async def _write_if_reachable(self, job: BatchJob) -> bool:
        # While the store is unavailable, no batch tries to write.
        return (
            not self._connectivity.is_store_unavailable()
            and await self.write_once(job)
        )

    async def _run_fence(self, job: BatchJob) -> None:
        try:
            await write_fence(self._state.store, job, self._copies)
        except StoreUnavailable as exc:
            log_event(
                'fence_unwritten',
                batch=job.manifest.batch_id,
                detail=exc.detail,
            )
            await curio.sleep(RETRY_S)
        finally:
            job.writing = False
        if job.pending:
            await self.begin(job)
