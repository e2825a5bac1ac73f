"""HTTP routes for batches."""

from http import HTTPStatus

from jacinthmount.batches import BatchManifest
from jacinthmount.errors import MalformedRequest, NotFound, shorten

from jacinthmount_node.batches.batches_api import BatchApi, describe_batch
from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.net.http_messages import (
    HttpRequest,
    Responder,
    list_page,
)

__all__ = ('BATCHES_PATH', 'BatchRoutes', 'read_idempotency_key')

BATCHES_PATH = '/v1/batches'
MAX_IDEMPOTENCY_KEY_CHARS = 255


class BatchRoutes:
    """Handles requests for the batches of an account."""

    __slots__ = ('_admission', '_batches', '_routes')

    def __init__(self, *, admission: Admission, batches: BatchApi) -> None:
        self._admission = admission
        self._batches = batches
        self._routes = {
            ('POST', 0): self._create,
            ('GET', 1): self._find,
            ('POST', 2): self._cancel,
        }

    async def handle(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
    ) -> None:
        """Handles one request.

        :raises NotFound: there is no such route or batch.
        """
        parts = request.path.removeprefix(BATCHES_PATH).split('/')[1:]
        if (request.method, parts) == ('GET', []):
            await self._list(responder, account)
            return
        route = self._routes.get((request.method, len(parts)))
        if route is None or parts[1:] not in ([], ['cancel']):
            raise NotFound(detail=f'no route {shorten(request.path)}')
        manifest = await route(request, account, parts)
        completed, failed = await self._batches.count(manifest)
        await responder.send_json(
            HTTPStatus.OK,
            describe_batch(manifest, completed, failed),
        )

    async def _list(self, responder: Responder, account: str) -> None:
        shown = [
            describe_batch(manifest, manifest.completed, manifest.failed)
            for manifest in await self._batches.list_batches(account)
        ]
        await responder.send_json(HTTPStatus.OK, list_page(shown))

    async def _create(
        self,
        request: HttpRequest,
        account: str,
        parts: list[str],
    ) -> BatchManifest:
        raw = await request.read_json()
        await self._admission.admit(account)
        return await self._batches.create(
            account,
            raw,
            read_idempotency_key(request),
        )

    async def _find(
        self,
        request: HttpRequest,
        account: str,
        parts: list[str],
    ) -> BatchManifest:
        return await self._batches.find(account, parts[0])

    async def _cancel(
        self,
        request: HttpRequest,
        account: str,
        parts: list[str],
    ) -> BatchManifest:
        return await self._batches.cancel(account, parts[0])


def read_idempotency_key(request: HttpRequest) -> str:
    """Reads the idempotency key of a request, empty if there is none.

    :raises MalformedRequest: the key is too long.
    """
    key = request.headers.get('idempotency-key', '')
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise MalformedRequest(
            detail=f'Idempotency-Key exceeds {MAX_IDEMPOTENCY_KEY_CHARS}',
        )
    return key
