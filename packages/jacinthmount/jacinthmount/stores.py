"""In-memory object store, and conditional writes with retries."""

import uuid
from typing import TypeVar

from jacinthmount.errors import (
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
    ValueTooLarge,
)
from jacinthmount.ports import (
    ABSENT,
    MAX_VALUE_BYTES,
    Listing,
    ObjectStore,
    Stored,
)

__all__ = ('MemoryStore', 'new_write_id', 'write_with_retry')

WriterT = TypeVar('WriterT')

WRITE_ATTEMPTS = 3


class MemoryStore(ObjectStore):
    """In-memory object store with one version counter for all objects."""

    __slots__ = ('_changes', '_current', 'revision')

    def __init__(self) -> None:
        self._current: dict[str, Stored] = {}
        self._changes: dict[str, Stored] = {}
        self.revision = 0

    async def read(self, name: str) -> Stored | None:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.read`."""
        return self._current.get(name)

    async def write(self, name: str, body: str, expected: int) -> int:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.write`."""
        if len(body.encode()) > MAX_VALUE_BYTES:
            raise ValueTooLarge(detail=name)
        self._check_version(name, expected)
        self._current[name] = self._change(name, body)
        return self.revision

    async def delete(self, name: str, expected: int) -> int:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.delete`."""
        self._check_version(name, expected)
        self._current.pop(name, None)
        self._change(name, None)
        return self.revision

    async def list_names(self, prefix: str) -> Listing:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        matching = sorted(
            (
                stored
                for stored in self._current.values()
                if stored.name.startswith(prefix)
            ),
            key=lambda stored: stored.name,
        )
        return Listing(objects=matching, revision=self.revision)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """Returns the changes after a version without waiting."""
        changes = [
            change
            for change in self._changes.values()
            if change.version > after and change.name.startswith(prefix)
        ]
        return sorted(changes, key=lambda change: change.version)

    def _change(self, name: str, body: str | None) -> Stored:
        self.revision += 1
        stored = Stored(name=name, version=self.revision, body=body)
        self._changes[name] = stored
        return stored

    def _check_version(self, name: str, expected: int) -> None:
        found = self._current.get(name)
        version = found.version if found else ABSENT
        if version != expected:
            raise StoreConflict(detail=name, version=version)


def new_write_id() -> str:
    """Returns a unique id that identifies the body of a conditional write."""
    return uuid.uuid4().hex


async def write_with_retry(
    store: ObjectStore,
    name: str,
    body: str,
    expected: int,
) -> int:
    """Writes conditionally and retries if the outcome is unknown.

    Each retry expects the same version, so at most one attempt takes effect.
    The body must contain a unique write id: a retry that conflicts compares
    the stored body with its own to find out whether an earlier attempt
    succeeded.

    :returns: the written version.
    :raises StoreConflict: the object has the body of another writer.
    :raises StoreRefused: every attempt was rejected; nothing is written.
    :raises StoreUnavailable: no answer to any attempt; the write may still
        take effect.
    """
    failures: list[StoreUnavailable] = []
    for _ in range(WRITE_ATTEMPTS):
        try:
            return await store.write(name, body, expected)
        except StoreConflict:
            if not failures:
                raise
            return await _resolve_conflict(store, name, body)
        except StoreUnavailable as exc:
            failures.append(exc)
    lost = [exc for exc in failures if not isinstance(exc, StoreRefused)]
    raise (lost or failures)[0]


async def _resolve_conflict(store: ObjectStore, name: str, body: str) -> int:
    found = await store.read(name)
    if found is not None and found.body == body:
        return found.version
    version = found.version if found else ABSENT
    raise StoreConflict(detail=name, version=version)
