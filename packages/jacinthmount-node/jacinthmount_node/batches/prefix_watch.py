"""Cache events of the engines on which this host runs batch items."""

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import PeerUnavailable
from jacinthmount.ports import CacheEvents
from jacinthmount.prefixes import PrefixTracker

from jacinthmount_node.batches.batch_board import BatchBoard
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.node import Node

__all__ = ('PrefixWatch',)

WATCH_INTERVAL_S = 1.0


class PrefixWatch:
    """Keeps one book an engine while there are batch items to run."""

    __slots__ = ('_board', '_books', '_events', '_node', '_rooms')

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        board: BatchBoard,
        events: CacheEvents,
    ) -> None:
        """Takes the port to read cache events from."""
        self._node = node
        self._rooms = rooms
        self._board = board
        self._events = events
        self._books: dict[str, PrefixTracker] = {}

    async def run(self) -> None:
        """Reads events until cancelled."""
        while True:
            await curio.sleep(WATCH_INTERVAL_S)
            if not self._board.chunks:
                self._books.clear()
                continue
            for endpoint in self._rooms.owned_endpoints():
                if self._node.catalogue.kind_of(endpoint.service) == 'model':
                    await curio.spawn(self._read, endpoint, daemon=True)

    def book(self, engine: str) -> PrefixTracker:
        """Finds the book of an engine."""
        return self._books.setdefault(engine, PrefixTracker())

    async def _read(self, endpoint: Endpoint) -> None:
        book = self.book(endpoint.name)
        try:
            page = await self._events.read_events(endpoint.address, book.after)
        except PeerUnavailable:
            # Without events what was sent is the best guess there is.
            return
        book.on_page(page, self._node.now())
