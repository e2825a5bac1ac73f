"""Writes keys to the platform that were withdrawn on the hosts."""

import contextlib
from collections.abc import Awaitable, Callable

import curio
from jacinthmount.errors import StoreConflict, StoreUnavailable
from jacinthmount.keys import KEY_PREFIX, KeyRecord
from jacinthmount.ports import Stored
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.node import Node

__all__ = ('WithdrawnKeys',)

WRITE_INTERVAL_S = 2.0


class WithdrawnKeys:
    """Writes what was withdrawn while the platform was unavailable.

    :param is_watcher: whether this host writes for the data centre.
    :param publish: gets each record that was written.
    """

    __slots__ = ('_is_watcher', '_node', '_publish')

    def __init__(
        self,
        *,
        node: Node,
        is_watcher: Callable[[], bool],
        publish: Callable[[Stored], Awaitable[None]],
    ) -> None:
        self._is_watcher = is_watcher
        self._node = node
        self._publish = publish

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await curio.sleep(WRITE_INTERVAL_S)
            if not self._node.loaded or not self._is_watcher():
                continue
            for key_id in self._node.keyring.withdrawn_ids():
                with contextlib.suppress(StoreUnavailable, StoreConflict):
                    await self._write(key_id)

    async def _write(self, key_id: str) -> None:
        name = f'{KEY_PREFIX}{key_id}'
        known = self._node.table.read(name)
        if known is None or known.body is None:
            return
        record = parse_json(KeyRecord, known.body)
        if record.withdrawn:
            return
        body = serialize_json(
            replaced(record, withdrawn=True, write_id=new_write_id()),
        )
        version = await write_with_retry(
            self._node.store,
            name,
            body,
            known.version,
        )
        await self._publish(Stored(name=name, version=version, body=body))
