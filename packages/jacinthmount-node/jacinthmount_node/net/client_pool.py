"""Pool of connections to HTTP servers by address."""

import time

import h11
from jacinthmount.answer_memory import AnswerMemory

from jacinthmount_node.net.http_client import (
    MAX_HEADER_BYTES,
    UNLIMITED_S,
    Exchange,
)
from jacinthmount_node.net.sockets import connect, with_timeout

__all__ = ('ClientPool',)

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_ADDRESS = 32


class ClientPool:
    """Pool of idle connections by address.

    Only the connection of a complete exchange is reused.
    """

    __slots__ = ('_idle', 'memory')

    def __init__(self, *, memory: AnswerMemory | None = None) -> None:
        """Creates a pool without connections.

        :param memory: memory budget of all answers that are being received.
        """
        self._idle: dict[str, list[Exchange]] = {}
        self.memory = memory or AnswerMemory()

    async def open(
        self,
        address: str,
        *,
        no_reuse: bool,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str = '',
    ) -> Exchange:
        """Opens an exchange.

        The most recently used idle connection is used first.

        :param no_reuse: open a new connection, since an idle one may be lost
            after the request was sent.
        :param timeout_s: connection timeout in seconds.
        :param request_id: id of the request, for which no connection is used
            that has carried it before; empty if it has none.
        :raises OSError: the endpoint is unreachable.
        """
        exchange = None
        if not no_reuse:
            exchange = await self._take_idle(address, request_id)
        if exchange is None:
            exchange = await self._connect(address, timeout_s)
        exchange.record_id(request_id)
        return exchange

    async def accepts(self, address: str, timeout_s: float) -> bool:
        """Returns whether an address accepts a new connection.

        :param timeout_s: connection timeout in seconds.
        """
        try:
            exchange = await self.open(
                address, no_reuse=True, timeout_s=timeout_s
            )
        except OSError:
            return False
        await exchange.close()
        return True

    async def release(
        self,
        exchange: Exchange,
        idle_s: float = UNLIMITED_S,
    ) -> None:
        """Takes back an exchange; closes its connection if it is incomplete.

        :param idle_s: seconds after which the idle connection is not reused.
        """
        exchange.unusable_at = time.monotonic() + idle_s
        idle = self._idle.setdefault(exchange.address, [])
        has_room = idle_s > 0 and len(idle) < MAX_IDLE_PER_ADDRESS
        if has_room and exchange.reusable():
            idle.append(exchange)
        else:
            await exchange.close()

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
    ) -> Exchange:
        """Sends a request and reads the head of its answer.

        :param timeout_s: timeout in seconds for sending and for the head.
        """
        exchange = await self.open(address, no_reuse=False)
        try:
            await with_timeout(
                timeout_s,
                _send_and_read,
                exchange,
                method,
                target,
                headers,
                body,
            )
        except BaseException:
            await exchange.close()
            raise
        return exchange

    async def _take_idle(
        self, address: str, request_id: str
    ) -> Exchange | None:
        idle = self._idle.get(address, [])
        for exchange in reversed(idle.copy()):
            if exchange not in idle or exchange.has_sent(request_id):
                continue
            idle.remove(exchange)
            expired = time.monotonic() >= exchange.unusable_at
            if not expired and not exchange.is_stale():
                return exchange.next_exchange()
            await exchange.close()
        return None

    async def _connect(self, address: str, timeout_s: float) -> Exchange:
        sock = await with_timeout(timeout_s, connect, address)
        wire = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        return Exchange(
            address=address,
            sock=sock,
            wire=wire,
            memory=self.memory,
        )


async def _send_and_read(
    exchange: Exchange,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    await exchange.send(method, target, headers, body)
    await exchange.read_head()
