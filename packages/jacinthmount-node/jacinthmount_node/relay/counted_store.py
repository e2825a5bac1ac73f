"""Counts the calls to the object store, and logs them at intervals."""

from collections import Counter

import curio
from jacinthmount.ports import Listing, ObjectStore, Stored

from jacinthmount_node.logs import log_event
from jacinthmount_node.metrics import Metrics

__all__ = ('CountedStore',)

LOG_INTERVAL_S = 5.0


class CountedStore(ObjectStore):
    """Passes calls on to a store and counts them by kind and prefix."""

    __slots__ = ('_calls', '_metrics', '_store')

    def __init__(self, *, store: ObjectStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics
        self._calls: Counter[str] = Counter()

    async def run(self) -> None:
        """Logs the calls since the last line until cancelled."""
        while True:
            await curio.sleep(LOG_INTERVAL_S)
            if self._calls:
                log_event('store_calls', **self._calls)
                self._calls.clear()

    async def read(self, name: str) -> Stored | None:
        """See :meth:`~jacinthmount.ports.ObjectStore.read`."""
        self._count('read', name)
        return await self._store.read(name)

    async def write(self, name: str, body: str, expected: int) -> int:
        """See :meth:`~jacinthmount.ports.ObjectStore.write`."""
        self._count('write', name)
        return await self._store.write(name, body, expected)

    async def delete(self, name: str, expected: int) -> int:
        """See :meth:`~jacinthmount.ports.ObjectStore.delete`."""
        self._count('delete', name)
        return await self._store.delete(name, expected)

    async def list_names(self, prefix: str) -> Listing:
        """See :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        self._count('list', prefix)
        return await self._store.list_names(prefix)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """See :meth:`~jacinthmount.ports.ObjectStore.watch`."""
        self._count('watch', prefix)
        return await self._store.watch(prefix, after, wait_s)

    async def watch_page(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> Listing:
        """See :meth:`~jacinthmount.ports.ObjectStore.watch_page`."""
        self._count('watch', prefix)
        return await self._store.watch_page(prefix, after, wait_s)

    def _count(self, call: str, name: str) -> None:
        prefix = name.partition('/')[0].replace('-', '_')
        self._calls[f'{call}_{prefix}'] += 1
        self._metrics.platform_calls.labels(call).inc()
