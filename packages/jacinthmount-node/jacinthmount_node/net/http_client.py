"""HTTP/1.1 client on h11 that knows how far each exchange came."""

import math
import socket as std_socket
import time
from typing import Any

import curio
import h11
from jacinthmount.answer_memory import AnswerMemory
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndlessAnswer, EndpointFailed, GarbageKind

from jacinthmount_node.net.sockets import abort_socket, connect, with_timeout
from jacinthmount_node.net.wire_reader import FramingTooLong, WireReader

__all__ = ('ATTEMPT_ERRORS', 'ClientPool', 'Exchange', 'TRANSPORT_ERRORS')

CONNECT_TIMEOUT_S = 1.0
MAX_HEADER_BYTES = 32_768
MAX_ANSWER_BYTES = 33_554_432
MAX_INTERIM_ANSWERS = 16
# Less of an event is not worth counting.
SMALL_EVENT_BYTES = 16_384
MAX_IDLE_PER_ADDRESS = 32
UNLIMITED_S = math.inf

TRANSPORT_ERRORS = (OSError, h11.ProtocolError, curio.TaskTimeout)
ATTEMPT_ERRORS = (*TRANSPORT_ERRORS, EndpointFailed)


class Exchange:
    """One request and its answer on one connection."""

    __slots__ = (
        '_broken_off',
        '_memory',
        '_reader',
        '_sock',
        '_wire',
        'address',
        'headers',
        'reused',
        'stage',
        'status',
        'unusable_at',
    )

    def __init__(
        self,
        *,
        address: str,
        sock: Any,
        wire: h11.Connection,
        memory: AnswerMemory,
        reused: bool = False,
    ) -> None:
        """Takes a connected socket.

        :param memory: what all answers under way may take together.
        :param reused: whether another exchange went before on it.
        """
        self._memory = memory
        self._reader = WireReader(sock=sock, wire=wire)
        self._broken_off = False
        self.address = address
        self.reused = reused
        self.unusable_at = UNLIMITED_S
        self._sock = sock
        self._wire = wire
        self.stage = Stage.CONNECTING
        self.status = 0
        self.headers: dict[str, str] = {}

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Sends the whole request."""
        rows = [('content-length', str(len(body))), *headers]
        if all(name != 'host' for name, _ in headers):
            rows.insert(0, ('host', self.address))
        request = h11.Request(method=method, target=target, headers=rows)
        events = [request, h11.Data(data=body), h11.EndOfMessage()]
        packed = b''.join(self._wire.send(event) or b'' for event in events)
        self.stage = Stage.SENT
        await self._sock.sendall(packed)

    async def read_head(self, *, framed: bool = True) -> None:
        """Reads status and headers.

        :param framed: refuse an answer that ends with its connection.
        :raises EndpointFailed: the answer has no framing that shows its end.
        """
        event = await self._next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_ANSWERS:
                raise EndlessAnswer(
                    kind=GarbageKind.INTERIM,
                    taken=interim,
                    allowed=MAX_INTERIM_ANSWERS,
                )
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise EndpointFailed(detail='closed without an answer')
        self.stage = Stage.ANSWERING
        self.status = event.status_code
        self.headers = _join_headers(event.headers)
        if framed and not _is_framed(self.status, self.headers):
            raise EndpointFailed(detail='answer without framing')

    async def iter_body(self):
        """Yields the body in pieces, up to its proper end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self.stage = Stage.ANSWERED
                return
            if not isinstance(event, h11.Data):
                raise EndpointFailed(detail='answer ended short')
            yield bytes(event.data)

    async def read_body(self, limit: int = MAX_ANSWER_BYTES) -> bytes:
        """Reads the whole body.

        :raises EndlessAnswer: it exceeds the limit in bytes.
        """
        body = bytearray()
        try:
            async for piece in self.iter_body():
                body.extend(piece)
                self._check_size(len(body), limit)
        finally:
            self._memory.release(self)
        return bytes(body)

    def track_bytes(self, size: int) -> None:
        """Notes how many bytes of the answer are held here.

        Where all answers take too much, the largest of them is broken off.

        :raises EndlessAnswer: this one is the largest.
        """
        largest = self._memory.track_bytes(self, size)
        if largest is self:
            self._raise_broken_off()
        if isinstance(largest, Exchange):
            largest.abort_over_budget()

    def abort_over_budget(self) -> None:
        """Ends an answer that takes too much beside others."""
        self._broken_off = True
        self.abort()

    def track_event_bytes(self, size: int) -> None:
        """Notes how many bytes of an event that is not whole are held here.

        :raises EndlessAnswer: see ``track_bytes``.
        """
        if size > SMALL_EVENT_BYTES:
            self.track_bytes(size)
        else:
            self._memory.release(self)

    def reusable(self) -> bool:
        """Tells whether another exchange may follow on the connection."""
        if self._wire.trailing_data[0]:
            # Bytes after the end belong to no request.
            return False
        done = h11.DONE
        return self._wire.our_state is done and self._wire.their_state is done

    def is_stale(self) -> bool:
        """Tells whether an idle connection was closed or has stray bytes."""
        flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
        try:
            with self._sock.blocking() as raw:
                raw.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def next_exchange(self) -> 'Exchange':
        """Starts another exchange on the same connection."""
        self._wire.start_next_cycle()
        return Exchange(
            address=self.address,
            sock=self._sock,
            wire=self._wire,
            memory=self._memory,
            reused=True,
        )

    def abort(self) -> None:
        """Breaks the connection off under the task that reads it."""
        abort_socket(self._sock)

    async def close(self) -> None:
        """Closes the connection."""
        self._memory.release(self)
        await self._sock.close()

    async def _next_event(self) -> Any:
        try:
            return await self._reader.next_event()
        except FramingTooLong as exc:
            raise EndlessAnswer(
                kind=GarbageKind.FRAMING,
                taken=exc.taken,
                allowed=exc.allowed,
            ) from exc
        except TRANSPORT_ERRORS:
            if self._broken_off:
                self._raise_broken_off()
            raise

    def _check_size(self, size: int, limit: int) -> None:
        if size > limit:
            raise EndlessAnswer(
                kind=GarbageKind.BODY,
                taken=size,
                allowed=limit,
            )
        self.track_bytes(size)

    def _raise_broken_off(self) -> None:
        raise EndlessAnswer(
            kind=GarbageKind.MEMORY,
            taken=self._memory.used_bytes,
            allowed=self._memory.limit_bytes,
        )


