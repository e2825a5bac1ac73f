"""Reserves loopback ports for one fleet."""

import socket

__all__ = ('LOOPBACK', 'PortReserve')

LOOPBACK = '127.0.0.1'


class PortReserve:
    """Ports that no other process is assigned until the reserve is closed.

    Each port stays bound by a socket that never listens. A process that sets
    ``SO_REUSEADDR`` can still listen on it, also after a restart.
    """

    __slots__ = ('_sockets',)

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self, count: int, ip: str = LOOPBACK) -> list[int]:
        """Reserves free ports on a loopback address.

        :param count: number of ports.
        :param ip: loopback IP address.
        """
        return [self._reserve_port(ip) for _ in range(count)]

    def close(self) -> None:
        """Releases all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()

    def _reserve_port(self, ip: str) -> int:
        reserved = socket.socket()
        self._sockets.append(reserved)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((ip, 0))
        return reserved.getsockname()[1]
