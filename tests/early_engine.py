"""An engine that answers before it has read a request."""

import contextlib
import socket
import struct
import time

from tests.raw_engine import RawEngine

__all__ = ('EarlyEngine', 'chunked', 'sized', 'unframed')

RESET_LINGER = struct.pack('ii', 1, 0)
READ_BYTES = 65_536
# Longer than a caller waits for its answer.
HOLD_S = 4.0


class EarlyEngine(RawEngine):
    """Answers once it has the head of a request, by a plan.

    The plan is a function of the id of the request and its head. It returns
    the bytes of the answer and how the connection goes on: ``reset``,
    ``close``, ``half``, which ends the answer and resets the rest later,
    ``hold``, which reads nothing for a while, or ``drain``, which reads the
    rest and awaits the next request.

    :param delay_s: seconds between the answer and what follows.
    :param reads_all: read the whole request first.
    :param buffer_bytes: bytes of a request that its system takes unread; 0
        leaves it to the system.
    """

    def __init__(self, plan, *, delay_s=0.0, reads_all=False, buffer_bytes=0):
        """Listens on a free port."""
        self.plan = plan
        self.delay_s = delay_s
        self.reads_all = reads_all
        self.asked = []
        super().__init__(script=None)
        if buffer_bytes:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes
            )

    def _serve(self, conn, connection):
        with conn, contextlib.suppress(OSError):
            while self._serve_one(conn):
                """Goes on with the next request."""

    def _serve_one(self, conn):
        head = b''
        while b'\r\n\r\n' not in head:
            received = conn.recv(1)
            if not received:
                return False
            head += received
        fields = dict(
            line.lower().split(b': ', 1)
            for line in head.split(b'\r\n')[1:]
            if b': ' in line
        )
        left = int(fields.get(b'content-length', b'0'))
        name = fields.get(b'attempt-id') or fields.get(b'x-request-id', b'')
        if self.reads_all:
            _read(conn, left)
            left = 0
        self.asked.append(name)
        answer, then = self.plan(name, fields)
        conn.sendall(answer)
        time.sleep(self.delay_s)
        if then == 'drain':
            _read(conn, left)
            return True
        if then == 'half':
            conn.shutdown(socket.SHUT_WR)
        if then in {'half', 'hold'}:
            time.sleep(HOLD_S)
        if then != 'close':
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        return False


def _read(conn, size):
    while size:
        received = conn.recv(min(size, READ_BYTES))
        if not received:
            raise ConnectionResetError
        size -= len(received)


def make_head(name, status, *rows):
    """Builds the head of an answer of either interface."""
    return b''.join([
        b'HTTP/1.1 ',
        status,
        b'\r\nattempt-id: ',
        name,
        b'\r\nx-request-id: ',
        name,
        b'\r\nserver-seal: s\r\ncontent-type: text/event-stream\r\n',
        *rows,
    ])


def unframed(name, body, status=b'200 OK'):
    """Builds an answer that ends with its connection."""
    return make_head(name, status, b'\r\n', body)


def sized(name, body, status=b'200 OK', length=None):
    """Builds an answer with a length."""
    length = len(body) if length is None else length
    row = b'content-length: %d\r\n\r\n' % length
    return make_head(name, status, row, body)


def chunked(name, body, status=b'200 OK', last=b'0\r\n\r\n'):
    """Builds an answer in chunks."""
    row = b'transfer-encoding: chunked\r\n\r\n'
    return make_head(
        name, status, row, b'%x\r\n%s\r\n' % (len(body), body), last
    )
