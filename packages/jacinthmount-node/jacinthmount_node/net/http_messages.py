"""Requests of callers and the answers to them, apart from their connection."""

import json
import math
from typing import Any
from urllib.parse import parse_qs

import h11
from jacinthmount.errors import (
    BodyTooLarge,
    JacinthmountError,
    MalformedRequest,
)

from jacinthmount_node.net.connection_memory import ConnectionMemory
from jacinthmount_node.net.header_rows import pack_rows

__all__ = (
    'Channel',
    'HttpRequest',
    'Responder',
    'ServerLimits',
    'list_page',
    'parse_json_object',
)

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 2 * 1024 * 1024
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
BLOCK_BYTES = 65_536


class ServerLimits:
    """Size limits and timeouts of a listener.

    The configuration of a listener may change while it runs, so connections
    read the current limits from this object.
    """

    __slots__ = ('body_bytes', 'body_s', 'header_bytes', 'header_s', 'idle_s')

    def __init__(
        self,
        *,
        header_bytes: int = MAX_HEADER_BYTES,
        body_bytes: int = MAX_BODY_BYTES,
        header_s: float = HEADER_TIMEOUT_S,
        body_s: float = BODY_TIMEOUT_S,
        idle_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        """Creates limits.

        :param header_bytes: size of the request line and headers in bytes.
        :param body_bytes: size of the body in bytes.
        :param header_s: time to receive the headers in seconds.
        :param body_s: time to receive the body in seconds, beyond that of
            :class:`~jacinthmount_node.net.body_time.BodyTime`.
        :param idle_s: time until the next request in seconds.
        """
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.body_s = body_s
        self.idle_s = idle_s


class Channel:
    """The connection of a caller, as a request and its answer use it.

    ``broken`` tells that it is lost, or unusable for another request.
    """

    __slots__ = ('broken', 'limits')

    def __init__(self, *, limits: ServerLimits) -> None:
        self.broken = False
        self.limits = limits

    async def next_body_event(self) -> h11.Data | h11.EndOfMessage:
        """Reads a piece of the body of the request, or its end.

        :raises RequestTimeout: the caller sends too slowly.
        :raises MalformedRequest: the caller does not keep to the protocol.
        """
        raise NotImplementedError

    @property
    def memory(self) -> ConnectionMemory:
        """What the connection keeps."""
        raise NotImplementedError

    def connection_headers(self) -> list[tuple[str, str]]:
        """Returns the headers of an answer that tell of the connection."""
        raise NotImplementedError

    async def send(self, *events: h11.Event) -> None:
        """Sends parts of an answer in one write."""
        raise NotImplementedError

    def fail(self, reason: str) -> None:
        """Lets the connection be closed after the current answer.

        :param reason: why, for the log.
        """
        raise NotImplementedError


class HttpRequest:
    """A request whose body is read on demand.

    ``request_id`` is for logs; handlers that know an id set it.
    """

    __slots__ = (
        '_conn',
        'header_rows',
        'headers',
        'method',
        'path',
        'query',
        'request_id',
        'target',
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        header_rows: list[tuple[str, str]],
        conn: Channel,
    ) -> None:
        """Splits the target into path and query.

        :param header_rows: names in lower case and values, as received.
        """
        path, _, query = target.partition('?')
        self.method = method
        self.target = target
        self.path = path
        self.query = {
            name: texts[-1] for name, texts in parse_qs(query).items()
        }
        self.header_rows = header_rows
        self.headers = dict(header_rows)
        self.request_id = ''
        self._conn = conn

    async def iter_body(self, limit: int | None = None):
        """Yields the body in pieces.

        :param limit: size limit in bytes, or None for that of the listener.
        :raises BodyTooLarge: the body exceeds the limit.
        :raises RequestTimeout: the caller sends too slowly.
        :raises CallerMemoryFull: callers make the host keep too much.
        """
        size = 0
        if limit is None:
            limit = self._conn.limits.body_bytes
        announced = int(self.headers.get('content-length', limit))
        if announced > limit:
            raise BodyTooLarge(detail=f'body exceeds {limit} bytes')
        memory = self._conn.memory
        memory.begin_body()
        while True:
            event = await self._conn.next_body_event()
            if isinstance(event, h11.EndOfMessage):
                memory.end_body()
                return
            size += len(event.data)
            if size > limit:
                raise BodyTooLarge(detail=f'body exceeds {limit} bytes')
            memory.progress(max(1, announced - size))
            yield bytes(event.data)

    async def read_body(self, limit: int | None = None) -> bytes:
        """Reads the whole body; see ``iter_body``."""
        # Blocks of one size leave no gaps in memory, as a growing buffer does,
        # and small pieces take no object each.
        blocks: list[bytes] = []
        block = bytearray()
        size = 0
        try:
            async for piece in self.iter_body(limit):
                size += len(piece)
                await self.keep(size)
                block += piece
                if len(block) >= BLOCK_BYTES:
                    blocks.append(bytes(block))
                    block.clear()
            return b''.join([*blocks, block])
        finally:
            # The frames of an error live until the caller has it.
            blocks.clear()
            block.clear()

    async def read_json(self) -> dict[str, Any]:
        """Reads the body as a JSON object.

        :raises MalformedRequest: the body is not a JSON object.
        """
        body = await self.read_body()
        await self.keep_parsed(body)
        return parse_json_object(body)

    async def keep(self, size: int) -> None:
        """Sets the bytes of the body that the handler keeps.

        :raises CallerMemoryFull: callers make the host keep too much.
        """
        await self._conn.memory.keep_body(size)

    async def keep_parsed(self, body: bytes) -> None:
        """Counts the parsed form of a JSON body before it is parsed.

        :raises BodyTooLarge: it outgrows the memory for all callers.
        :raises CallerMemoryFull: callers make the host keep too much.
        """
        await self._conn.memory.keep_parsed(body)


class Responder:
    """Sends the answer to one request."""

    __slots__ = ('_conn', 'started', 'status')

    def __init__(self, *, conn: Channel) -> None:
        self._conn = conn
        self.started = False
        self.status = 0

    async def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        first: bytes = b'',
    ) -> None:
        """Sends status and headers; the body follows in chunks.

        :param first: piece of the body that is sent in the same write.
        """
        await self._send(
            status,
            [*headers, *self._conn.connection_headers()],
            h11.Data(data=first),
        )

    async def write(self, piece: bytes) -> None:
        """Sends a piece of the body."""
        await self._conn.send(h11.Data(data=piece))

    async def finish(self, last: bytes = b'') -> None:
        """Completes the answer.

        :param last: piece of the body that is sent in the same write.
        """
        await self._conn.send(h11.Data(data=last), h11.EndOfMessage())

    async def send(
        self,
        status: int,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> None:
        """Sends a complete answer in one write."""
        await self._send(
            status,
            [
                *headers,
                *self._conn.connection_headers(),
                ('content-length', str(len(body))),
            ],
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def send_json(
        self,
        status: int,
        body: Any,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Sends a JSON answer."""
        await self.send(
            status,
            json.dumps(body, separators=(',', ':')).encode(),
            [('content-type', 'application/json'), *(headers or [])],
        )

    async def send_error(self, exc: JacinthmountError) -> None:
        """Sends an error in the format of the OpenAI API."""
        headers = []
        if exc.retry_after_s is not None:
            seconds = max(1, math.ceil(exc.retry_after_s))
            headers.append(('retry-after', str(seconds)))
        await self.send_json(exc.http_status, error_body(exc), headers)

    @property
    def broken(self) -> bool:
        """Whether the connection to the caller is lost or unusable."""
        return self._conn.broken

    def abort(self, reason: str = 'aborted') -> None:
        """Lets the connection be closed without completing the answer.

        :param reason: why, for the log.
        """
        self._conn.fail(reason)

    async def _send(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *events: h11.Event,
    ) -> None:
        # Nothing has started if the head can't be built.
        head = h11.Response(
            status_code=status,
            headers=pack_rows(headers),
        )
        self.started = True
        self.status = status
        await self._conn.send(head, *events)


def parse_json_object(packed: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    :raises MalformedRequest: the bytes are not a JSON object.
    """
    try:
        parsed = json.loads(packed)
    except (ValueError, RecursionError) as exc:
        raise MalformedRequest(detail='body is not JSON') from exc
    if not isinstance(parsed, dict):
        raise MalformedRequest(detail='body is not a JSON object')
    return parsed


def list_page(shown: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a complete listing in the format of the OpenAI API."""
    return {
        'object': 'list',
        'data': shown,
        'has_more': False,
        'first_id': shown[0]['id'] if shown else None,
        'last_id': shown[-1]['id'] if shown else None,
    }


def error_body(exc: JacinthmountError) -> dict[str, Any]:
    """Returns an error in the format of the OpenAI API."""
    return {
        'error': {
            'message': exc.detail or type(exc).__name__,
            'type': type(exc).__name__,
            'code': str(exc.code),
            'param': None,
            'run_state': exc.run_state,
        },
    }
