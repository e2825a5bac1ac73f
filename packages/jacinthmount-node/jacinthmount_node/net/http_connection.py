"""Connection of one caller: requests one after the other, each answered."""

import socket as std_socket
import sys
import time
from collections.abc import Awaitable, Callable

import curio
import h11
from jacinthmount.caller_memory import CallerMemory, HoldState
from jacinthmount.errors import (
    CallerMemoryFull,
    DeadlineExceeded,
    JacinthmountError,
    MalformedRequest,
    RequestTimeout,
    ShuttingDown,
    shorten,
)

from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.net.answer_writer import AnswerWriter
from jacinthmount_node.net.body_time import BodyTime
from jacinthmount_node.net.connection_memory import (
    ConnectionMemory,
    make_full_error,
)
from jacinthmount_node.net.heads import check_head, make_head_error
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

# Interval at which the end of a body is awaited.
POLL_S = 0.05
# Time for which the rest of a refused request is read.
DISCARD_S = 2.0
# Bytes of the next request that are read before this one is answered.
PIPELINED_BYTES = 4096
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


class MemoryCut(AnswerCut):
    """Cancels the handler of a request that makes room for others."""


class CallerConnection(Channel):
    """Reads requests, has them handled, and ends with its caller.

    :param is_closing: returns whether the server closes its connections.
    """

    __slots__ = (
        '_answering',
        '_body_time',
        '_ended',
        '_handler',
        '_reader',
        '_is_closing',
        '_memory',
        '_sock',
        '_end_reason',
        '_is_answered',
        '_wire',
        '_writer',
        'busy',
    )

    def __init__(
        self,
        *,
        sock,
        handler: Handler,
        limits: ServerLimits,
        is_closing: Callable[[], bool],
        memory: CallerMemory,
    ) -> None:
        super().__init__(limits=limits)
        self._memory = ConnectionMemory(memory=memory, owner=self)
        self._body_time = BodyTime()
        self._writer = AnswerWriter(sock=sock, memory=self._memory)
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
            on_incomplete=self._memory.keep_incomplete_head,
        )
        self._end_reason = ''
        self._is_answered = False
        self.busy = False
        self._answering: curio.Task | None = None
        # Idle connections that were closed here take no more requests.
        self._ended = False

    async def run(self) -> None:
        """Answers requests until the connection ends."""
        while await self._serve_next():
            self._wire.start_next_cycle()
            self._is_answered = False
        await self._discard_rest()

    def close_if_idle(self, idle_since: float) -> None:
        """Closes the connection unless a request has come.

        :param idle_since: monotonic time at which it was idle already.
        """
        if self.busy or self._ended or self._memory.idle_since > idle_since:
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

    async def evict(self) -> None:
        """Ends what the connection does, to make room for others."""
        state = self._memory.state
        log_event('caller_evicted', state=state.value)
        if state is HoldState.IDLE:
            self.close_if_idle(time.monotonic())
        elif state is HoldState.SENDING or self._answering is None:
            abort_socket(self._sock)
        else:
            await self._answering.cancel(exc=MemoryCut, blocking=False)

    @property
    def memory(self) -> ConnectionMemory:
        """Implements :meth:`Channel.memory`."""
        return self._memory

    def fail(self, reason: str) -> None:
        """Implements :meth:`Channel.fail`."""
        self._end_reason = reason
        self.broken = True

    async def close(self) -> None:
        """Closes the socket."""
        self._memory.close()
        await self._sock.close()

    def connection_headers(self) -> list[tuple[str, str]]:
        """Implements :meth:`Channel.connection_headers`."""
        if not self._is_closing():
            return []
        # Bytes before the end of the body belong to this request.
        if self._wire.their_state is h11.DONE and self._wire.trailing_data[0]:
            return []
        return [('connection', 'close')]

    async def send(self, *events: h11.Event) -> None:
        """Implements :meth:`Channel.send`."""
        parts = [self._wire.send(event) or b'' for event in events]
        try:
            await self._writer.write(parts)
        except (curio.TaskTimeout, OSError) as exc:
            self.fail(f'not sent: {type(exc).__name__}: {exc}')
            raise
        self._is_answered = isinstance(events[-1], h11.EndOfMessage)

    async def next_body_event(self) -> h11.Data | h11.EndOfMessage:
        """Implements :meth:`Channel.next_body_event`."""
        if self._wire.their_state in BODY_ENDED:
            return h11.EndOfMessage()
        if self._wire.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        try:
            event = await with_timeout(
                self._body_time.find_left(self.limits.body_s),
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
        if isinstance(event, h11.Data):
            self._body_time.add(len(event.data))
        return event

    async def _serve_next(self) -> bool:
        """Answers a request, of which nothing is kept after it.

        :returns: whether another one may follow.
        """
        try:
            request = await self._next_request()
            if request is not None:
                await self._answer(request)
        finally:
            self.busy = False
            await self._memory.end_request()
        return request is not None and self._reusable()

    async def _next_request(self) -> HttpRequest | None:
        # The idle timeout applies to the first byte, the header timeout to the
        # rest of the head.
        idle = not self._wire.trailing_data[0]
        if idle and not await self._wait_first_byte():
            return None
        self.busy = True
        self._memory.begin_head()
        error: JacinthmountError
        try:
            event = await with_timeout(
                self.limits.header_s,
                self._reader.next_event,
            )
            return await self._accept_head(event)
        except TimeoutError:
            error = RequestTimeout(detail='headers too slow')
        except h11.RemoteProtocolError as exc:
            error = make_head_error(exc, self.limits.header_bytes)
        except (MalformedRequest, CallerMemoryFull) as exc:
            # The frames of the traceback keep the head.
            error = exc.with_traceback(None)
        await self._reject(error)
        return None

    async def _accept_head(self, event: h11.Event) -> HttpRequest | None:
        if not isinstance(event, h11.Request):
            return None
        await self._memory.keep_head(event)
        header_rows = check_head(event, self.limits.header_bytes)
        headers = dict(header_rows)
        if headers.get('content-length', '0') == '0' and (
            'transfer-encoding' not in headers
        ):
            # The end of an empty body needs no further bytes from the caller.
            self._wire.next_event()
        self._body_time.begin()
        return HttpRequest(
            method=event.method.decode('ascii'),
            target=event.target.decode('ascii'),
            header_rows=header_rows,
            conn=self,
        )

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
            self._end_handling(request, responder)
            await watcher.cancel()

    def _end_handling(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        self._answering = None
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
        except MemoryCut:
            await self._answer_cut(responder, make_full_error())
        except AnswerCut:
            log_event(
                'cut_in_stop',
                path=shorten(request.path),
                answered=not responder.started,
            )
            exc = ShuttingDown(detail='the host stops')
            await self._answer_cut(responder, exc)

    async def _answer_cut(
        self,
        responder: Responder,
        not_run: JacinthmountError,
    ) -> None:
        whole = self._wire.their_state in BODY_ENDED
        self.broken = True
        if responder.started:
            return
        # No handler lets a request run before its body is complete.
        exc = not_run
        if whole:
            exc = DeadlineExceeded(detail='the request was ended')
        await responder.send_error(exc)

    async def _cancel_on_close(self, task: curio.Task) -> None:
        # Cancels the request when the caller closes the connection. Reads only
        # after the end of the body, which the handler reads.
        while self._wire.their_state not in BODY_ENDED:
            await curio.sleep(POLL_S)
        try:
            received = await self._sock.recv(PIPELINED_BYTES)
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
