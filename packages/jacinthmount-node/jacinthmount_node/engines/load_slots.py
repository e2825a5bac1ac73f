"""Slots of a data centre for engines that take weights from the store."""

from jacinthmount.declarations import DataCentre
from jacinthmount.errors import StoreConflict
from jacinthmount.orders import LoadSlot, slot_name, slot_time_s
from jacinthmount.ports import ABSENT, Stored, WeightStore
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.node import Node

__all__ = ('HeldSlot', 'LoadSlots')

RENEW_INTERVAL_S = 15.0
SLOT_LEASE_S = 60.0


class HeldSlot:
    """A slot that this host holds for an engine."""

    __slots__ = ('name', 'renewed_at', 'until', 'version')

    def __init__(
        self,
        *,
        name: str,
        version: int,
        renewed_at: float,
        until: float,
    ) -> None:
        """Keeps the slot; times are monotonic seconds.

        :param until: time before which it is not given back.
        """
        self.name = name
        self.version = version
        self.renewed_at = renewed_at
        self.until = until


class LoadSlots:
    """Takes, renews and frees slots; a crashed holder's one runs out."""

    __slots__ = ('_node', '_seen', '_weights')

    def __init__(self, *, node: Node, weights: WeightStore | None) -> None:
        """Takes the store whose rate the slots share out.

        :param weights: None where sizes are not known.
        """
        self._node = node
        self._weights = weights
        self._seen: dict[str, tuple[int, float]] = {}

    async def take(
        self,
        engine: str,
        weights: str,
        version: str,
    ) -> HeldSlot | None:
        """Takes a slot for an engine, or None where all are in use.

        :raises NotFound: the store does not hold the weights.
        :raises StoreUnavailable: platform or store did not answer.
        """
        node = self._node
        limits = node.catalogue.find(DataCentre, node.data_centre)
        if limits is None:
            return None
        size = 0
        if self._weights is not None:
            size = await self._weights.read_size(weights, version)
        rate = limits.load_rate_mib_per_s / limits.loads
        for index in range(limits.loads):
            name = slot_name(node.data_centre, index)
            written = await self._take_one(name, engine)
            if written is not None:
                now = node.now()
                return HeldSlot(
                    name=name,
                    version=written,
                    renewed_at=now,
                    until=now + slot_time_s(size, rate),
                )
        return None

    async def renew(self, engine: str, held: HeldSlot) -> bool:
        """Renews a slot in time.

        :returns: whether it is still held.
        """
        now = self._node.now()
        if now - held.renewed_at < RENEW_INTERVAL_S:
            return True
        try:
            held.version = await self._write(held.name, engine, held.version)
        except StoreConflict:
            return False
        held.renewed_at = now
        return True

    async def free(self, held: HeldSlot) -> bool:
        """Gives a slot back once its time is over.

        :returns: whether it is no longer held.
        """
        if self._node.now() < held.until:
            return False
        try:
            await self._node.store.delete(held.name, held.version)
        except StoreConflict:
            return True
        return True

    async def _take_one(self, name: str, engine: str) -> int | None:
        found = await self._node.store.read(name)
        if found is not None and not self._is_free(found, engine):
            return None
        try:
            return await self._write(
                name,
                engine,
                found.version if found else ABSENT,
            )
        except StoreConflict:
            return None

    def _is_free(self, found: Stored, engine: str) -> bool:
        # The engine's earlier holder is gone, or any holder stood still.
        if parse_json(LoadSlot, found.body or '').engine == engine:
            return True
        now = self._node.now()
        version, at = self._seen.get(found.name, (found.version, now))
        if version != found.version:
            at = now
        self._seen[found.name] = (found.version, at)
        return now - at >= SLOT_LEASE_S

    async def _write(self, name: str, engine: str, expected: int) -> int:
        slot = LoadSlot(
            engine=engine,
            holder=self._node.host,
            incarnation=self._node.incarnation,
            write_id=new_write_id(),
        )
        return await write_with_retry(
            self._node.store,
            name,
            serialize_json(slot),
            expected,
        )
