"""Load slots, which limit how many engines of a data centre load weights."""

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
    """A load slot that this host holds for an engine."""

    __slots__ = (
        'held_until',
        'name',
        'renewed_at',
        'version',
    )

    def __init__(
        self,
        *,
        name: str,
        version: int,
        renewed_at: float,
        held_until: float,
    ) -> None:
        """Initialises the slot; times are monotonic seconds.

        :param held_until: time before which the slot is not freed.
        """
        self.name = name
        self.version = version
        self.renewed_at = renewed_at
        self.held_until = held_until


class LoadSlots:
    """Takes, renews and frees load slots.

    The slot of a crashed holder becomes free when its lease expires.
    """

    __slots__ = ('_node', '_unchanged_since', '_weights')

    def __init__(self, *, node: Node, weights: WeightStore | None) -> None:
        """Initialises the slots of the weight store.

        :param weights: store to read sizes from, None if there is none.
        """
        self._node = node
        self._weights = weights
        self._unchanged_since: dict[str, tuple[int, float]] = {}

    async def take(
        self,
        engine: str,
        weights: str,
        version: str,
    ) -> HeldSlot | None:
        """Takes a slot for an engine; returns None if all are in use.

        :raises NotFound: the store does not hold the weights.
        :raises StoreUnavailable: the platform or the store did not respond.
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
            slot_version = await self._try_take(name, engine)
            if slot_version is not None:
                now = node.now()
                return HeldSlot(
                    name=name,
                    version=slot_version,
                    renewed_at=now,
                    held_until=now + slot_time_s(size, rate),
                )
        return None

    async def renew(self, engine: str, held: HeldSlot) -> bool:
        """Renews a slot if it is due.

        :returns: whether the slot is still held.
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
        """Frees a slot once its minimum time is over.

        :returns: whether the slot is no longer held.
        """
        if self._node.now() < held.held_until:
            return False
        try:
            await self._node.store.delete(held.name, held.version)
        except StoreConflict:
            return True
        return True

    async def _try_take(self, name: str, engine: str) -> int | None:
        stored = await self._node.store.read(name)
        if stored is not None and not self._is_free(stored, engine):
            return None
        try:
            return await self._write(
                name,
                engine,
                stored.version if stored else ABSENT,
            )
        except StoreConflict:
            return None

    def _is_free(self, stored: Stored, engine: str) -> bool:
        # Free if it was taken for the same engine, whose earlier holder is
        # gone, or if it was not renewed for the time of a lease.
        if parse_json(LoadSlot, stored.body or '').engine == engine:
            return True
        now = self._node.now()
        version, since = self._unchanged_since.get(
            stored.name, (stored.version, now)
        )
        if version != stored.version:
            since = now
        self._unchanged_since[stored.name] = (stored.version, since)
        return now - since >= SLOT_LEASE_S

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
