"""Crowds of clients that hold bodies."""

import contextlib
import selectors
import socket
import time

__all__ = ('CASES', 'CLIENTS', 'Crowd', 'Target')

LOOPBACK = '127.0.0.1'
RECV_BYTES = 65_536
PIECE_BYTES = 8192
PIECE_PAUSE_S = 0.005
LARGE_CHUNK_BYTES = 65_536
TINY_CHUNK_BYTES = 8
FAR_OVER_BYTES = 9_999_999_999
FAR_OVER_PIECES = 100_000
# Rows of a head that stays below the limit on its bytes.
HEAD_ROWS = 3000
CLIENTS = 60
# How long the clients send, and how long they stay open after it.
SEND_S = 4.0
# Chunks of a few bytes take longer to read.
TINY_SEND_S = 10.0
STAY_S = 1.0


class Target:
    """An interface that reads bodies.

    ``make_body`` returns a valid body of a size in bytes.
    """

    __slots__ = ('head', 'limit_bytes', 'make_body', 'port')

    def __init__(self, *, port, head, limit_bytes, make_body):
        """Stores the port, the head without framing, and the limit."""
        self.port = port
        self.head = head
        self.limit_bytes = limit_bytes
        self.make_body = make_body


class Sending:
    """What one client sends: a head, and pieces with a pause after each."""

    __slots__ = ('head', 'is_reading', 'pause_s', 'pieces')

    def __init__(self, *, head, pieces, pause_s=0.0, is_reading=True):
        """Stores them, and whether the client reads answers."""
        self.head = head
        self.pieces = pieces
        self.pause_s = pause_s
        self.is_reading = is_reading


