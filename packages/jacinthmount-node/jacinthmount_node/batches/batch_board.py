"""Chunks claimed by this host and what decides about them."""

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

__all__ = ('BatchBoard',)

SERVED_HALF_LIFE_S = 30.0


class BatchBoard:
    """State that the batch tasks of one host share."""

    __slots__ = ('_node', '_rooms', '_served', 'chunks', 'stopping')

    def __init__(self, *, node: Node, rooms: EngineCapacity) -> None:
        """Starts with nothing claimed."""
        self._node = node
        self._rooms = rooms
        self._served: dict[str, float] = {}
        self.chunks: dict[str, ChunkRun] = {}
        self.stopping = False

    def open_batches(self) -> list[BatchManifest]:
        """Lists the open batches in the order of work."""
        manifests = [
            parse_json(BatchManifest, one.body or '')
            for one in self._node.table.iter_prefix(BATCH_PREFIX)
        ]
        return self.ordered([
            batch for batch in manifests if batch.state == BATCH_OPEN
        ])

    def ordered(self, batches: list[BatchManifest]) -> list[BatchManifest]:
        """Orders batches for work."""
        return order_batches(batches, self._served, time.time())

    def chunks_in_order(self) -> list[ChunkRun]:
        """Lists the chunks that have items to start, in the order of work."""
        ready = [
            run
            for run in self.chunks.values()
            if run.pending and run.may_start()
        ]
        batches = {run.batch.batch_id: run.batch for run in ready}
        place = {
            batch.batch_id: rank
            for rank, batch in enumerate(self.ordered(list(batches.values())))
        }
        return sorted(ready, key=lambda run: place[run.batch.batch_id])

    def note_served(self, account: str) -> None:
        """Counts an item started for an account."""
        found = self._node.catalogue.find(Account, account)
        weight = found.weight if found else 1.0
        self._served[account] = self._served.get(account, 0.0) + 1 / weight

    def decay_served(self, elapsed_s: float) -> None:
        """Forgets work done long ago."""
        decay = 0.5 ** (elapsed_s / SERVED_HALF_LIFE_S)
        for account in self._served:
            self._served[account] *= decay

    def service_of(self, target: str) -> str:
        """Names the service behind a model or a route path."""
        if not target.startswith(ROUTE_URL_PREFIX):
            return target
        name = target.removeprefix(ROUTE_URL_PREFIX)
        route = self._node.catalogue.find(Route, name)
        return route.service if route else ''

    def is_known(self, target: str) -> bool:
        """Tells whether any service is declared for a target."""
        return bool(self._node.catalogue.kind_of(self.service_of(target)))

    def runs_here(self, targets: list[str]) -> bool:
        """Tells whether this host could end any item with these targets."""
        services = {one.service for one in self._rooms.owned_endpoints()}
        return any(
            self.service_of(target) in services or not self.is_known(target)
            for target in targets
        )
