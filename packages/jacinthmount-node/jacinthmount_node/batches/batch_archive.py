"""Moves ended batches out of the configuration that all hosts replicate."""

import contextlib
import time

import curio
from jacinthmount.batches import BATCH_PREFIX, BatchManifest, ended_name
from jacinthmount.errors import StoreConflict, StoreUnavailable
from jacinthmount.members import rank_hosts
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import parse_json
from jacinthmount.stores import write_with_retry

from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.node import Node

__all__ = ('BatchArchive',)

ARCHIVE_AFTER_S = 30.0
ARCHIVE_INTERVAL_S = 10.0


class BatchArchive:
    """Moves manifests of ended batches to the archive prefix."""

    __slots__ = ('_node', '_sync')

    def __init__(self, *, node: Node, sync: ConfigSync) -> None:
        self._node = node
        self._sync = sync

    async def run(self) -> None:
        """Archives until cancelled."""
        while True:
            await curio.sleep(ARCHIVE_INTERVAL_S)
            for stored in list(self._node.table.iter_prefix(BATCH_PREFIX)):
                with contextlib.suppress(StoreUnavailable, StoreConflict):
                    await self._archive(stored)

    async def _archive(self, stored: Stored) -> None:
        manifest = parse_json(BatchManifest, stored.body or '')
        ended_s = manifest.ended_s
        if ended_s is None or time.time() - ended_s < ARCHIVE_AFTER_S:
            return
        hosts = self._node.live_hosts()
        ranked = rank_hosts(manifest.batch_id, hosts)
        if ranked[:1] != [self._node.host]:
            return
        name = ended_name(manifest.account, manifest.batch_id)
        if await self._node.store.read(name) is None:
            await write_with_retry(
                self._node.store,
                name,
                stored.body or '',
                ABSENT,
            )
        version = await self._node.store.delete(stored.name, stored.version)
        await self._sync.apply_objects(
            [Stored(name=stored.name, version=version, body=None)],
            push=True,
        )
