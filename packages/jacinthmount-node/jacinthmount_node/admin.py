"""HTTP routes for operators and monitoring."""

import hmac
from http import HTTPStatus
from typing import Any

from jacinthmount.errors import KeyMissing, MalformedRequest, NotFound, shorten
from jacinthmount.keys import parse_bearer

from jacinthmount_node.batches.batch_runner import BatchRunner
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.net.http_messages import HttpRequest, Responder
from jacinthmount_node.node import Node

__all__ = ('Admin',)


class Admin:
    """Handles requests to the admin listener."""

    __slots__ = ('_batch', '_node', '_sync', '_token')

    def __init__(
        self,
        *,
        node: Node,
        sync: ConfigSync,
        batch: BatchRunner,
        token: str,
    ) -> None:
        """Initialises the routes.

        :param token: bearer token that operators must send.
        """
        self._node = node
        self._sync = sync
        self._batch = batch
        self._token = token

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles one request."""
        route = (request.method, request.path)
        if route == ('GET', '/healthz'):
            await responder.send_json(HTTPStatus.OK, {'ready': True})
        elif route == ('GET', '/readyz'):
            ready = self._node.ready
            await responder.send_json(
                HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
                {'ready': ready},
            )
        elif route == ('GET', '/metrics'):
            await responder.send(
                HTTPStatus.OK,
                self._node.metrics.render(),
                [
                    ('content-type', 'text/plain; version=0.0.4'),
                ],
            )
        else:
            self._check_token(request)
            await self._operate(request, responder)

    async def _operate(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        route = (request.method, request.path)
        if route == ('GET', '/admin/status'):
            await responder.send_json(HTTPStatus.OK, self._status())
        elif route == ('POST', '/admin/withdraw'):
            raw = await request.read_json()
            key_id = raw.get('key_id')
            if not isinstance(key_id, str) or not key_id:
                raise MalformedRequest(detail='key_id must be a text')
            await self._sync.withdraw([key_id])
            await responder.send_json(HTTPStatus.OK, {'withdrawn': key_id})
        else:
            raise NotFound(detail=f'no route {shorten(request.path)}')

    def _status(self) -> dict[str, Any]:
        node = self._node
        now = node.now()
        endpoints = [
            {
                'name': state.endpoint.name,
                'service': state.endpoint.service,
                'address': state.endpoint.address,
                'available': state.available(now),
                'leaving': state.endpoint.leaving,
                'closed': state.is_closed(now),
                'online': state.online,
                'elsewhere': state.elsewhere,
                'batch': state.batch,
            }
            for router in node.routers.values()
            for state in router.states()
        ]
        return {
            'host': node.host,
            'data_centre': node.data_centre,
            'incarnation': node.incarnation,
            'ready': node.ready,
            'revision': node.table.revision,
            'shares_confirmed': node.confirmed(),
            'share_slots': node.host_buckets.slots(),
            'share_version': node.host_buckets.version,
            'members': sorted(node.members),
            'withdrawn': len(node.keyring.withdrawn_ids()),
            'batch_chunks': self._batch.claimed(),
            'batch_running': self._batch.running(),
            'endpoints': endpoints,
        }

    def _check_token(self, request: HttpRequest) -> None:
        token = parse_bearer(request.headers.get('authorization', ''))
        if not hmac.compare_digest(token, self._token):
            raise KeyMissing(detail='operator token missing or wrong')
