"""Connection of one caller: requests one after the other, each answered."""

import socket as std_socket
import sys
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio
import h11
from jacinthmount.errors import (
    AmbiguousFraming,
    DeadlineExceeded,
    HeadersTooLarge,
    JacinthmountError,
    MalformedRequest,
    RequestTimeout,
    ShuttingDown,
    shorten,
)

from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.net.http_messages import (
    Channel,
    HttpRequest,
    Responder,
    ServerLimits,
)
from jacinthmount_node.net.sockets import (
    abort_socket,
    has_unread,
    with_timeout,
)
from jacinthmount_node.net.wire_reader import WireReader
from jacinthmount_node.net.yield_budget import READ_BYTES, YieldBudget

__all__ = ('CONNECTION_ERRORS', 'AnswerCut', 'CallerConnection', 'Handler')

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]

BODY_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0
# Interval at which the end of a body is awaited.
POLL_S = 0.05
# Time for which the rest of a refused request is read.
DISCARD_S = 2.0
# After the body h11 reports MUST_CLOSE instead of DONE if the caller closes
# the connection after this request, and MIGHT_SWITCH_PROTOCOL until the answer
# to one that asks for another protocol.
BODY_ENDED = frozenset((
    h11.DONE,
    h11.MUST_CLOSE,
    h11.MIGHT_SWITCH_PROTOCOL,
))
CONNECTION_ERRORS = (OSError, curio.TaskTimeout, h11.ProtocolError)


class AnswerCut(curio.TaskCancelled):
    """Cancels the handler of a request that outlasts a planned stop.

    The server answers the request unless its answer has begun.
    """


class CallerConnection(Channel):
    """Reads requests, has them handled, and ends with its caller.

    :param is_closing: returns whether the server closes its connections.
    """

    __slots__ = (
        '_answering',
        '_ended',
        '_handler',
        '_idle_since',
        '_reader',
        '_is_closing',
        '_sock',
        '_end_reason',
        '_is_answered',
        '_wire',
        'busy',
    )

    def __init__(
        self,
        *,
        sock,
        handler: Handler,
        limits: ServerLimits,
        is_closing: Callable[[], bool],
    ) -> None:
        super().__init__(limits=limits)
        self._sock = sock
        self._handler = handler
        self._is_closing = is_closing
        self._wire = h11.Connection(
            h11.SERVER,
            # The reader checks the limit, which may change.
            max_incomplete_event_size=sys.maxsize,
        )
        self._reader = WireReader(
            sock=sock,
            wire=self._wire,
            find_limit=lambda: self.limits.header_bytes,
        )
        self._end_reason = ''
        self._is_answered = False
        self.busy = False
        self._answering: curio.Task | None = None
        # Idle connections that were closed here take no more requests.
        self._ended = False
        self._idle_since = time.monotonic()

    async def run(self) -> None:
        """Answers requests until the connection ends."""
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
        """Implements :meth:`Channel.fail`."""
        self._end_reason = reason
        self.broken = True

    async def close(self) -> None:
        """Closes the socket."""
        await self._sock.close()

    def connection_headers(self) -> list[tuple[str, str]]:
        """Implements :meth:`Channel.connection_headers`."""
        if self._is_closing() and not self._has_pipelined():
            return [('connection', 'close')]
        return []

    async def send(self, *events: h11.Event) -> None:
        """Implements :meth:`Channel.send`."""
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
        """Implements :meth:`Channel.next_body_event`."""
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
            # The reader limits only the size of incomplete heads.
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