class Client:
    """One connection of a crowd."""

    __slots__ = ('events', 'next_at', 'pause_s', 'pieces', 'sock', 'unsent')

    def __init__(self, *, port, sending):
        """Connects."""
        self.sock = socket.socket()
        self.events = selectors.EVENT_READ
        if not sending.is_reading:
            self.events = 0
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES
            )
        self.sock.connect((LOOPBACK, port))
        self.sock.setblocking(False)
        self.pieces = iter(sending.pieces)
        self.pause_s = sending.pause_s
        self.unsent = memoryview(sending.head)
        self.next_at = 0.0

    def send(self, now):
        """Sends what the socket takes.

        :returns: false once there is nothing more to send.
        :raises OSError: the connection has ended.
        """
        if now < self.next_at:
            return True
        if not self.unsent:
            piece = next(self.pieces, None)
            if piece is None:
                return False
            self.unsent = memoryview(piece)
        with contextlib.suppress(BlockingIOError):
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        if not self.unsent:
            self.next_at = now + self.pause_s
        return True

    def receive(self):
        """Reads what has arrived.

        :returns: false once the connection has ended.
        """
        try:
            return bool(self.sock.recv(RECV_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False


class Crowd:
    """Many clients at once, which stay open after what they have sent."""

    __slots__ = ('_case', '_clients', '_selector', '_target')

    def __init__(self, *, target, case):
        """Connects nobody."""
        self._target = target
        self._case = case
        self._clients = []
        self._selector = selectors.DefaultSelector()

    def run(self, clients=CLIENTS):
        """Connects, sends for a time at most, stays open for another, ends."""
        try:
            self._send_and_stay(clients)
        finally:
            self._close()

    def _send_and_stay(self, clients):
        sending = {**CASES, **FURTHER_CASES}[self._case](self._target)
        for _ in range(clients):
            client = Client(port=self._target.port, sending=sending)
            self._clients.append(client)
            events = client.events | selectors.EVENT_WRITE
            self._selector.register(client.sock, events, client)
        send_s = TINY_SEND_S if 'tiny' in self._case else SEND_S
        ends_at = time.monotonic() + send_s
        while self._is_sending() and time.monotonic() < ends_at:
            self._step()
        ends_at = time.monotonic() + STAY_S
        while time.monotonic() < ends_at:
            self._step()

    def _close(self):
        for client in self._clients:
            client.sock.close()
        self._selector.close()

    def _is_sending(self):
        return any(
            key.events & selectors.EVENT_WRITE
            for key in self._selector.get_map().values()
        )

    def _step(self):
        now = time.monotonic()
        for key, events in self._selector.select(PIECE_PAUSE_S):
            client = key.data
            if events & selectors.EVENT_READ and not client.receive():
                self._selector.unregister(client.sock)
                continue
            if events & selectors.EVENT_WRITE:
                self._send(client, now)
        if all(client.next_at > now for client in self._clients):
            time.sleep(PIECE_PAUSE_S)

    def _send(self, client, now):
        try:
            goes_on = client.send(now)
        except OSError:
            self._selector.unregister(client.sock)
            return
        if goes_on:
            return
        if client.events:
            self._selector.modify(client.sock, client.events, client)
        else:
            self._selector.unregister(client.sock)


def with_length(target, size):
    """Completes a head with a length."""
    return b'%bcontent-length: %d\r\n\r\n' % (target.head, size)


def with_chunks(target):
    """Completes a head for chunks."""
    return b'%btransfer-encoding: chunked\r\n\r\n' % target.head


def split_chunks(body, size):
    """Frames a body in chunks, without their end."""
    return b''.join(
        b'%x\r\n%b\r\n' % (len(chunk), chunk)
        for chunk in split_pieces(body, size)
    )


def split_pieces(packed, size):
    """Splits bytes into pieces."""
    return [packed[at : at + size] for at in range(0, len(packed), size)]


def repeat_far_over(piece):
    """Returns more pieces than any client gets to send."""
    return [piece for _ in range(FAR_OVER_PIECES)]


def in_pieces(make_sending):
    """Returns the same case with small pieces and pauses."""

    def make(target):
        sending = make_sending(target)
        return Sending(
            head=sending.head,
            pieces=split_pieces(b''.join(sending.pieces), PIECE_BYTES),
            pause_s=PIECE_PAUSE_S,
        )

    return make


def _length(target):
    body = target.make_body(target.limit_bytes)
    return Sending(head=with_length(target, len(body)), pieces=[body[:-1]])


def _large_chunks(target):
    framed = split_chunks(
        target.make_body(target.limit_bytes), LARGE_CHUNK_BYTES
    )
    return Sending(head=with_chunks(target), pieces=[framed])


def _tiny_chunks(target):
    framed = split_chunks(
        target.make_body(target.limit_bytes), TINY_CHUNK_BYTES
    )
    return Sending(head=with_chunks(target), pieces=[framed])


def _one_chunk(target):
    body = target.make_body(target.limit_bytes)
    framed = b'%x\r\n%b' % (len(body), body[:-1])
    return Sending(head=with_chunks(target), pieces=[framed])


def _complete(target):
    body = target.make_body(target.limit_bytes)
    return Sending(head=with_length(target, len(body)), pieces=[body])


def _announced_far_over(target):
    return Sending(
        head=with_length(target, FAR_OVER_BYTES),
        pieces=repeat_far_over(target.make_body(LARGE_CHUNK_BYTES)),
    )


def _sent_far_over(target):
    start = split_chunks(target.make_body(LARGE_CHUNK_BYTES), LARGE_CHUNK_BYTES)
    more = split_chunks(b' ' * LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES)
    return Sending(
        head=with_chunks(target),
        pieces=[start, *repeat_far_over(more)],
    )


def _sent_far_over_in_tiny_chunks(target):
    start = split_chunks(target.make_body(PIECE_BYTES), TINY_CHUNK_BYTES)
    more = split_chunks(b' ' * LARGE_CHUNK_BYTES, TINY_CHUNK_BYTES)
    return Sending(
        head=with_chunks(target), pieces=[start, *repeat_far_over(more)]
    )


# What each client of a crowd sends, by the name of the case.
CASES = {
    'length, whole': _length,
    'length, in pieces': in_pieces(_length),
    'large chunks, whole': _large_chunks,
    'large chunks, in pieces': in_pieces(_large_chunks),
    'one chunk': _one_chunk,
    'tiny chunks, whole': _tiny_chunks,
    'tiny chunks, in pieces': in_pieces(_tiny_chunks),
    'complete': _complete,
    'announced far over': _announced_far_over,
    'sent far over': _sent_far_over,
    'sent far over in tiny chunks': _sent_far_over_in_tiny_chunks,
}


def _many_rows(target):
    rows = b'a:b\r\n' * HEAD_ROWS
    return Sending(
        head=b'%b%bcontent-length: 10\r\n\r\n' % (target.head, rows),
        pieces=[],
    )


def _pipelined(target):
    more = target.make_body(LARGE_CHUNK_BYTES)
    return Sending(
        head=b'%bab' % with_length(target, 2), pieces=repeat_far_over(more)
    )


def _no_request(target):
    return Sending(head=b'', pieces=[])


def _unread_answers(target):
    return Sending(head=b'%b\r\n' % target.head, pieces=[], is_reading=False)


# What else a caller can make a process keep.
FURTHER_CASES = {
    'many header rows': _many_rows,
    'no request': _no_request,
    'pipelined': _pipelined,
    'unread answers': _unread_answers,
}
