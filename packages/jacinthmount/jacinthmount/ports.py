"""Ports to everything outside the system."""

from jacinthmount.records import Record

__all__ = (
    'ABSENT',
    'FLEET_PREFIX',
    'Clock',
    'EngineLoad',
    'HostList',
    'HostState',
    'Listing',
    'LoadReports',
    'ObjectStore',
    'Stored',
    'WeightStore',
)

ABSENT = 0
FLEET_PREFIX = 'fleet/'
MAX_VALUE_BYTES = 1_000_000


class Stored(Record):
    """An object of the object API; ``body`` is None after a deletion."""

    __slots__ = ('name', 'version', 'body')

    name: str
    version: int
    body: str | None


class Listing(Record):
    """Objects in name order and the revision at which they were read."""

    __slots__ = ('objects', 'revision')

    objects: list[Stored]
    revision: int


class HostState(Record):
    """A host in the platform's host list."""

    __slots__ = ('host', 'data_centre', 'leaving')

    host: str
    data_centre: str
    leaving: bool


class EngineLoad(Record):
    """A load report of one engine; ``age_s`` is its lag in seconds."""

    __slots__ = ('running', 'waiting', 'slots', 'age_s')

    running: int
    waiting: int
    slots: int
    age_s: float


class ObjectStore:
    """Object API: versions, conditional updates and watches."""

    async def read(self, name: str) -> Stored | None:
        """Reads one object, or None where it does not exist.

        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError

    async def write(self, name: str, body: str, expected: int) -> int:
        """Writes an object if its version is still the expected one.

        :param expected: version, or ``ABSENT`` to create.
        :returns: the new version.
        :raises StoreConflict: another version was found; nothing is written.
        :raises StoreUnavailable: no answer; the write may take effect.
        :raises ValueTooLarge: the body is over a megabyte.
        """
        raise NotImplementedError

    async def delete(self, name: str, expected: int) -> int:
        """Deletes an object under the same conditions as a write."""
        raise NotImplementedError

    async def list_names(self, prefix: str) -> Listing:
        """Lists the objects whose names start with a prefix, in name order."""
        raise NotImplementedError

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """Waits for changes later than a version; deletions have no body."""
        raise NotImplementedError


class HostList:
    """The platform's lagging list of live and leaving hosts."""

    async def read_hosts(self) -> list[HostState]:
        """Reads the list.

        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError


class WeightStore:
    """Rate-limited store of model weights."""

    async def read_size(self, model: str) -> int:
        """Reads the size of a model's weights in bytes."""
        raise NotImplementedError


class LoadReports:
    """Load reports of engines."""

    async def read_load(self, address: str) -> EngineLoad:
        """Reads the newest report of one engine.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError


class Clock:
    """Monotonic time in seconds."""

    def now(self) -> float:
        """Reads the time."""
        raise NotImplementedError
