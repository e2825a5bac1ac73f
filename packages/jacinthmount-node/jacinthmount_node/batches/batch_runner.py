"""Runs the batch tasks of a host: claims, item scheduling, archive."""

import curio
from jacinthmount.batches import BATCH_PREFIX
from jacinthmount.errors import StoreConflict, StoreUnavailable
from jacinthmount.ports import CacheEvents, Stored

from jacinthmount_node.batches.batch_archive import BatchArchive
from jacinthmount_node.batches.batch_claims import BatchClaims
from jacinthmount_node.batches.batch_scheduler import BatchScheduler
from jacinthmount_node.batches.batch_state import BatchState
from jacinthmount_node.batches.files_api import FileApi
from jacinthmount_node.batches.prefix_watch import PrefixWatch
from jacinthmount_node.engines.crash_watch import CrashWatch
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.logs import log_event
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.node import Node
from jacinthmount_node.parts import PartGroup

__all__ = ('BatchRunner',)


class BatchRunner:
    """Runs the batch tasks and shuts them down gracefully."""

    __slots__ = (
        '_archive',
        '_batch_state',
        '_claims',
        '_scheduler',
        '_prefixes',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        files: FileApi,
        sync: ConfigSync,
        events: CacheEvents,
        crashes: CrashWatch,
    ) -> None:
        self._batch_state = BatchState(node=node, rooms=rooms)
        self._prefixes = PrefixWatch(
            node=node,
            rooms=rooms,
            batch_state=self._batch_state,
            events=events,
        )
        self._scheduler = BatchScheduler(
            node=node,
            rooms=rooms,
            batch_state=self._batch_state,
            prefixes=self._prefixes,
            crashes=crashes,
        )
        self._claims = BatchClaims(
            node=node,
            rooms=rooms,
            files=files,
            sync=sync,
            batch_state=self._batch_state,
        )
        self._archive = BatchArchive(node=node, sync=sync)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._claims.run)
            await group.spawn(self._scheduler.run)
            await group.spawn(self._archive.run)
            await group.spawn(self._prefixes.run)

    async def on_config(self, changed: list[Stored]) -> None:
        """Stops the chunks of batches that are no longer open."""
        if not any(one.name.startswith(BATCH_PREFIX) for one in changed):
            return
        await self._claims.wake()
        still_open = {
            batch.batch_id for batch in self._batch_state.open_batches()
        }
        for run in list(self._batch_state.chunks.values()):
            if run.batch.batch_id not in still_open:
                await self._scheduler.stop_items(run)
                await curio.spawn(run.stop, daemon=True)

    async def leave(self) -> None:
        """Waits for running items, writes results and releases claims."""
        self._batch_state.stopping = True
        for run in self._batch_state.chunks.values():
            run.begin_stop()
        await self._scheduler.wait_idle()
        for claimed in list(self._batch_state.chunks.values()):
            await claimed.stop()
            try:
                await claimed.release()
            except (StoreConflict, StoreUnavailable) as exc:
                log_event('claim_kept', chunk=claimed.name, detail=exc.detail)

    def claimed(self) -> int:
        """Returns the number of chunks claimed by this host."""
        return len(self._batch_state.chunks)

    def running(self) -> int:
        """Returns the number of items in flight."""
        return self._scheduler.running()
