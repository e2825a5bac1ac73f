"""HTTP routes for files."""

from http import HTTPStatus

from jacinthmount.errors import NotFound, shorten

from jacinthmount_node.batches.batches_api import BatchApi
from jacinthmount_node.batches.files_api import FileApi, describe_file
from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.net.http_messages import (
    HttpRequest,
    Responder,
    list_page,
)

__all__ = ('FILES_PATH', 'FileRoutes')

FILES_PATH = '/v1/files'
BATCH_ID_PREFIX = 'batch_'


class FileRoutes:
    """Handles requests for the files of an account."""

    __slots__ = ('_admission', '_batches', '_files', '_routes')

    def __init__(
        self,
        *,
        admission: Admission,
        files: FileApi,
        batches: BatchApi,
    ) -> None:
        self._admission = admission
        self._files = files
        self._batches = batches
        self._routes = {
            ('POST', 0): self._upload,
            ('GET', 0): self._list,
            ('GET', 1): self._describe,
            ('DELETE', 1): self._delete,
            ('GET', 2): self._send_content,
        }

    async def handle(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
    ) -> None:
        """Handles one request.

        :raises NotFound: there is no such route or file.
        """
        parts = request.path.removeprefix(FILES_PATH).split('/')[1:]
        route = self._routes.get((request.method, len(parts)))
        if route is None or parts[1:] not in ([], ['content']):
            raise NotFound(detail=f'no route {shorten(request.path)}')
        await route(request, responder, account, parts)

    async def _upload(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
        parts: list[str],
    ) -> None:
        await self._admission.admit(account)
        manifest = await self._files.upload(account, request)
        await responder.send_json(HTTPStatus.OK, describe_file(manifest))

    async def _list(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
        parts: list[str],
    ) -> None:
        manifests = await self._files.list_files(account)
        shown = [describe_file(manifest) for manifest in manifests]
        await responder.send_json(HTTPStatus.OK, list_page(shown))

    async def _describe(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
        parts: list[str],
    ) -> None:
        manifest = await self._files.find(account, parts[0])
        await responder.send_json(HTTPStatus.OK, describe_file(manifest))

    async def _delete(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
        parts: list[str],
    ) -> None:
        await self._files.delete(account, parts[0])
        await responder.send_json(
            HTTPStatus.OK,
            {'id': parts[0], 'object': 'file', 'deleted': True},
        )

    async def _send_content(
        self,
        request: HttpRequest,
        responder: Responder,
        account: str,
        parts: list[str],
    ) -> None:
        lines = self._iter_lines(account, parts[0])
        first = await anext(lines, b'')
        await responder.start(
            HTTPStatus.OK,
            [('content-type', 'application/jsonl')],
        )
        await responder.write(first)
        async for line in lines:
            await responder.write(line)
        await responder.finish()

    async def _iter_lines(self, account: str, file_id: str):
        if file_id.startswith(BATCH_ID_PREFIX):
            async for output in self._batches.iter_output(account, file_id):
                yield output
            return
        manifest = await self._files.find(account, file_id)
        for chunk in range(manifest.chunks):
            for text in await self._files.read_chunk(file_id, chunk):
                yield b'%s\n' % text.encode()
