"""Batch work of one host: claims, items on engines, archive."""

import curio
from jacinthmount.batches import BATCH_PREFIX
from jacinthmount.errors import StoreConflict, StoreUnavailable
from jacinthmount.ports import CacheEvents, Stored

from jacinthmount_node.batches.batch_archive import BatchArchive
from jacinthmount_node.batches.batch_board import BatchBoard
from jacinthmount_node.batches.batch_claims import BatchClaims
from jacinthmount_node.batches.batch_feed import BatchFeed
from jacinthmount_node.batches.files_api import FileApi
from jacinthmount_node.batches.prefix_watch import PrefixWatch
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.logs import log_event
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.node import Node

__all__ = ('BatchRunner',)


class BatchRunner:
    """Runs the batch tasks and ends them gracefully."""

    __slots__ = ('_archive', '_board', '_claims', '_feed', '_prefixes')

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        files: FileApi,
        sync: ConfigSync,
        events: CacheEvents,
    ) -> None:
        """Starts with nothing claimed."""
        self._board = BatchBoard(node=node, rooms=rooms)
        self._prefixes = PrefixWatch(
            node=node,
            rooms=rooms,
            board=self._board,
            events=events,
        )
        self._feed = BatchFeed(
            node=node,
            rooms=rooms,
            board=self._board,
            prefixes=self._prefixes,
        )
        self._claims = BatchClaims(
            node=node,
            rooms=rooms,
            files=files,
            sync=sync,
            board=self._board,
        )
        self._archive = BatchArchive(node=node, sync=sync)

    async def run(self) -> None:
        """Works until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._claims.run)
            await group.spawn(self._feed.run)
            await group.spawn(self._archive.run)
            await group.spawn(self._prefixes.run)

    async def on_config(self, changed: list[Stored]) -> None:
        """Stops the chunks of batches that are no longer open."""
        if not any(one.name.startswith(BATCH_PREFIX) for one in changed):
            return
        await self._claims.wake()
        still_open = {batch.batch_id for batch in self._board.open_batches()}
        for run in list(self._board.chunks.values()):
            if run.batch.batch_id not in still_open:
                await self._feed.stop_items(run)
                await curio.spawn(run.stop, daemon=True)

    async def leave(self) -> None:
        """Lets running items end, writes results and frees claims."""
        self._board.stopping = True
        for run in self._board.chunks.values():
            run.begin_stop()
        await self._feed.wait_idle()
        for claimed in list(self._board.chunks.values()):
            await claimed.stop()
            try:
                await claimed.release()
            except (StoreConflict, StoreUnavailable) as exc:
                log_event('claim_kept', chunk=claimed.name, detail=exc.detail)

    def claimed(self) -> int:
        """Counts the chunks claimed by this host."""
        return len(self._board.chunks)

    def running(self) -> int:
        """Counts the items in flight."""
        return self._feed.running()
