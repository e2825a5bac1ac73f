"""Blocking HTTP calls to processes on loopback."""

import contextlib
import json
import socket
import time
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from jacinthmount_standin.addresses import LOOPBACK

__all__ = ('call_http', 'read_end', 'wait_for_port')

POLL_S = 0.05
END_CHARS = 2000
START_TIMEOUT_S = 30.0


def read_end(path: Path) -> str:
    """Returns the last ``END_CHARS`` characters of a text file."""
    return path.read_text()[-END_CHARS:]


def wait_for_port(port: int, has_ended: Callable[[], bool] = bool) -> None:
    """Waits until a port accepts connections.

    :param has_ended: tells that its process has ended, which ends the wait.
    :raises TimeoutError: not within ``START_TIMEOUT_S``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if has_ended():
            return
        with contextlib.suppress(OSError):
            socket.create_connection((LOOPBACK, port), 1).close()
            return
        time.sleep(POLL_S)
    raise TimeoutError(f'port {port} accepts no connections')


def call_http(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30,
) -> tuple[int, bytes]:
    """Sends one HTTP request to a loopback port.

    :param body: sent as JSON unless it is bytes.
    :returns: status and body of the response.
    """
    payload = body
    if body is not None and not isinstance(body, bytes):
        payload = json.dumps(body).encode()
    conn = HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    with contextlib.closing(conn):
        conn.request(method, path, payload, headers or {})
        response = conn.getresponse()
        return response.status, response.read()
