"""HTTP adapter for the state of engines and orders to them."""

from http import HTTPStatus
from typing import Any

from jacinthmount.errors import OrderFenced, PeerUnavailable
from jacinthmount.orders import ORDER_MAX_S
from jacinthmount.ports import EngineControl, EngineOrder, EngineState
from jacinthmount.records import parse_json, serialize_json

from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import TRANSPORT_ERRORS
from jacinthmount_node.net.sockets import with_timeout

__all__ = ('HttpEngineControl',)

CONTROL_ERRORS = (*TRANSPORT_ERRORS, ValueError, LookupError)
STATE_TIMEOUT_S = 1.0


class HttpEngineControl(EngineControl):
    """Engine control over HTTP with JSON bodies."""

    __slots__ = ('_pool',)

    def __init__(self, *, pool: ClientPool) -> None:
        self._pool = pool

    async def read_state(self, address: str) -> EngineState:
        """See :meth:`~jacinthmount.ports.EngineControl.read_state`."""
        status, answer = await self._call(
            STATE_TIMEOUT_S,
            address,
            'GET',
            '/state',
            b'',
        )
        if status != HTTPStatus.OK:
            raise PeerUnavailable(detail=f'state of {address}: {status}')
        return parse_json(EngineState, answer)

    async def send_order(self, address: str, order: EngineOrder) -> None:
        """See :meth:`~jacinthmount.ports.EngineControl.send_order`."""
        status, _ = await self._call(
            ORDER_MAX_S,
            address,
            'POST',
            '/orders',
            serialize_json(order).encode(),
        )
        if status == HTTPStatus.CONFLICT:
            raise OrderFenced(detail=address)
        if status != HTTPStatus.OK:
            raise PeerUnavailable(detail=f'order to {address}: {status}')

    async def _call(self, timeout_s: float, *request: Any) -> tuple[int, bytes]:
        try:
            return await with_timeout(timeout_s, self._exchange, *request)
        except CONTROL_ERRORS as exc:
            raise PeerUnavailable(detail=f'control: {exc}') from exc

    async def _exchange(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        # Each call has its own connection and closes it, so that no part of an
        # order can arrive after the call has timed out.
        exchange = await self._pool.open(address, no_reuse=True)
        try:
            await exchange.send(
                method,
                target,
                [('content-type', 'application/json')],
                body,
            )
            await exchange.read_head()
            answer = await exchange.read_body()
        finally:
            await exchange.close()
        return exchange.status, answer
