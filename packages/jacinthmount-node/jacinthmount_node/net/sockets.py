"""TCP sockets, addresses, timeouts and the system clock."""

import contextlib
import fcntl
import re
import select
import socket as std_socket
import sys
import termios
import time
from collections.abc import Awaitable, Callable
from ipaddress import IPv4Address
from typing import Any

import curio
from curio import socket as curio_socket
from jacinthmount.ports import Clock

from jacinthmount_node.logs import log_event, log_failure

__all__ = (
    'UNREAD_BYTES',
    'SystemClock',
    'abort_socket',
    'accept',
    'accept_queued',
    'connect',
    'count_unconfirmed',
    'has_unread',
    'is_address',
    'listen',
    'parse_address',
    'with_timeout',
)

ADDRESS = re.compile('(?P<ip>[0-9.]{7,15}):(?P<port>[0-9]{1,5})')
MAX_PORT = 65_535
INT_BYTES = 4
LISTEN_BACKLOG = 512
# Bytes that a connection of a caller may have received and not read. The system
# would let them grow to megabytes.
UNREAD_BYTES = 65_536
# TCP keep-alive closes an idle connection about 3 s after its network failed.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MS = 1000
# A connection is closed if sent data stays unacknowledged for this time. On
# Linux it also decides when keep-alive gives up, whatever the number of probes.
UNACKNOWLEDGED_TIMEOUT_MS = MS * (
    KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
)
# The monotonic clock of some systems stands still while they are suspended.
BOOT_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
# Pause after a failed accept; without file descriptors it would fail at once.
ACCEPT_PAUSE_S = 0.05
# Limit on such pauses as the queue of a listener is emptied.
MAX_QUEUE_ERRORS = 10


class SystemClock(Clock):
    """The monotonic clock of the host."""

    __slots__ = ()

    def now(self) -> float:
        """Returns the time in seconds."""
        return time.monotonic()

    def boot_now(self) -> float:
        """Implements :meth:`~jacinthmount.ports.Clock.boot_now`."""
        return time.clock_gettime(BOOT_CLOCK)


async def with_timeout(
    seconds: float,
    func: Callable[..., Awaitable[Any]],
    *args: Any,
) -> Any:
    """Runs a coroutine function with a timeout.

    The error is the built-in ``TimeoutError`` because curio reports a
    ``TaskTimeout`` that leaves an enclosing timeout block as a programming
    error.

    :raises TimeoutError: the timeout expired.
    """
    try:
        return await curio.timeout_after(seconds, func, *args)
    except curio.TaskTimeout:
        raise TimeoutError(f'timed out after {seconds} s') from None


def abort_socket(sock) -> None:
    """Shuts down both directions, so that a reading task gets end of file.

    A socket that is already closed is left as it is.
    """
    # A closed curio socket no longer has the socket that it wrapped, which
    # raises an AttributeError.
    with (
        contextlib.suppress(OSError, AttributeError),
        sock.blocking() as raw,
    ):
        raw.shutdown(std_socket.SHUT_RDWR)


def has_unread(sock) -> bool:
    """Checks whether bytes, or the end of the peer's, wait to be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def count_unconfirmed(sock) -> int:
    """Counts the bytes sent that the system of the peer has not confirmed.

    :returns: 0 also where this system does not tell.
    """
    try:
        packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
    except OSError as exc:
        log_event('unconfirmed_unknown', error=f'{type(exc).__name__}: {exc}')
        return 0
    return int.from_bytes(packed, sys.byteorder)


def is_address(text: object) -> bool:
    """Returns whether a text is the IPv4 address and port of one host."""
    found = ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if found is None or not 0 < int(found['port']) <= MAX_PORT:
        return False
    try:
        ip = IPv4Address(found['ip'])
    except ValueError:
        return False
    return not ip.is_unspecified and not ip.is_multicast


def parse_address(address: str) -> tuple[str, int]:
    """Splits ``IP:port`` into its parts."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def connect(address: str, local_ip: str = ''):
    """Opens a TCP connection with ``TCP_NODELAY``.

    :param local_ip: source IP address; empty lets the system choose.
    :raises OSError: the connection failed.
    """
    sock = curio_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    try:
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        _detect_dead_peer(sock)
        if local_ip:
            sock.bind((local_ip, 0))
        await sock.connect(parse_address(address))
    except (ValueError, OverflowError) as exc:
        await sock.close()
        raise OSError(f'unusable address {address!r}') from exc
    except BaseException:
        await sock.close()
        raise
    return sock


def listen(address: str, *, unread_bytes: int = 0):
    """Opens a listening TCP socket.

    The port is not shared, so this fails while another process listens on it.

    :param unread_bytes: limit on the bytes that a connection has received and
        not read; 0 leaves it to the system.
    :raises OSError: the address is in use.
    """
    sock = curio_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit the option. Without it small pieces of a stream
    # would be delayed.
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    if unread_bytes:
        sock.setsockopt(
            std_socket.SOL_SOCKET, std_socket.SO_RCVBUF, unread_bytes
        )
    sock.bind(parse_address(address))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def accept(sock, listener: str):
    """Accepts the next connection.

    An error is logged and does not end the listener: it concerns one
    connection, or a resource that others will free.

    :param listener: name of the listener, for the log.
    """
    while True:
        try:
            conn, _ = await sock.accept()
        except OSError as exc:
            log_failure(listener, exc)
            await curio.sleep(ACCEPT_PAUSE_S)
        else:
            return conn


async def accept_queued(sock, listener: str):
    """Yields the connections that wait in the queue of a listener.

    It gives up after ``MAX_QUEUE_ERRORS`` errors, each of which is logged.

    :param listener: name of the listener, for the log.
    """
    errors = 0
    while errors < MAX_QUEUE_ERRORS:
        try:
            conn = await curio.ignore_after(0, sock.accept)
        except OSError as exc:
            errors += 1
            log_failure(listener, exc)
            await curio.sleep(ACCEPT_PAUSE_S)
            continue
        if conn is None:
            return
        yield conn[0]


def _detect_dead_peer(sock) -> None:
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
