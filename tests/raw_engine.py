"""Engines whose answers are written byte by byte."""

import contextlib
import socket
import threading
import time

from jacinthmount_platform_standin.site import SERVICE
from jacinthmount_standin.callers import call_http

__all__ = ('RawEngine', 'register', 'wait_usable')

WAIT_S = 10.0


class RawEngine:
    """Answers the requests of each connection by a script.

    :param script: returns the bytes of an answer and whether the connection is
        closed after it; gets the id of the request, the number of the
        connection from 1 on, and that of all requests before it.
    """

    def __init__(self, *, script):
        """Listens on a free port."""
        self._script = script
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self.ran = []
        self.connections = 0
        self.closed = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stops to accept connections."""
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            for conn, _ in iter(self._listener.accept, None):
                self.connections += 1
                threading.Thread(
                    target=self._serve_and_count,
                    args=(conn, self.connections),
                    daemon=True,
                ).start()

    def _serve_and_count(self, conn, connection):
        self._serve(conn, connection)
        self.closed += 1

    def _serve(self, conn, connection):
        reader = conn.makefile('rb')
        with conn, contextlib.suppress(OSError):
            for request_id in iter(lambda: _read_request(reader), None):
                self.ran.append(request_id)
                answer, closes = self._script(
                    request_id, connection, len(self.ran) - 1
                )
                conn.sendall(answer)
                if closes:
                    return


def _read_request(reader):
    """Reads one request; returns its id, or None at the end."""
    length, request_id = 0, b''
    if not reader.readline():
        return None
    for line in iter(reader.readline, b'\r\n'):
        if not line:
            return None
        name, _, text = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(text)
        if name.lower() == b'attempt-id':
            request_id = text.strip()
    reader.read(length)
    return request_id


def register(site, port, slots):
    """Registers an engine, and waits until the front knows it."""
    spec = {
        'service': SERVICE,
        'address': f'127.0.0.1:{port}',
        'zone': 'east',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'cold_left_ms': 0,
        'sequence': 1,
        'born': 1,
    }
    body = {'metadata': {'name': f'raw-{port}'}, 'spec': spec}
    call_http(site.store, 'POST', '/api/objects/servers', body)
    wait_usable(site, f'raw-{port}')


def wait_usable(site, endpoint_id):
    """Waits until the front knows an endpoint."""
    until = time.monotonic() + WAIT_S
    while endpoint_id not in {
        line.get('endpoint') for line in site.read_lines('front-1')
    }:
        assert time.monotonic() < until, 'the front does not know the engine'
        time.sleep(0.05)
