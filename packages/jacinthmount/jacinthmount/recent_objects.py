"""Cache of immutable objects, for readers on other hosts."""

from collections import OrderedDict

from jacinthmount.ports import Stored

__all__ = ('RecentObjects',)


class RecentObjects:
    """Least recently used cache of objects, limited in bytes."""

    __slots__ = ('_bytes', '_limit_bytes', '_objects')

    def __init__(self, *, limit_bytes: int) -> None:
        self._objects: OrderedDict[str, Stored] = OrderedDict()
        self._limit_bytes = limit_bytes
        self._bytes = 0

    def put(self, stored: Stored) -> None:
        """Adds an object and evicts the least recently used ones."""
        self.drop(stored.name)
        self._objects[stored.name] = stored
        self._bytes += _size(stored)
        while self._bytes > self._limit_bytes:
            self.drop(next(iter(self._objects)))

    def find(self, name: str) -> Stored | None:
        """Finds a cached object."""
        stored = self._objects.get(name)
        if stored is not None:
            self._objects.move_to_end(name)
        return stored

    def drop(self, name: str) -> None:
        """Removes an object."""
        stored = self._objects.pop(name, None)
        if stored is not None:
            self._bytes -= _size(stored)


def _size(stored: Stored) -> int:
    return len(stored.name) + len(stored.body or '')
