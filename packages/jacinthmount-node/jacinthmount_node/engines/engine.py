"""HTTP adapters for model engines: requests, load reports, cache events."""

import json
from collections.abc import AsyncIterator
from http import HTTPStatus

from jacinthmount.errors import (
    EndlessAnswer,
    EndpointFailed,
    GarbageKind,
    PeerUnavailable,
)
from jacinthmount.event_stream import MAX_EVENT_BYTES
from jacinthmount.ports import (
    BackendCall,
    CacheEvents,
    CachePage,
    EngineLoad,
    LoadReports,
    StreamEvent,
)
from jacinthmount.records import parse_json

from jacinthmount_node.engines.backends import (
    REQUEST_ID,
    HttpBackend,
    HttpBackendExchange,
)
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import TRANSPORT_ERRORS

__all__ = (
    'EngineCacheEvents',
    'EngineExchange',
    'EngineLoadReports',
    'HttpEngine',
)

LOAD_ERRORS = (*TRANSPORT_ERRORS, ValueError, LookupError)
# What reading a value of another type or shape raises.
ODD_EVENT_ERRORS = (
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
LOAD_TIMEOUT_S = 1.0
END_OF_STREAM = '[DONE]'
SSE_DATA_PREFIX = b'data:'
ENGINE_VERSION = 'x-engine-version'


class EngineExchange(HttpBackendExchange):
    """One request to a model engine."""

    __slots__ = ('_partial',)

    async def send(self, call: BackendCall) -> None:
        """See :meth:`~jacinthmount.ports.BackendExchange.send`."""
        headers = [
            ('content-type', 'application/json'),
            (REQUEST_ID, call.request_id),
            *call.headers,
        ]
        if call.offset:
            headers.append(('x-resume-offset', str(call.offset)))
        await self.send_and_read_head(call, headers)
        await self.skip_extra_answers(call)
        self.version = self.headers.get(ENGINE_VERSION, '')
        if REQUEST_ID not in self.headers:
            raise EndpointFailed(detail='response without a request id')
        if self.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise EndpointFailed(detail=f'engine status {self.status}')

    async def iter_events(self) -> AsyncIterator[StreamEvent]:
        """See :meth:`~jacinthmount.ports.BackendExchange.iter_events`."""
        if self.status != HTTPStatus.OK:
            raise EndpointFailed(detail=f'stream with status {self.status}')
        ended = False
        async for payload in self._iter_payloads():
            if payload == END_OF_STREAM:
                ended = True
            else:
                yield self._parse(payload)
        if not ended:
            raise EndpointFailed(detail='stream ended without an end marker')

    async def _iter_payloads(self) -> AsyncIterator[str]:
        self._partial = b''
        with self.track_stage():
            async for piece in self.http.iter_body():
                for payload in self._split_payloads(piece):
                    yield payload
                self._check_size()

    def _split_payloads(self, piece: bytes) -> list[str]:
        *lines, rest = (self._partial + piece).split(b'\n')
        self._partial = rest
        try:
            return [
                line[len(SSE_DATA_PREFIX) :].strip().decode()
                for line in lines
                if line.startswith(SSE_DATA_PREFIX)
            ]
        except UnicodeDecodeError as exc:
            raise EndpointFailed(detail='stream event is not UTF-8') from exc

    def _check_size(self) -> None:
        """Checks the size of the incomplete line, and of all that is kept.

        :raises EndlessAnswer: it is too large.
        """
        size = len(self._partial)
        EndlessAnswer.check(GarbageKind.EVENT, size, MAX_EVENT_BYTES)
        self.http.track_event_bytes(self.held_bytes + size)

    def _parse(self, payload: str) -> StreamEvent:
        try:
            parsed = json.loads(payload)
            choice = (parsed.get('choices') or [{}])[0]
            delta = choice.get('delta') or {}
            text = delta.get('content') or choice.get('text') or ''
        except ODD_EVENT_ERRORS as exc:
            raise EndpointFailed(detail='stream event is not JSON') from exc
        if not isinstance(text, str):
            raise EndpointFailed(detail='text of a stream event is no text')
        if 'error' in parsed:
            raise EndpointFailed(detail='engine reported an error')
        self.usage = parsed.get('usage') or self.usage
        finished = choice.get('finish_reason') is not None
        return StreamEvent(payload=payload, text=text, finished=finished)


class HttpEngine(HttpBackend):
    """Requests to model engines over HTTP."""

    __slots__ = ()

    exchange_type = EngineExchange


class EngineLoadReports(LoadReports):
    """Load reports over HTTP."""

    __slots__ = ('_pool',)

    def __init__(self, *, pool: ClientPool) -> None:
        self._pool = pool

    async def read_load(self, address: str) -> EngineLoad:
        """See :meth:`~jacinthmount.ports.LoadReports.read_load`."""
        try:
            raw = json.loads(await _read(self._pool, address, '/load'))
            return EngineLoad(
                running=int(raw['running']),
                waiting=int(raw['waiting']),
                slots=int(raw['slots']),
                age_s=float(raw['age_s']),
            )
        except LOAD_ERRORS as exc:
            raise PeerUnavailable(detail=f'load report of {address}') from exc


class EngineCacheEvents(CacheEvents):
    """Cache events over HTTP."""

    __slots__ = ('_pool',)

    def __init__(self, *, pool: ClientPool) -> None:
        self._pool = pool

    async def read_events(self, address: str, after: int) -> CachePage:
        """See :meth:`~jacinthmount.ports.CacheEvents.read_events`."""
        target = f'/cache-events?after={after}'
        try:
            return parse_json(
                CachePage,
                await _read(self._pool, address, target),
            )
        except LOAD_ERRORS as exc:
            raise PeerUnavailable(detail=f'cache events of {address}') from exc


async def _read(pool: ClientPool, address: str, target: str) -> bytes:
    exchange = await pool.fetch(
        address,
        'GET',
        target,
        [],
        b'',
        LOAD_TIMEOUT_S,
    )
    body = await exchange.read_body()
    await pool.release(exchange)
    return body
