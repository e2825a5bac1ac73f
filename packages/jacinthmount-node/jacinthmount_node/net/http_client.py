"""HTTP/1.1 client on h11 that tracks the stage of each exchange."""

import math
import socket as std_socket
from typing import Any

import curio
import h11
from jacinthmount.answer_memory import AnswerMemory
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndlessAnswer, EndpointFailed, GarbageKind

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.header_rows import pack_rows
from jacinthmount_node.net.sent_ids import SentIds
from jacinthmount_node.net.sockets import abort_socket
from jacinthmount_node.net.uploads import Upload
from jacinthmount_node.net.wire_reader import FramingTooLong, WireReader

__all__ = (
    'ATTEMPT_ERRORS',
    'MAX_HEADER_BYTES',
    'TRANSPORT_ERRORS',
    'UNLIMITED_S',
    'Exchange',
)

MAX_HEADER_BYTES = 32_768
MAX_ANSWER_BYTES = 33_554_432
MAX_INTERIM_ANSWERS = 16
# Extra answers that are read before that to a request.
MAX_EXTRA_ANSWERS = 16
# The last status that HTTP knows; the parser takes three digits.
MAX_STATUS = 599
# Events up to this size are not counted against the memory budget.
SMALL_ANSWER_BYTES = 16_384
UNLIMITED_S = math.inf

TRANSPORT_ERRORS = (OSError, h11.ProtocolError, curio.TaskTimeout)
LARGE_BODY_BYTES = 65_536
ATTEMPT_ERRORS = (*TRANSPORT_ERRORS, EndpointFailed)


