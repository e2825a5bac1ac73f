"""HTTP/1.1 server on h11 with one task per connection, limits and timeouts."""

import json
import math
import socket as std_socket
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import curio
import h11
from jacinthmount.errors import (
    AmbiguousFraming,
    BodyTooLarge,
    DeadlineExceeded,
    HeadersTooLarge,
    JacinthmountError,
    MalformedRequest,
    RequestTimeout,
    ShuttingDown,
    shorten,
)

from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.net.header_rows import pack_rows
from jacinthmount_node.net.sockets import (
    abort_socket,
    accept,
    has_unread,
    with_timeout,
)
from jacinthmount_node.net.wire_reader import WireReader
from jacinthmount_node.net.yield_budget import READ_BYTES, YieldBudget

__all__ = (
    'AnswerCut',
    'HttpRequest',
    'HttpServer',
    'Responder',
    'ServerLimits',
    'list_page',
    'parse_json_object',
)

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 2 * 1024 * 1024
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0
# Interval at which the state of connections is checked.
POLL_S = 0.05
# Time for which drain() keeps idle connections open for requests in transit.
DRAIN_GRACE_S = 0.5
# Time for which the rest of a refused request is read.
DISCARD_S = 2.0
# After the body h11 reports MUST_CLOSE instead of DONE if the caller closes
# the connection after this request.
BODY_ENDED = frozenset((h11.DONE, h11.MUST_CLOSE))
CONNECTION_ERRORS = (OSError, curio.TaskTimeout, h11.ProtocolError)


class AnswerCut(curio.TaskCancelled):
    """Cancels the handler of a request that outlasts a planned stop.

    The server answers the request unless its answer has begun.
    """


