"""Ports on loopback that are kept for one fleet."""

import socket

__all__ = ('LOOPBACK', 'PortReserve')

LOOPBACK = '127.0.0.1'


class PortReserve:
    """Ports that nobody else is given until the reserve is closed.

    Each port stays bound by a socket that never listens. A process that sets
    ``SO_REUSEADDR`` can still listen on it, and again after it was killed.
    """

    __slots__ = ('_sockets',)

    def __init__(self) -> None:
        """Starts empty."""
        self._sockets: list[socket.socket] = []

    def take(self, count: int, ip: str = LOOPBACK) -> list[int]:
        """Takes a number of free ports of an IP number of loopback."""
        return [self._take_one(ip) for _ in range(count)]

    def close(self) -> None:
        """Gives all ports back."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()

    def _take_one(self, ip: str) -> int:
        reserved = socket.socket()
        self._sockets.append(reserved)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((ip, 0))
        return reserved.getsockname()[1]
