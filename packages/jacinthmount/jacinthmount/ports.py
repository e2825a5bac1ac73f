"""Interfaces to external systems: object API, engines, platform and clock.

The core depends on these classes only; adapters implement them over HTTP and in
memory.
"""

from collections.abc import AsyncIterator
from typing import Any

from jacinthmount.dispatch import Stage
from jacinthmount.records import Record

__all__ = (
    'ABSENT',
    'FLEET_PREFIX',
    'Backend',
    'BackendCall',
    'BackendExchange',
    'CACHE_CLEARED',
    'CACHE_EVICTED',
    'CACHE_STORED',
    'CacheEvent',
    'CacheEvents',
    'CachePage',
    'Clock',
    'EngineControl',
    'EngineLoad',
    'EngineOrder',
    'EngineState',
    'HostList',
    'HostState',
    'Listing',
    'LoadReports',
    'ObjectStore',
    'Stored',
    'StreamEvent',
    'WeightStore',
)

# Expected version for the creation of an object.
ABSENT = 0
FLEET_PREFIX = 'fleet/'
MAX_VALUE_BYTES = 1_000_000
CACHE_STORED = 'stored'
CACHE_EVICTED = 'evicted'
CACHE_CLEARED = 'cleared'


class Stored(Record):
    """A version of an object in the object API; ``body`` None: deleted."""

    __slots__ = ('name', 'version', 'body')

    name: str
    version: int
    body: str | None


class Listing(Record):
    """Objects in name order, and the store revision at which they were read."""

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
    """A load report of one engine; ``age_s`` is its age in seconds."""

    __slots__ = ('running', 'waiting', 'slots', 'age_s')

    running: int
    waiting: int
    slots: int
    age_s: float


class ObjectStore:
    """Object API with versions, conditional writes and watches."""

    async def read(self, name: str) -> Stored | None:
        """Returns an object, or None if it does not exist.

        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError

    async def read_immutable(self, name: str) -> Stored | None:
        """Reads an object whose content never changes, possibly from a cache.

        :raises StoreUnavailable: no answer.
        """
        return await self.read(name)

    async def write(self, name: str, body: str, expected: int) -> int:
        """Writes an object if it has the expected version.

        :param expected: the current version, or ``ABSENT`` to create it.
        :returns: the new version.
        :raises StoreConflict: it has another version; nothing is written.
        :raises StoreUnavailable: no answer; the write may take effect.
        :raises ValueTooLarge: the body exceeds ``MAX_VALUE_BYTES``.
        """
        raise NotImplementedError

    async def delete(self, name: str, expected: int) -> int:
        """Deletes an object if it has the expected version; see ``write``."""
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
        """Waits for changes after a version; deletions have no body.

        :param after: the version.
        :param wait_s: longest time to wait for the first change, in seconds.
        :raises HistoryGone: the store no longer has the changes since then.
        """
        raise NotImplementedError

    async def watch_page(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> Listing:
        """Waits like ``watch``; ``revision`` is the next value of ``after``."""
        changed = await self.watch(prefix, after, wait_s)
        newest = max((change.version for change in changed), default=after)
        return Listing(objects=changed, revision=newest)


class HostList:
    """The platform's list of live and leaving hosts, which lags behind."""

    async def read_hosts(self) -> list[HostState]:
        """Returns the listed hosts.

        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError


class WeightStore:
    """Store of model weights, which limits the rate of reads."""

    async def read_size(self, weights: str, version: str) -> int:
        """Returns the size of a version of weights in bytes.

        :raises NotFound: the store does not have it.
        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError


class EngineState(Record):
    """What an engine runs.

    ``fencing`` is the highest fencing number of the orders that it accepted.
    ``loading`` means that it is not ready yet.
    """

    __slots__ = (
        'weights',
        'version',
        'adapters',
        'role',
        'loading',
        'fencing',
    )

    weights: str
    version: str
    adapters: list[str]
    role: str
    loading: bool
    fencing: int


class EngineOrder(Record):
    """An instruction what an engine has to run; empty fields change nothing."""

    __slots__ = ('weights', 'version', 'adapters', 'role', 'fencing')

    weights: str
    version: str
    adapters: list[str]
    role: str
    fencing: int