class ServerLimits:
    """Size limits and timeouts of a listener.

    The configuration of a listener may change while it runs, so connections
    read the current limits from this object.
    """

    __slots__ = ('body_bytes', 'header_bytes', 'header_s', 'idle_s')

    def __init__(
        self,
        *,
        header_bytes: int = MAX_HEADER_BYTES,
        body_bytes: int = MAX_BODY_BYTES,
        header_s: float = HEADER_TIMEOUT_S,
        idle_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        """Creates limits.

        :param header_bytes: size of the request line and headers in bytes.
        :param body_bytes: size of the body in bytes.
        :param header_s: time to receive the headers in seconds.
        :param idle_s: time until the next request in seconds.
        """
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


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
        conn: '_Connection',
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
        """
        size = 0
        if limit is None:
            limit = self._conn.limits.body_bytes
        while True:
            event = await self._conn.next_body_event()
            if isinstance(event, h11.EndOfMessage):
                return
            size += len(event.data)
            if size > limit:
                raise BodyTooLarge(detail=f'body exceeds {limit} bytes')
            yield bytes(event.data)

    async def read_body(self, limit: int | None = None) -> bytes:
        """Reads the whole body; see ``iter_body``."""
        return b''.join([piece async for piece in self.iter_body(limit)])

    async def read_json(self) -> dict[str, Any]:
        """Reads the body as a JSON object.

        :raises MalformedRequest: the body is not a JSON object.
        """
        return parse_json_object(await self.read_body())


class Responder:
    """Sends the answer to one request."""

    __slots__ = ('_conn', 'started', 'status')

    def __init__(self, *, conn: '_Connection') -> None:
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


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections and passes requests to a handler."""

    __slots__ = (
        '_accepting',
        '_closing',
        '_connections',
        '_group',
        '_handler',
        '_sock',
        'limits',
    )

    def __init__(
        self,
        *,
        sock,
        handler: Handler,
        limits: ServerLimits | None = None,
    ) -> None:
        """Creates a server on a listening socket.

        :param limits: limits for callers, or None for the defaults.
        """
        self._sock = sock
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._closing = False
        self._accepting: curio.Task | None = None
        self._group: curio.TaskGroup | None = None
        self._connections: set[_Connection] = set()

    async def run(self) -> None:
        """Accepts connections until drained or cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            self._group = group
            self._accepting = await curio.spawn(self._accept, group)
            try:
                await self._accepting.wait()
            finally:
                await self._accepting.cancel()
            if not self._closing:
                raise self._accepting.exception
            # Answers in progress continue until the process ends.
            await curio.Event().wait()

    def close_after_answers(self) -> None:
        """Closes each connection after its next answer; keeps listening."""
        self._closing = True

    async def drain(self) -> None:
        """Closes the listener and waits for the requests in flight.

        Connections have ``DRAIN_GRACE_S`` for a request in transit, from the
        close of the listener or their last answer on; those that are still
        idle then are closed.
        """
        self._closing = True
        await self._close_listener()
        await curio.sleep(DRAIN_GRACE_S)
        while self._connections:
            idle_since = time.monotonic() - DRAIN_GRACE_S
            for conn in list(self._connections):
                conn.close_if_idle(idle_since)
            await curio.sleep(POLL_S)

    async def cut_answers(self) -> None:
        """Ends the requests in flight, and returns when they have ended.

        Each gets an error unless its answer has begun.
        """
        while self._connections:
            for conn in list(self._connections):
                await conn.cut()
            await curio.sleep(POLL_S)

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their current answer."""
        return self._closing

    async def _accept(self, group: curio.TaskGroup) -> None:
        while True:
            sock = await accept(self._sock, 'HTTP listener')
            await self._begin(sock, group)

    async def _begin(self, sock, group: curio.TaskGroup) -> None:
        conn = _Connection(
            sock=sock,
            handler=self._handler,
            server=self,
        )
        self._connections.add(conn)
        await group.spawn(self._serve, conn, daemon=True)

    async def _close_listener(self) -> None:
        if self._accepting is not None:
            # A socket must not be closed while a task waits for it.
            await self._accepting.cancel()
        if self._group is not None:
            await self._accept_queued(self._group)
        await self._sock.close()

    async def _accept_queued(self, group: curio.TaskGroup) -> None:
        # Closing a listener resets the connections in its queue.
        while True:
            sock = None
            try:
                async with curio.ignore_after(0):
                    sock, _ = await self._sock.accept()
            except OSError as exc:
                log_failure('accept', exc)
            if sock is None:
                return
            await self._begin(sock, group)

    async def _serve(self, conn: '_Connection') -> None:
        try:
            await conn.run()
        except CONNECTION_ERRORS:
            return
        finally:
            self._connections.discard(conn)
            await conn.close()


class _Connection:
    __slots__ = (
        '_answering',
        '_ended',
        '_handler',
        '_idle_since',
        '_reader',
        '_server',
        '_sock',
        '_end_reason',
        '_is_answered',
        '_wire',
        'broken',
        'busy',
        'limits',
    )

    def __init__(self, *, sock, handler: Handler, server: HttpServer) -> None:
        self._sock = sock
        self._handler = handler
        self._server = server
        self.limits = server.limits
        self._wire = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.header_bytes,
        )
        self._reader = WireReader(sock=sock, wire=self._wire)
        self._end_reason = ''
        self._is_answered = False
        self.broken = False
        self.busy = False
        self._answering: curio.Task | None = None
        # Idle connections that were closed here take no more requests.
        self._ended = False
        self._idle_since = time.monotonic()

    async def run(self) -> None:
        while True:
            try:
                request = await self._next_request()
                if request is not None:
                    await self._answer(request)
            finally:
                self.busy = False
                self._idle_since = time.monotonic()
            if request is None or not self._reusable():
                await self._discard_rest()
                return
            self._wire.start_next_cycle()
            self._is_answered = False

    def close_if_idle(self, idle_since: float) -> None:
        """Closes the connection unless a request has come.

        :param idle_since: monotonic time at which it was idle already.
        """
        if self.busy or self._ended or self._idle_since > idle_since:
            return
        if has_unread(self._sock):
            return
        self._ended = True
        abort_socket(self._sock)

    async def cut(self) -> None:
        """Ends the request in flight, or the connection if there is none."""
        if self._ended:
            return
        self._ended = True
        if self._answering is None:
            if self.busy:
                log_event('cut_in_stop', path='', answered=False)
            abort_socket(self._sock)
            return
        await self._answering.cancel(exc=AnswerCut, blocking=False)

    def fail(self, reason: str) -> None:
        self._end_reason = reason
        self.broken = True

    async def close(self) -> None:
        await self._sock.close()

    def connection_headers(self) -> list[tuple[str, str]]:
        if self._server.closing and not self._has_pipelined():
            return [('connection', 'close')]
        return []

    async def send(self, *events: h11.Event) -> None:
        packed = b''.join(self._wire.send(event) or b'' for event in events)
        try:
            await with_timeout(
                WRITE_TIMEOUT_S,
                self._sock.sendall,
                packed,
            )
        except (curio.TaskTimeout, OSError) as exc:
            self.fail(f'not sent: {type(exc).__name__}: {exc}')
            raise
        self._is_answered = isinstance(events[-1], h11.EndOfMessage)

    async def next_body_event(self) -> h11.Data | h11.EndOfMessage:
        if self._wire.their_state in BODY_ENDED:
            return h11.EndOfMessage()
        try:
            return await with_timeout(
                BODY_TIMEOUT_S,
                self._reader.next_event,
            )
        except TimeoutError:
            raise RequestTimeout(detail='body too slow') from None
        except OSError as exc:
            self.fail(f'body not read: {type(exc).__name__}: {exc}')
            raise
        except h11.RemoteProtocolError as exc:
            self.fail(str(exc))
            raise MalformedRequest(detail=str(exc)) from exc

    async def _next_request(self) -> HttpRequest | None:
        # The idle timeout applies to the first byte, the header timeout to the
        # rest of the head.
        idle = not self._wire.trailing_data[0]
        if idle and not await self._wait_first_byte():
            return None
        self.busy = True
        try:
            event = await with_timeout(
                self.limits.header_s,
                self._reader.next_event,
            )
            return self._check_head(event)
        except TimeoutError:
            await self._reject(RequestTimeout(detail='headers too slow'))
        except h11.RemoteProtocolError as exc:
            await self._reject(_make_head_error(exc, self.limits.header_bytes))
        except MalformedRequest as exc:
            await self._reject(exc)
        return None

    async def _wait_first_byte(self) -> bool:
        # The limit may change while the connection is idle.
        idle_since = await curio.clock()
        left_s = self.limits.idle_s
        while True:
            async with curio.ignore_after(left_s):
                received = await self._sock.recv(READ_BYTES)
                self._reader.take(received)
                return bool(received) and not self._ended
            left_s = idle_since + self.limits.idle_s - await curio.clock()
            if left_s <= 0:
                return False

    def _check_head(self, event: h11.Event) -> HttpRequest | None:
        if not isinstance(event, h11.Request):
            return None
        size = len(event.target) + sum(
            len(name) + len(text) for name, text in event.headers
        )
        if size > self.limits.header_bytes:
            # h11 limits only the size of incomplete heads.
            raise HeadersTooLarge(
                detail=f'headers exceed {self.limits.header_bytes} bytes',
            )
        names = [name for name, _ in event.headers]
        if b'content-length' in names and b'transfer-encoding' in names:
            raise AmbiguousFraming(
                detail='both Content-Length and Transfer-Encoding',
            )
        header_rows = [
            (name.decode('ascii'), content.decode('latin-1'))
            for name, content in event.headers
        ]
        headers = dict(header_rows)
        if headers.get('content-length', '0') == '0' and (
            'transfer-encoding' not in headers
        ):
            # The end of an empty body needs no further bytes from the caller.
            self._wire.next_event()
        return HttpRequest(
            method=event.method.decode('ascii'),
            target=event.target.decode('ascii'),
            header_rows=header_rows,
            conn=self,
        )

    def _has_pipelined(self) -> bool:
        # Bytes before the end of the body belong to this request.
        if self._wire.their_state is not h11.DONE:
            return False
        return bool(self._wire.trailing_data[0])

    async def _answer(self, request: HttpRequest) -> None:
        responder = Responder(conn=self)
        self._is_answered = False
        task = await curio.spawn(self._handle_until_cut, request, responder)
        self._answering = task
        watcher = await curio.spawn(self._cancel_on_close, task)
        try:
            await task.join()
        except curio.TaskError as exc:
            if not self.broken:
                self.fail(repr(exc.__cause__))
        finally:
            await self._end_answer(request, responder, watcher)

    async def _end_answer(
        self,
        request: HttpRequest,
        responder: Responder,
        watcher: curio.Task,
    ) -> None:
        self._answering = None
        self._log_if_unanswered(request, responder)
        await watcher.cancel()

    def _log_if_unanswered(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        if self._is_answered or self._wire.their_state not in BODY_ENDED:
            return
        log_event(
            'unanswered',
            request=request.request_id,
            path=shorten(request.path),
            status=responder.status,
            reason=self._end_reason or 'connection ended',
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if self._wire.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(
                    status_code=100,
                    headers=[],
                )
            )
        try:
            await self._handler(request, responder)
        except JacinthmountError as exc:
            if responder.started:
                self.fail(str(exc))
                return
            await responder.send_error(exc)
        except (Exception, curio.TaskTimeout) as exc:
            if self.broken and isinstance(exc, CONNECTION_ERRORS):
                # The caller's own connection failed.
                return
            log_failure('request', exc)
            self.fail(f'{type(exc).__name__}: {exc}')
            if not responder.started:
                await responder.send_error(
                    JacinthmountError(detail='internal error'),
                )

    async def _handle_until_cut(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        try:
            await self._handle(request, responder)
        except AnswerCut:
            await self._answer_cut(request, responder)

    async def _answer_cut(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        log_event(
            'cut_in_stop',
            path=shorten(request.path),
            answered=not responder.started,
        )
        whole = self._wire.their_state in BODY_ENDED
        self.broken = True
        if responder.started:
            return
        # No handler lets a request run before its body is complete.
        exc: JacinthmountError = ShuttingDown(detail='the host stops')
        if whole:
            exc = DeadlineExceeded(detail='the host stops before the answer')
        await responder.send_error(exc)

    async def _cancel_on_close(self, task: curio.Task) -> None:
        # Cancels the request when the caller closes the connection. Reads only
        # after the end of the body, which the handler reads.
        while self._wire.their_state not in BODY_ENDED:
            await curio.sleep(POLL_S)
        try:
            received = await self._sock.recv(READ_BYTES)
        except OSError:
            received = b''
        if received:
            self._reader.take(received)
            return
        self.fail('caller closed')
        await task.cancel(blocking=False)

    def _reusable(self) -> bool:
        # An answer that announces the close leaves the states otherwise.
        if self.broken:
            return False
        done = h11.DONE
        return self._wire.our_state is done and self._wire.their_state is done

    async def _discard_rest(self) -> None:
        # Closing with unread bytes would reset the connection, and the caller
        # could lose the answer while it still sends its request.
        if not self._is_answered or self._wire.their_state in BODY_ENDED:
            return
        await self._sock.shutdown(std_socket.SHUT_WR)
        yield_budget = YieldBudget()
        async with curio.ignore_after(DISCARD_S):
            while received := await self._sock.recv(READ_BYTES):
                await yield_budget.spend(len(received))

    async def _reject(self, exc: JacinthmountError) -> None:
        self.fail(str(exc))
        if self._wire.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await Responder(conn=self).send_error(exc)


def _make_head_error(
    exc: h11.RemoteProtocolError,
    limit: int,
) -> JacinthmountError:
    if exc.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return HeadersTooLarge(detail=f'headers exceed {limit} bytes')
    return MalformedRequest(detail=str(exc))