class Exchange:
    """One request and its answer on a connection."""

    __slots__ = (
        '_is_aborted',
        '_is_over_budget',
        '_memory',
        '_method',
        '_reader',
        '_request_id',
        '_sent_ids',
        '_skipped',
        '_sock',
        '_upload',
        '_wire',
        'address',
        'headers',
        'held_bytes',
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
        sent_ids: SentIds | None = None,
    ) -> None:
        """Creates an exchange on a connected socket.

        :param memory: memory budget of all answers that are being received.
        :param sent_ids: ids of the requests of the exchanges before it on the
            connection, or None if it is new.
        """
        self._memory = memory
        self._method = ''
        self._request_id = ''
        self._sent_ids = sent_ids or SentIds()
        # Answers to requests of other exchanges.
        self._skipped = 0
        self._reader = WireReader(sock=sock, wire=wire)
        self._is_aborted = False
        self._is_over_budget = False
        # The sending of a large body, which may go on beside the answer.
        self._upload: Upload | None = None
        self.address = address
        # Bytes of whole events that the reader keeps.
        self.held_bytes = 0
        self.reused = sent_ids is not None
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
        """Sends the request.

        With a large body it ends once the answer begins, too. Whether all was
        sent then shows where it matters.
        """
        self._method = method
        rows = [('content-length', str(len(body))), *headers]
        if all(name != 'host' for name, _ in headers):
            rows.insert(0, ('host', self.address))
        request = h11.Request(
            method=method,
            target=target,
            headers=pack_rows(rows),
        )
        events = [request, h11.Data(data=body), h11.EndOfMessage()]
        parts = [self._wire.send(event) or b'' for event in events]
        self.stage = Stage.SENT
        if len(body) <= LARGE_BODY_BYTES:
            await self._sock.sendall(b''.join(parts))
            return
        # A large body is not copied, as an endpoint may read it slowly.
        self._upload = Upload(sock=self._sock, parts=parts)
        await self._upload.start()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._upload.wait)
            await group.spawn(self._reader.read_ahead)

    async def read_head(self, *, framed: bool = True) -> None:
        """Reads the status and headers of the answer.

        :param framed: reject an answer that is delimited by the end of the
            connection.
        :raises EndpointFailed: there is no answer, it is not framed, or its
            status is none of HTTP.
        :raises EndlessAnswer: there are too many interim answers.
        """
        event = await self._next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            EndlessAnswer.check(
                GarbageKind.INTERIM, interim, MAX_INTERIM_ANSWERS
            )
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            self._raise_without_answer()
        self.stage = Stage.ANSWERING
        if event.status_code > MAX_STATUS:
            raise EndpointFailed(detail=f'status {event.status_code}')
        self.status = event.status_code
        self.headers = _join_headers(event.headers)
        if framed and not self.framed:
            raise EndpointFailed(
                detail='answer without framing by length or chunks'
            )

    async def iter_body(self):
        """Yields the body in pieces.

        :raises EndpointFailed: the body is incomplete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self.stage = Stage.ANSWERED
                return
            if not isinstance(event, h11.Data):
                raise EndpointFailed(
                    detail='answer ended before its body was complete'
                )
            yield bytes(event.data)

    async def skip_answer(self, named_id: str) -> None:
        """Reads the rest of an answer to a request of an earlier exchange.

        The head of the answer to this request may be read after it.

        :param named_id: id that the answer names.
        :raises EndpointFailed: no earlier exchange had this id, the answer is
            incomplete or ends the connection, or there are too many.
        """
        if named_id == self._request_id or named_id not in self._sent_ids:
            raise EndpointFailed(detail='response to another request')
        log_event(
            'extra_answer',
            request=self._request_id,
            other=named_id,
            status=self.status,
            address=self.address,
        )
        self._skipped += 1
        size = 0
        async for piece in self.iter_body():
            size += len(piece)
            EndlessAnswer.check(GarbageKind.BODY, size, MAX_ANSWER_BYTES)
        if self._skipped > MAX_EXTRA_ANSWERS or not self._is_wire_done():
            raise EndpointFailed(detail='response to another request')
        self._wire.start_next_cycle()
        # The parser expects an answer once more. Nothing is sent.
        repeated = h11.Request(
            method=self._method,
            target='/',
            headers=pack_rows([('host', self.address)]),
        )
        self._wire.send(repeated)
        self._wire.send(h11.EndOfMessage())
        self.stage = Stage.SENT

    async def read_body(self, limit: int = MAX_ANSWER_BYTES) -> bytes:
        """Reads the whole body.

        :param limit: size limit in bytes.
        :raises EndlessAnswer: the body or all answers together are too large.
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
        """Sets the number of buffered bytes of this answer.

        If all answers together exceed the memory budget, the largest of them
        is aborted.

        :raises EndlessAnswer: this answer is the largest one.
        """
        largest = self._memory.track_bytes(self, size)
        if largest is self:
            self._raise_over_budget()
        if isinstance(largest, Exchange):
            largest.abort_over_budget()

    def abort_over_budget(self) -> None:
        """Aborts this answer, so that the others fit the memory budget."""
        self._is_over_budget = True
        self.abort()

    def track_event_bytes(self, size: int) -> None:
        """Sets the number of buffered bytes of an incomplete event.

        Those of the whole events that are kept are added.

        :raises EndlessAnswer: see ``track_bytes``.
        """
        if self.held_bytes + size > SMALL_ANSWER_BYTES:
            self.track_bytes(self.held_bytes + size)
        else:
            self._memory.release(self)

    @property
    def framed(self) -> bool:
        """Whether the answer has a length or chunks, once its head is read."""
        return _is_framed(self.status, self.headers)

    def reusable(self) -> bool:
        """Returns whether the connection can be used for another exchange."""
        if self._wire.trailing_data[0] or not self._is_request_taken():
            # Bytes after the end of the answer belong to no request, and those
            # of a request that was not read are no next one.
            return False
        return self._is_wire_done() and not self._sent_ids.is_full()

    def has_sent(self, request_id: str) -> bool:
        """Returns whether a request with this id was sent on the connection.

        That of this exchange counts as well, once it is recorded.
        """
        return request_id in self._sent_ids

    def record_id(self, request_id: str) -> None:
        """Records the id of the request of this exchange; empty for none."""
        self._request_id = request_id
        self._sent_ids.add(request_id)

    def is_stale(self) -> bool:
        """Returns whether an idle connection is closed or has stray bytes."""
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
        """Creates the next exchange on the same connection."""
        self._wire.start_next_cycle()
        return Exchange(
            address=self.address,
            sock=self._sock,
            wire=self._wire,
            memory=self._memory,
            sent_ids=self._sent_ids,
        )

    def abort(self) -> None:
        """Shuts the connection down, which ends the read of another task.

        That read fails, unless the answer was complete before.
        """
        self._is_aborted = True
        abort_socket(self._sock)

    async def close(self) -> None:
        """Closes the connection."""
        self._memory.release(self)
        if self._upload is not None:
            await self._upload.cancel()
        await self._sock.close()

    async def _next_event(self) -> Any:
        try:
            event = await self._reader.next_event()
        except FramingTooLong as exc:
            raise EndlessAnswer(
                kind=GarbageKind.FRAMING,
                taken=exc.taken,
                allowed=exc.allowed,
            ) from exc
        except TRANSPORT_ERRORS:
            if self._is_over_budget:
                self._raise_over_budget()
            raise
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
        return event

    def _check_end(self) -> None:
        """Checks that the end of an answer without framing is its own.

        The end of the connection is the end of the answer then, whichever side
        has shut it down. An endpoint that has not got the whole request broke
        the answer off.

        :raises EndpointFailed: this host has aborted the answer, or the request
            was not sent whole.
        """
        if self.framed:
            return
        if self._is_over_budget:
            self._raise_over_budget()
        if self._is_aborted:
            raise EndpointFailed(detail='this host has aborted the answer')
        if not self._is_request_taken():
            raise EndpointFailed(detail='answer ended before the request')

    def _is_wire_done(self) -> bool:
        done = h11.DONE
        return self._wire.our_state is done and self._wire.their_state is done

    def _is_request_taken(self) -> bool:
        return self._upload is None or self._upload.is_taken()

    def _raise_without_answer(self) -> None:
        if self._upload is not None and self._upload.error is not None:
            raise self._upload.error
        raise EndpointFailed(detail='connection closed without an answer')

    def _check_size(self, size: int, limit: int) -> None:
        EndlessAnswer.check(GarbageKind.BODY, size, limit)
        self.track_bytes(size)

    def _raise_over_budget(self) -> None:
        raise EndlessAnswer(
            kind=GarbageKind.MEMORY,
            taken=self._memory.total,
            allowed=self._memory.limit_bytes,
        )


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