class ClientPool:
    """Idle connections by address; only whole exchanges come back to it."""

    __slots__ = ('_idle', '_memory')

    def __init__(self, *, memory: AnswerMemory | None = None) -> None:
        """Starts without connections.

        :param memory: what all answers under way may take together.
        """
        self._idle: dict[str, list[Exchange]] = {}
        self._memory = memory or AnswerMemory()

    async def open(
        self,
        address: str,
        *,
        no_reuse: bool,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Exchange:
        """Opens an exchange.

        The connection used last is taken first.

        :param no_reuse: never reuse a connection, since an idle one may be lost
            after the request has left.
        :raises OSError: the endpoint can't be reached.
        """
        idle = self._idle.get(address, [])
        while idle and not no_reuse:
            exchange = idle.pop()
            expired = time.monotonic() >= exchange.unusable_at
            if not expired and not exchange.is_stale():
                return exchange.next_exchange()
            await exchange.close()
        sock = await with_timeout(timeout_s, connect, address)
        wire = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        return Exchange(
            address=address,
            sock=sock,
            wire=wire,
            memory=self._memory,
        )

    async def release(
        self,
        exchange: Exchange,
        idle_s: float = UNLIMITED_S,
    ) -> None:
        """Takes an exchange back; closes one that did not end whole.

        :param idle_s: seconds after which the connection is not used again.
        """
        exchange.unusable_at = time.monotonic() + idle_s
        idle = self._idle.setdefault(exchange.address, [])
        if exchange.reusable() and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(exchange)
        else:
            await exchange.close()

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
    ) -> Exchange:
        """Sends a small request and reads the head of its answer."""
        exchange = await self.open(address, no_reuse=False)
        try:
            await with_timeout(
                timeout_s,
                _send_and_read,
                exchange,
                method,
                target,
                headers,
                body,
            )
        except BaseException:
            await exchange.close()
            raise
        return exchange


async def _send_and_read(
    exchange: Exchange,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    await exchange.send(method, target, headers, body)
    await exchange.read_head()


def _join_headers(rows) -> dict[str, str]:
    headers: dict[str, str] = {}
    for packed_name, packed in rows:
        name, text = packed_name.decode('ascii'), packed.decode('latin-1')
        known = headers.get(name)
        headers[name] = text if known is None else f'{known}, {text}'
    return headers


def _is_framed(status: int, headers: dict[str, str]) -> bool:
    if status in {204, 304}:
        return True
    return 'content-length' in headers or 'transfer-encoding' in headers
