"""HTTP and JSON adapters for the object API, host list and weight store."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote

from jacinthmount.errors import (
    EndpointFailed,
    NotFound,
    StoreConflict,
    StoreUnavailable,
    ValueTooLarge,
    shorten,
)
from jacinthmount.ports import (
    ABSENT,
    MAX_VALUE_BYTES,
    HostList,
    HostState,
    Listing,
    ObjectStore,
    Stored,
    WeightStore,
)

from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import TRANSPORT_ERRORS
from jacinthmount_node.net.sockets import with_timeout

__all__ = ('HttpHostList', 'HttpStore', 'HttpWeightStore')

CALL_ERRORS = (*TRANSPORT_ERRORS, EndpointFailed, RecursionError, ValueError)
READ_ERRORS = (LookupError, TypeError, ValueError)
CALL_TIMEOUT_S = 3.0
MAX_WHOLE = 9_223_372_036_854_775_807
# Added to the requested wait of a watch to give its timeout.
WATCH_MARGIN_S = 1.0
ParsedT = TypeVar('ParsedT')


class _PlatformClient:
    __slots__ = ('_addresses', '_pool')

    def __init__(self, *, addresses: list[str], pool: ClientPool) -> None:
        self._addresses = addresses
        self._pool = pool

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, Any]:
        try:
            return await with_timeout(
                timeout_s,
                self._call,
                method,
                target,
                headers,
                body,
            )
        except CALL_ERRORS as exc:
            # The next call uses the next address.
            self._addresses.append(self._addresses.pop(0))
            raise StoreUnavailable(
                detail=f'{method} {shorten(target)}: {type(exc).__name__}',
                retry_after_s=2,
            ) from exc

    async def _call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> tuple[int, Any]:
        exchange = await self._pool.open(self._addresses[0], no_reuse=False)
        try:
            await exchange.send(method, target, headers, body)
            await exchange.read_head()
            answer = await exchange.read_body()
        except BaseException:
            await exchange.close()
            raise
        await self._pool.release(exchange)
        return exchange.status, json.loads(answer) if answer else None


class HttpStore(ObjectStore):
    """Object API client over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, *, addresses: list[str], pool: ClientPool) -> None:
        """Creates a client.

        :param addresses: platform addresses; the first is used until it fails.
        """
        self._client = _PlatformClient(addresses=list(addresses), pool=pool)

    async def read(self, name: str) -> Stored | None:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.read`."""
        status, answer = await self._client.call(
            'GET',
            _target(name),
            [],
            b'',
            CALL_TIMEOUT_S,
        )
        if status == HTTPStatus.NOT_FOUND:
            return None
        _require_status(status, HTTPStatus.OK)
        return _read(_parse_stored, answer)

    async def write(self, name: str, body: str, expected: int) -> int:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.write`."""
        packed = body.encode()
        if len(packed) > MAX_VALUE_BYTES:
            raise ValueTooLarge(detail=f'{name}: {len(packed)} bytes')
        return await self._change('PUT', name, packed, expected)

    async def delete(self, name: str, expected: int) -> int:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.delete`."""
        return await self._change('DELETE', name, b'', expected)

    async def list_names(self, prefix: str) -> Listing:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        status, answer = await self._client.call(
            'GET',
            f'/list?prefix={quote(prefix, safe="")}',
            [],
            b'',
            CALL_TIMEOUT_S,
        )
        _require_status(status, HTTPStatus.OK)
        return _read(_parse_listing, answer)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> list[Stored]:
        """Implements :meth:`~jacinthmount.ports.ObjectStore.watch`."""
        target = (
            f'/watch?prefix={quote(prefix, safe="")}'
            f'&after={after}&wait={wait_s}'
        )
        status, answer = await self._client.call(
            'GET',
            target,
            [],
            b'',
            wait_s + WATCH_MARGIN_S,
        )
        _require_status(status, HTTPStatus.OK)
        return _read(_parse_objects, answer)

    async def _change(
        self,
        method: str,
        name: str,
        body: bytes,
        expected: int,
    ) -> int:
        headers = [('if-match', str(expected))]
        if expected == ABSENT:
            headers = [('if-none-match', '*')]
        status, answer = await self._client.call(
            method,
            _target(name),
            headers,
            body,
            CALL_TIMEOUT_S,
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflict(
                detail=name,
                version=_read(_parse_version, answer),
            )
        if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise ValueTooLarge(detail=name)
        _require_status(status, HTTPStatus.OK)
        return _read(_parse_version, answer)


class HttpHostList(HostList):
    """Host list client over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, *, addresses: list[str], pool: ClientPool) -> None:
        """Creates a client.

        :param addresses: platform addresses; the first is used until it fails.
        """
        self._client = _PlatformClient(addresses=list(addresses), pool=pool)

    async def read_hosts(self) -> list[HostState]:
        """Implements :meth:`~jacinthmount.ports.HostList.read_hosts`."""
        status, answer = await self._client.call(
            'GET',
            '/host-list',
            [],
            b'',
            CALL_TIMEOUT_S,
        )
        _require_status(status, HTTPStatus.OK)
        return _read(_parse_hosts, answer)


class HttpWeightStore(WeightStore):
    """Weight store client over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, *, addresses: list[str], pool: ClientPool) -> None:
        """Creates a client.

        :param addresses: store addresses; the first is used until it fails.
        """
        self._client = _PlatformClient(addresses=list(addresses), pool=pool)

    async def read_size(self, weights: str, version: str) -> int:
        """Implements :meth:`~jacinthmount.ports.WeightStore.read_size`."""
        status, answer = await self._client.call(
            'GET',
            f'/weights/{quote(weights, safe="")}/{quote(version, safe="")}',
            [],
            b'',
            CALL_TIMEOUT_S,
        )
        if status == HTTPStatus.NOT_FOUND:
            raise NotFound(detail=f'weights {weights} {version}')
        _require_status(status, HTTPStatus.OK)
        return _read(_parse_size, answer)


