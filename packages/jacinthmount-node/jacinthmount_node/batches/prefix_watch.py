"""Tracks the prefix caches of the engines that run this host's items."""

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import PeerUnavailable
from jacinthmount.ports import CacheEvents
from jacinthmount.prefixes import PrefixTracker

from jacinthmount_node.batches.batch_state import BatchState
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.node import Node

__all__ = ('PrefixWatch',)

WATCH_INTERVAL_S = 1.0


class PrefixWatch:
    """Polls cache events of each engine while there are claimed chunks.

    :param events: adapter that reads cache events from engines.
    """

    __slots__ = ('_batch_state', '_trackers', '_events', '_node', '_capacity')

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        batch_state: BatchState,
        events: CacheEvents,
    ) -> None:
        self._node = node
        self._capacity = rooms
        self._batch_state = batch_state
        self._events = events
        self._trackers: dict[str, PrefixTracker] = {}

    async def run(self) -> None:
        """Polls events until cancelled."""
        while True:
            await curio.sleep(WATCH_INTERVAL_S)
            if not self._batch_state.chunks:
                self._trackers.clear()
                continue
            for endpoint in self._capacity.owned_endpoints():
                if self._node.catalogue.kind_of(endpoint.service) == 'model':
                    await curio.spawn(self._read, endpoint, daemon=True)

    def tracker(self, engine: str) -> PrefixTracker:
        """Returns the record of the prefixes that an engine has cached."""
        return self._trackers.setdefault(engine, PrefixTracker())

    async def _read(self, endpoint: Endpoint) -> None:
        tracker = self.tracker(endpoint.name)
        try:
            page = await self._events.read_events(
                endpoint.address, tracker.after
            )
        except PeerUnavailable:
            # Without events, the prefixes sent to the engine are the best
            # estimate.
            return
        tracker.on_page(page, self._node.now())
