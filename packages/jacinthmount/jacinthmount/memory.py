"""In-memory implementations of the ports except the object store."""

from collections.abc import AsyncIterator, Callable

from jacinthmount.dispatch import Stage
from jacinthmount.errors import (
    EndpointFailed,
    EndpointLost,
    NotFound,
    OrderFenced,
    PeerUnavailable,
)
from jacinthmount.ports import (
    Backend,
    BackendCall,
    BackendExchange,
    CacheEvents,
    CachePage,
    Clock,
    EngineControl,
    EngineLoad,
    EngineOrder,
    EngineState,
    HostList,
    HostState,
    LoadReports,
    StreamEvent,
    WeightStore,
)
from jacinthmount.records import Record, replaced

__all__ = (
    'BackendReply',
    'ManualClock',
    'MemoryBackend',
    'MemoryCacheEvents',
    'MemoryEngineControl',
    'MemoryHostList',
    'MemoryLoadReports',
    'MemoryWeightStore',
)


class ManualClock(Clock):
    """A clock that is advanced by its user."""

    __slots__ = ('_now',)

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        """Implements :meth:`~jacinthmount.ports.Clock.now`."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the time by a number of seconds."""
        self._now += seconds


class MemoryHostList(HostList):
    """A host list that its user sets through ``hosts``."""

    __slots__ = ('hosts',)

    def __init__(self) -> None:
        self.hosts: list[HostState] = []

    async def read_hosts(self) -> list[HostState]:
        """Implements :meth:`~jacinthmount.ports.HostList.read_hosts`."""
        return list(self.hosts)


class MemoryWeightStore(WeightStore):
    """Sizes of weights in bytes, set by name and version."""

    __slots__ = ('sizes',)

    def __init__(self) -> None:
        self.sizes: dict[tuple[str, str], int] = {}

    async def read_size(self, weights: str, version: str) -> int:
        """Implements :meth:`~jacinthmount.ports.WeightStore.read_size`."""
        size = self.sizes.get((weights, version))
        if size is None:
            raise NotFound(detail=f'weights {weights} {version}')
        return size


class MemoryLoadReports(LoadReports):
    """Load reports that its user sets by engine address."""

    __slots__ = ('loads',)

    def __init__(self) -> None:
        self.loads: dict[str, EngineLoad] = {}

    async def read_load(self, address: str) -> EngineLoad:
        """Implements :meth:`~jacinthmount.ports.LoadReports.read_load`."""
        if address not in self.loads:
            raise PeerUnavailable(detail=f'load of {address}')
        return self.loads[address]


class MemoryCacheEvents(CacheEvents):
    """Cache events that its user sets by engine address, numbered from 1."""

    __slots__ = ('pages',)

    def __init__(self) -> None:
        self.pages: dict[str, CachePage] = {}

    async def read_events(self, address: str, after: int) -> CachePage:
        """Implements :meth:`~jacinthmount.ports.CacheEvents.read_events`."""
        page = self.pages.get(address)
        if page is None:
            raise PeerUnavailable(detail=f'cache events of {address}')
        skipped = max(0, after + 1 - page.oldest)
        return replaced(page, events=page.events[skipped:])


class MemoryEngineControl(EngineControl):
    """Engines by address that execute each order at once."""

    __slots__ = ('states',)

    def __init__(self) -> None:
        self.states: dict[str, EngineState] = {}

    async def read_state(self, address: str) -> EngineState:
        """Implements :meth:`~jacinthmount.ports.EngineControl.read_state`."""
        if address not in self.states:
            raise PeerUnavailable(detail=f'state of {address}')
        return self.states[address]

    async def send_order(self, address: str, order: EngineOrder) -> None:
        """Implements :meth:`~jacinthmount.ports.EngineControl.send_order`."""
        state = await self.read_state(address)
        if order.fencing < state.fencing:
            raise OrderFenced(detail=address)
        self.states[address] = replaced(
            state,
            weights=order.weights or state.weights,
            version=order.version or state.version,
            adapters=order.adapters,
            role=order.role or state.role,
            fencing=order.fencing,
        )


class BackendReply(Record):
    """The answer of an in-memory endpoint.

    ``lost`` means that the connection is cut after the events or the body.
    """

    __slots__ = ('status', 'headers', 'body', 'events', 'lost')

    status: int
    headers: dict[str, str]
    body: bytes
    events: list[StreamEvent]
    lost: bool


class MemoryBackend(Backend):
    """Endpoints by address; a function creates the answer to each call."""

    __slots__ = ('replies',)

    def __init__(self) -> None:
        self.replies: dict[str, Callable[[BackendCall], BackendReply]] = {}

    async def open(
        self, address: str, *, no_reuse: bool, request_id: str = ''
    ) -> BackendExchange:
        """Implements :meth:`~jacinthmount.ports.Backend.open`."""
        if address not in self.replies:
            raise EndpointLost(detail=f'{address}: connection refused')
        return _MemoryExchange(reply_to=self.replies[address])

    async def release(self, exchange: BackendExchange) -> None:
        """Implements :meth:`~jacinthmount.ports.Backend.release`."""


class _MemoryExchange(BackendExchange):
    __slots__ = ('_reply', '_reply_to')

    def __init__(
        self,
        *,
        reply_to: Callable[[BackendCall], BackendReply],
    ) -> None:
        super().__init__()
        self._reply_to = reply_to

    async def send(self, call: BackendCall) -> None:
        self.stage = Stage.SENT
        reply = self._reply_to(call)
        self._reply = reply
        if reply.lost and not reply.events:
            raise EndpointLost(detail='connection cut before the answer')
        self.stage = Stage.ANSWERING
        self.status = reply.status
        self.headers = reply.headers
        if self.headers.get('x-request-id', call.request_id) != call.request_id:
            raise EndpointFailed(detail='answer to another request')

    async def read_body(self) -> bytes:
        self._end()
        return self._reply.body

    async def iter_events(self) -> AsyncIterator[StreamEvent]:
        for event in self._reply.events:
            yield event
        self._end()

    async def close(self) -> None:
        self._reply_to = _raise_closed

    def _end(self) -> None:
        if self._reply.lost:
            raise EndpointLost(detail='connection cut during the answer')
        self.stage = Stage.ANSWERED


def _raise_closed(call: BackendCall) -> BackendReply:
    raise EndpointLost(detail='the exchange is closed')
