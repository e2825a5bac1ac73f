"""Adapter of model engines: requests, streams, load reports."""

import json
from http import HTTPStatus
from typing import Any

from jacinthmount.errors import EndpointFailed, PeerUnavailable
from jacinthmount.ports import EngineLoad, LoadReports

from jacinthmount_node.http_client import (
    TRANSPORT_ERRORS,
    ClientPool,
    Exchange,
)

__all__ = ('EngineLoadReports', 'EngineStream', 'StreamEvent', 'send_call')

LOAD_ERRORS = (*TRANSPORT_ERRORS, ValueError, LookupError)
LOAD_TIMEOUT_S = 1.0
END_MARK = '[DONE]'


class StreamEvent:
    """One event of a streamed answer, as sent and as text."""

    __slots__ = ('finished', 'payload', 'text')

    def __init__(self, *, payload: str, text: str, finished: bool) -> None:
        """Keeps the payload to relay and the text that it adds."""
        self.payload = payload
        self.text = text
        self.finished = finished


class EngineStream:
    """Events of one streamed answer, checked to belong to its request."""

    __slots__ = ('_exchange', '_partial', 'usage')

    def __init__(self, *, exchange: Exchange) -> None:
        """Takes an exchange whose head was read."""
        self._exchange = exchange
        self._partial = b''
        self.usage: dict[str, Any] | None = None

    async def iter_events(self):
        """Yields events up to the end mark.

        :raises EndpointFailed: the stream ended before its end mark, or
            reported an error.
        """
        ended = False
        async for piece in self._exchange.iter_body():
            for payload in self._split(piece):
                if payload == END_MARK:
                    ended = True
                else:
                    yield self._parse(payload)
        if not ended:
            raise EndpointFailed(detail='stream ended short')

    def _split(self, piece: bytes) -> list[str]:
        *whole, rest = (self._partial + piece).split(b'\n')
        self._partial = rest
        return [
            line[len(b'data:') :].strip().decode()
            for line in whole
            if line.startswith(b'data:')
        ]

    def _parse(self, payload: str) -> StreamEvent:
        try:
            parsed = json.loads(payload)
            choice = (parsed.get('choices') or [{}])[0]
            delta = choice.get('delta') or {}
            text = delta.get('content') or choice.get('text') or ''
        except (ValueError, AttributeError, LookupError) as exc:
            raise EndpointFailed(detail='stream is not JSON') from exc
        if 'error' in parsed:
            raise EndpointFailed(detail='engine reported an error')
        self.usage = parsed.get('usage') or self.usage
        finished = choice.get('finish_reason') is not None
        return StreamEvent(payload=payload, text=text, finished=finished)


class EngineLoadReports(LoadReports):
    """Load reports over HTTP."""

    __slots__ = ('_pool',)

    def __init__(self, *, pool: ClientPool) -> None:
        """Takes the connections to use."""
        self._pool = pool

    async def read_load(self, address: str) -> EngineLoad:
        """See the port."""
        try:
            exchange = await self._pool.fetch(
                address,
                'GET',
                '/load',
                [],
                b'',
                LOAD_TIMEOUT_S,
            )
            raw = json.loads(await exchange.read_body())
            await self._pool.release(exchange)
            return EngineLoad(
                running=int(raw['running']),
                waiting=int(raw['waiting']),
                slots=int(raw['slots']),
                age_s=float(raw['age_s']),
            )
        except LOAD_ERRORS as exc:
            raise PeerUnavailable(detail=f'load of {address}') from exc


async def send_call(
    exchange: Exchange,
    path: str,
    body: bytes,
    request_id: str,
    offset: int,
) -> None:
    """Sends a request to an engine and reads the head of its answer.

    :param offset: characters of the answer that are already known.
    :raises EndpointFailed: the engine failed, or answered another request.
    """
    headers = [
        ('content-type', 'application/json'),
        ('x-request-id', request_id),
    ]
    if offset:
        headers.append(('x-resume-offset', str(offset)))
    await exchange.send('POST', path, headers, body)
    await exchange.read_head()
    if exchange.headers.get('x-request-id') != request_id:
        raise EndpointFailed(detail='answer to another request')
    if exchange.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise EndpointFailed(detail=f'engine status {exchange.status}')
