"""Ports to everything outside the system."""

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

ABSENT = 0
FLEET_PREFIX = 'fleet/'
MAX_VALUE_BYTES = 1_000_000
CACHE_STORED = 'stored'
CACHE_EVICTED = 'evicted'
CACHE_CLEARED = 'cleared'


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

    async def read_immutable(self, name: str) -> Stored | None:
        """Reads an object whose content does not change, also from a copy.

        :raises StoreUnavailable: no answer.
        """
        return await self.read(name)

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
        """Waits for changes later than a version; deletions have no body.

        :raises HistoryGone: changes after that version are no longer known.
        """
        raise NotImplementedError

    async def watch_page(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> Listing:
        """Waits like ``watch`` and tells the version to go on from."""
        changed = await self.watch(prefix, after, wait_s)
        newest = max((one.version for one in changed), default=after)
        return Listing(objects=changed, revision=newest)


class HostList:
    """The platform's lagging list of live and leaving hosts."""

    async def read_hosts(self) -> list[HostState]:
        """Reads the list.

        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError


class WeightStore:
    """Rate-limited store of model weights."""

    async def read_size(self, weights: str, version: str) -> int:
        """Reads the size of a version of weights in bytes.

        :raises NotFound: the store does not hold it.
        :raises StoreUnavailable: no answer.
        """
        raise NotImplementedError


class EngineState(Record):
    """What an engine runs.

    ``fencing`` is the highest number of an order it took; ``loading`` tells
    that it is not ready yet.
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
    """Tells an engine what to run; an empty field stays as it is."""

    __slots__ = ('weights', 'version', 'adapters', 'role', 'fencing')

    weights: str
    version: str
    adapters: list[str]
    role: str
    fencing: int


class EngineControl:
    """Orders to engines and what they run."""

    async def read_state(self, address: str) -> EngineState:
        """Reads what an engine runs.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError

    async def send_order(self, address: str, order: EngineOrder) -> None:
        """Sends an order; the engine carries it out in its own time.

        :raises OrderFenced: the engine took an order with a higher number.
        :raises PeerUnavailable: no answer; the order may still take effect.
        """
        raise NotImplementedError


class LoadReports:
    """Load reports of engines."""

    async def read_load(self, address: str) -> EngineLoad:
        """Reads the newest report of one engine.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError


class CacheEvent(Record):
    """A change of an engine's prefix cache, ``age_s`` seconds ago."""

    __slots__ = ('kind', 'prefix', 'age_s')

    kind: str
    prefix: str
    age_s: float


class CachePage(Record):
    """Cache events after a number.

    ``oldest`` and ``newest`` are the numbers of the events that the engine
    still has; a gap shows by an oldest one that is not the next.
    """

    __slots__ = ('events', 'oldest', 'newest')

    events: list[CacheEvent]
    oldest: int
    newest: int


class CacheEvents:
    """Cache events of engines, which come late and with gaps."""

    async def read_events(self, address: str, after: int) -> CachePage:
        """Reads the events after a number, 0 for all there are.

        :raises PeerUnavailable: no answer.
        """
        raise NotImplementedError


class BackendCall(Record):
    """One request to an endpoint.

    ``headers`` are those that the endpoint may see. ``offset`` counts the
    characters of a streamed answer that are already known.
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
    """One event of a streamed answer, as sent and as the text it adds."""

    __slots__ = ('payload', 'text', 'finished')

    payload: str
    text: str
    finished: bool


class BackendExchange:
    """One call to an endpoint and its answer.

    ``stage`` tells how far it came, also after an error. ``usage`` is what a
    streamed answer said of its tokens.
    """

    __slots__ = ('headers', 'stage', 'status', 'usage')

    def __init__(self) -> None:
        """Starts before anything was sent."""
        self.stage = Stage.CONNECTING
        self.status = 0
        self.headers: dict[str, str] = {}
        self.usage: dict[str, Any] | None = None

    async def send(self, call: BackendCall) -> None:
        """Sends a call and reads status and headers of its answer.

        :raises EndpointLost: the connection failed.
        :raises EndpointFailed: the endpoint failed, or answered another call.
        """
        raise NotImplementedError

    async def read_body(self) -> bytes:
        """Reads the whole body of the answer.

        :raises EndpointLost: the answer ended short.
        """
        raise NotImplementedError

    def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yields the events of a streamed answer up to its end mark.

        :raises EndpointLost: the connection failed.
        :raises EndpointFailed: the stream ended short or reported an error.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Drops the exchange, which cancels a request still running."""
        raise NotImplementedError


class Backend:
    """Model engines or plain services, by address."""

    async def open(self, address: str, *, no_reuse: bool) -> BackendExchange:
        """Opens an exchange.

        :param no_reuse: never reuse a connection, since an idle one may be lost
            after the request has left.
        :raises EndpointLost: the endpoint can't be reached.
        """
        raise NotImplementedError

    async def release(self, exchange: BackendExchange) -> None:
        """Takes back an exchange that ended whole."""
        raise NotImplementedError


class Clock:
    """Monotonic time in seconds."""

    def now(self) -> float:
        """Reads the time."""
        raise NotImplementedError