class EngineControl:
    """Sends orders to engines and reads their state."""

    async def read_state(self, address: str) -> EngineState:
        """Returns what an engine runs.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError

    async def send_order(self, address: str, order: EngineOrder) -> None:
        """Sends an order, which the engine executes asynchronously.

        :raises OrderFenced: the engine accepted a higher fencing number.
        :raises PeerUnavailable: no answer; the order may still take effect.
        """
        raise NotImplementedError


class LoadReports:
    """Source of the load reports of engines."""

    async def read_load(self, address: str) -> EngineLoad:
        """Returns the latest report of one engine.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError


class CacheEvent(Record):
    """A change of an engine's prefix cache; ``age_s`` is in seconds."""

    __slots__ = ('kind', 'prefix', 'age_s')

    kind: str
    prefix: str
    age_s: float


class CachePage(Record):
    """Cache events after a number.

    ``oldest`` and ``newest`` are the numbers of the first and last event that
    the engine still has. Events were lost if ``oldest`` is not the next number.
    """

    __slots__ = ('events', 'oldest', 'newest')

    events: list[CacheEvent]
    oldest: int
    newest: int


class CacheEvents:
    """Source of the cache events of engines, with delays and gaps."""

    async def read_events(self, address: str, after: int) -> CachePage:
        """Returns the events after a number; 0 requests all of them.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError


class BackendCall(Record):
    """One request to an endpoint.

    ``headers`` contains only headers that may be forwarded to the endpoint.
    ``offset`` is the number of characters of a streamed answer that were
    already received.
    """

    __slots__ = (
        'method',
        'target',
        'headers',
        'body',
        'request_id',
        'account',
        'offset',
    )

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    account: str
    offset: int


class StreamEvent(Record):
    """One event of a streamed answer: as sent, and the text that it adds."""

    __slots__ = ('payload', 'text', 'finished')

    payload: str
    text: str
    finished: bool


class BackendExchange:
    """One call to an endpoint and its answer.

    ``stage`` is the progress of the call, also after an error. ``usage`` holds
    the token counts that a streamed answer reported, ``version`` the software
    version that the endpoint named, or an empty string. The reader sets
    ``held_bytes`` to the bytes of the events that it keeps.
    """

    __slots__ = (
        'headers',
        'held_bytes',
        'stage',
        'status',
        'usage',
        'version',
    )

    def __init__(self) -> None:
        self.stage = Stage.CONNECTING
        self.status = 0
        self.headers: dict[str, str] = {}
        self.usage: dict[str, Any] | None = None
        self.version = ''
        self.held_bytes = 0

    async def send(self, call: BackendCall) -> None:
        """Sends a call and reads the status and headers of the answer.

        :raises EndpointLost: the connection failed.
        :raises EndpointFailed: the endpoint failed, or the answer belongs to
            another call.
        """
        raise NotImplementedError

    async def read_body(self) -> bytes:
        """Reads the whole body of the answer.

        :raises EndpointLost: the answer is incomplete.
        """
        raise NotImplementedError

    def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a streamed answer up to its end marker.

        :raises EndpointLost: the connection failed.
        :raises EndpointFailed: the stream is incomplete or reported an error.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Closes the exchange; a request that is still running is cancelled."""
        raise NotImplementedError


class Backend:
    """Client for model engines or plain services."""

    async def open(
        self, address: str, *, no_reuse: bool, request_id: str = ''
    ) -> BackendExchange:
        """Opens an exchange.

        :param no_reuse: open a new connection, since an idle one may be lost
            after the request was sent.
        :param request_id: id of the request, for which no connection is used
            that has carried it before; empty if it has none.
        :raises EndpointLost: the endpoint is unreachable.
        """
        raise NotImplementedError

    async def release(self, exchange: BackendExchange) -> None:
        """Takes back a completed exchange to reuse its connection."""
        raise NotImplementedError


class Clock:
    """Monotonic time in seconds."""

    def now(self) -> float:
        """Returns the time."""
        raise NotImplementedError

    def boot_now(self) -> float:
        """Returns a time that also passes while the machine is suspended."""
        return self.now()
