"""Batch state of this host: claimed chunks and the order of work."""

import time

from jacinthmount.batches import (
    BATCH_OPEN,
    BATCH_PREFIX,
    BatchManifest,
    order_batches,
)
from jacinthmount.declarations import Account, Route
from jacinthmount.files import ROUTE_URL_PREFIX
from jacinthmount.records import parse_json

from jacinthmount_node.batches.batch_chunks import ChunkRun
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.node import Node

__all__ = ('BatchState',)

# Half-life of the work counted for an account in the order of batches.
SERVED_HALF_LIFE_S = 30.0


class BatchState:
    """State shared by the tasks that claim, schedule and archive batches."""

    __slots__ = ('_node', '_capacity', '_served', 'chunks', 'stopping')

    def __init__(self, *, node: Node, rooms: EngineCapacity) -> None:
        self._node = node
        self._capacity = rooms
        self._served: dict[str, float] = {}
        self.chunks: dict[str, ChunkRun] = {}
        self.stopping = False

    def open_batches(self) -> list[BatchManifest]:
        """Lists the open batches in processing order."""
        manifests = [
            parse_json(BatchManifest, stored.body or '')
            for stored in self._node.table.iter_prefix(BATCH_PREFIX)
        ]
        return self.ordered([
            batch for batch in manifests if batch.state == BATCH_OPEN
        ])

    def ordered(self, batches: list[BatchManifest]) -> list[BatchManifest]:
        """Sorts batches into processing order."""
        return order_batches(batches, self._served, time.time())

    def chunks_in_order(self) -> list[ChunkRun]:
        """Lists the chunks with items to start, in processing order."""
        ready = [
            run
            for run in self.chunks.values()
            if run.pending and run.may_start()
        ]
        batches = {run.batch.batch_id: run.batch for run in ready}
        ranks = {
            batch.batch_id: rank
            for rank, batch in enumerate(self.ordered(list(batches.values())))
        }
        return sorted(ready, key=lambda run: ranks[run.batch.batch_id])

    def record_served(self, account: str) -> None:
        """Counts a started item towards the share of its account."""
        declared = self._node.catalogue.find(Account, account)
        weight = declared.weight if declared else 1.0
        self._served[account] = self._served.get(account, 0.0) + 1 / weight

    def decay_served(self, elapsed_s: float) -> None:
        """Decays the work counted for accounts.

        :param elapsed_s: seconds by which the work has aged.
        """
        decay = 0.5 ** (elapsed_s / SERVED_HALF_LIFE_S)
        for account in self._served:
            self._served[account] *= decay

    def service_of(self, target: str) -> str:
        """Returns the service of a model or route path, or an empty string."""
        if not target.startswith(ROUTE_URL_PREFIX):
            return target
        name = target.removeprefix(ROUTE_URL_PREFIX)
        route = self._node.catalogue.find(Route, name)
        return route.service if route else ''

    def is_known(self, target: str) -> bool:
        """Returns whether a service is declared for a target."""
        return bool(self._node.catalogue.kind_of(self.service_of(target)))

    def can_run_any(self, targets: list[str]) -> bool:
        """Returns whether this host can finish items of any of the targets.

        Items of unknown targets are finished as failed.
        """
        services = {
            endpoint.service for endpoint in self._capacity.owned_endpoints()
        }
        return any(
            self.service_of(target) in services or not self.is_known(target)
            for target in targets
        )
