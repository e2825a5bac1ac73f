"""Object store in memory and definite conditional writes."""

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

WRITE_TRIES = 3


class MemoryStore(ObjectStore):
    """Object store in memory with one version counter for all objects."""

    __slots__ = ('_changes', '_current', 'revision')

    def __init__(self) -> None:
        """Starts empty."""
        self._current: dict[str, Stored] = {}
        self._changes: dict[str, Stored] = {}
        self.revision = 0

    async def read(self, name: str) -> Stored | None:
        """See the port."""
        return self._current.get(name)

    async def write(self, name: str, body: str, expected: int) -> int:
        """See the port."""
        if len(body.encode()) > MAX_VALUE_BYTES:
            raise ValueTooLarge(detail=name)
        self._expect(name, expected)
        self._current[name] = self._change(name, body)
        return self.revision

    async def delete(self, name: str, expected: int) -> int:
        """See the port."""
        self._expect(name, expected)
        self._current.pop(name, None)
        self._change(name, None)
        return self.revision

    async def list_names(self, prefix: str) -> Listing:
        """See the port."""
        found = sorted(
            (
                one
                for one in self._current.values()
                if one.name.startswith(prefix)
            ),
            key=lambda one: one.name,
        )
        return Listing(objects=found, revision=self.revision)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """Returns the changes so far without waiting."""
        found = [
            one
            for one in self._changes.values()
            if one.version > after and one.name.startswith(prefix)
        ]
        return sorted(found, key=lambda one: one.version)

    def _change(self, name: str, body: str | None) -> Stored:
        self.revision += 1
        stored = Stored(name=name, version=self.revision, body=body)
        self._changes[name] = stored
        return stored

    def _expect(self, name: str, expected: int) -> None:
        found = self._current.get(name)
        version = found.version if found else ABSENT
        if version != expected:
            raise StoreConflict(detail=name, version=version)


def new_write_id() -> str:
    """Makes a unique id that marks the body of one conditional write."""
    return uuid.uuid4().hex


async def write_with_retry(
    store: ObjectStore,
    name: str,
    body: str,
    expected: int,
) -> int:
    """Writes conditionally and settles answers lost on the way.

    The same write is repeated with the same expected version, so that at most
    one of the repeats takes effect. The body must hold a unique write id.

    :returns: the version written.
    :raises StoreConflict: another writer's body is in place.
    :raises StoreRefused: every attempt was refused; nothing is written.
    :raises StoreUnavailable: still no answer; the write may take effect.
    """
    failures: list[StoreUnavailable] = []
    for _ in range(WRITE_TRIES):
        try:
            return await store.write(name, body, expected)
        except StoreConflict:
            if not failures:
                raise
            return await _settle(store, name, body)
        except StoreUnavailable as exc:
            failures.append(exc)
    lost = [exc for exc in failures if not isinstance(exc, StoreRefused)]
    raise (lost or failures)[0]


async def _settle(store: ObjectStore, name: str, body: str) -> int:
    found = await store.read(name)
    if found is not None and found.body == body:
        return found.version
    version = found.version if found else ABSENT
    raise StoreConflict(detail=name, version=version)