def _target(name: str) -> str:
    return f'/objects/{quote(name)}'


def _read(parse: Callable[[Any], ParsedT], answer: Any) -> ParsedT:
    """Reads an answer.

    :raises StoreUnavailable: it is not what the call asks for.
    """
    try:
        return parse(answer)
    except READ_ERRORS as exc:
        raise StoreUnavailable(
            detail=shorten(f'answer: {type(exc).__name__}: {exc}'),
            retry_after_s=2,
        ) from exc


def _parse_listing(answer: dict[str, Any]) -> Listing:
    return Listing(
        objects=_parse_objects(answer),
        revision=_check_whole(answer['revision']),
    )


def _parse_objects(answer: dict[str, Any]) -> list[Stored]:
    return [_parse_stored(row) for row in answer['objects']]


def _parse_stored(row: dict[str, Any]) -> Stored:
    name, body = row['name'], row['body']
    if not isinstance(name, str) or not isinstance(body, str | None):
        raise TypeError('the name or the body is no text')
    return Stored(name=name, version=_check_whole(row['version']), body=body)


def _parse_version(answer: dict[str, Any]) -> int:
    return _check_whole(answer['version'])


def _parse_hosts(answer: dict[str, Any]) -> list[HostState]:
    return [
        HostState(
            host=row['host'],
            data_centre=row['data_centre'],
            leaving=row['leaving'],
        )
        for row in answer['hosts']
    ]


def _parse_size(answer: dict[str, Any]) -> int:
    return _check_whole(answer['bytes'])


def _check_whole(raw: Any) -> int:
    if raw.__class__ is not int or not 0 <= raw <= MAX_WHOLE:
        raise ValueError('not a whole number')
    return raw


def _require_status(status: int, expected_status: int) -> None:
    if status != expected_status:
        raise StoreUnavailable(detail=f'status {status}', retry_after_s=2)
