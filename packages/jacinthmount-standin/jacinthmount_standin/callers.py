"""Plain calls to processes on loopback."""

import contextlib
import json
import socket
import time
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from jacinthmount_standin.addresses import LOOPBACK

__all__ = ('call_http', 'read_end', 'wait_for_port')

POLL_S = 0.05
SHOWN_CHARS = 2000
START_TIMEOUT_S = 30.0


def read_end(path: Path) -> str:
    """Reads the end of a text file."""
    return path.read_text()[-SHOWN_CHARS:]


def wait_for_port(port: int) -> None:
    """Waits until a port accepts connections."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((LOOPBACK, port), 1).close()
            return
        time.sleep(POLL_S)
    raise TimeoutError(f'nothing listens on port {port}')


def call_http(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30,
) -> tuple[int, bytes]:
    """Sends one request to loopback.

    :param body: sent as JSON unless it is bytes.
    :returns: status and body of the answer.
    """
    packed = body
    if body is not None and not isinstance(body, bytes):
        packed = json.dumps(body).encode()
    conn = HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    with contextlib.closing(conn):
        conn.request(method, path, packed, headers or {})
        answer = conn.getresponse()
        return answer.status, answer.read()
