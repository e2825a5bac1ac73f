"""Sockets, addresses and monotonic time."""

import contextlib
import socket as std_socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket as curio_socket
from jacinthmount.ports import Clock

__all__ = (
    'SystemClock',
    'abort_socket',
    'with_timeout',
    'connect',
    'listen',
    'parse_address',
)

LISTEN_BACKLOG = 512
# Sent bytes that nobody acknowledges end a connection after this time.
UNACKNOWLEDGED_MS = 3000
# An idle connection whose network is gone ends after about 3 s.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2


class SystemClock(Clock):
    """Monotonic time of the machine."""

    __slots__ = ()

    def now(self) -> float:
        """Reads the time in seconds."""
        return time.monotonic()


async def with_timeout(
    seconds: float,
    func: Callable[..., Awaitable[Any]],
    *args: Any,
) -> Any:
    """Runs a coroutine function for a limited time.

    Curio takes a timeout that leaves an enclosing timeout block for a mistake,
    so that this raises the ordinary error.

    :raises TimeoutError: the time ran out.
    """
    try:
        return await curio.timeout_after(seconds, func, *args)
    except curio.TaskTimeout:
        raise TimeoutError(f'{seconds} s ran out') from None


def abort_socket(sock) -> None:
    """Ends both directions; a task that reads sees the end.

    Nothing happens to a socket that is closed already.
    """
    # A closed socket of curio has lost the one that it wraps.
    with (
        contextlib.suppress(OSError, AttributeError),
        sock.blocking() as raw,
    ):
        raw.shutdown(std_socket.SHUT_RDWR)


def parse_address(address: str) -> tuple[str, int]:
    """Splits ``IP:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def connect(address: str, local_ip: str = ''):
    """Opens a TCP connection without delayed sends.

    :param local_ip: IP number to connect from; empty leaves it open.
    :raises OSError: the connection was refused or lost.
    """
    sock = curio_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    try:
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        _detect_silence(sock)
        if local_ip:
            sock.bind((local_ip, 0))
        await sock.connect(parse_address(address))
    except BaseException:
        await sock.close()
        raise
    return sock


def listen(address: str):
    """Opens a listening TCP socket.

    The address is not shared, so a running predecessor makes this fail.

    :raises OSError: the address is in use.
    """
    sock = curio_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit it; small pieces of streams must not wait.
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    sock.bind(parse_address(address))
    sock.listen(LISTEN_BACKLOG)
    return sock


def _detect_silence(sock) -> None:
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, PROBES)
