"""File API for client accounts: streaming upload, stored as chunks."""

import time
import uuid
from typing import Any

import curio
from jacinthmount.batches import BatchManifest
from jacinthmount.errors import MalformedRequest, NotFound, shorten
from jacinthmount.files import (
    FILE_PREFIX,
    ChunkBuilder,
    FileChunk,
    FileManifest,
    chunk_name,
    manifest_name,
)
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.stores import new_write_id, write_with_retry
from python_multipart.exceptions import MultipartParseError

from jacinthmount_node.net.forms import UploadForm, make_parser
from jacinthmount_node.net.http_messages import HttpRequest
from jacinthmount_node.node import Node

__all__ = ('FileApi', 'describe_file')

MAX_FILE_BYTES = 209_715_200


class FileApi:
    """Stores and reads the files of accounts."""

    __slots__ = ('_node',)

    def __init__(self, *, node: Node) -> None:
        self._node = node

    async def upload(self, account: str, request: HttpRequest) -> FileManifest:
        """Stores an uploaded batch file; it is durable once this returns.

        :raises MalformedRequest: the form is not valid.
        :raises BatchFileInvalid: lines are not valid; no file was created.
        """
        form = UploadForm()
        parser = make_parser(request, form)
        builder = ChunkBuilder()
        file_id = f'file-{uuid.uuid4().hex}'
        chunks = 0
        try:
            async for piece in request.iter_body(MAX_FILE_BYTES):
                await request.keep(
                    len(piece) + builder.held_bytes + form.held_bytes
                )
                parser.write(piece)
                for part in form.take():
                    chunks = await self._write_chunks(
                        file_id,
                        chunks,
                        builder.feed(part),
                    )
                # Yields to other requests between the pieces of a large file.
                await curio.sleep(0)
            parser.finalize()
        except MultipartParseError as exc:
            raise MalformedRequest(detail=str(exc)) from exc
        chunks = await self._write_chunks(file_id, chunks, builder.finish())
        manifest = FileManifest(
            file_id=file_id,
            account=account,
            filename=form.filename,
            purpose=form.fields.get('purpose', 'batch'),
            size_bytes=builder.size_bytes,
            lines=builder.line_count,
            chunks=chunks,
            targets=sorted(builder.targets),
            created_s=time.time(),
            write_id=new_write_id(),
        )
        await write_with_retry(
            self._node.store,
            manifest_name(account, file_id),
            serialize_json(manifest),
            ABSENT,
        )
        return manifest

    async def find(self, account: str, file_id: str) -> FileManifest:
        """Reads the manifest of a file of the account.

        :raises NotFound: the account has no such file.
        """
        stored = await self._node.store.read(manifest_name(account, file_id))
        if stored is None or stored.body is None:
            raise NotFound(detail=f'no file {shorten(file_id)}')
        return parse_json(FileManifest, stored.body)

    async def list_files(self, account: str) -> list[FileManifest]:
        """Lists the files of the account."""
        listing = await self._node.store.list_names(f'{FILE_PREFIX}{account}/')
        return [
            parse_json(FileManifest, one.body or '') for one in listing.objects
        ]

    async def delete(self, account: str, file_id: str) -> None:
        """Deletes a file; its chunks stay readable for its batches.

        :raises NotFound: the account has no such file.
        """
        name = manifest_name(account, file_id)
        stored = await self._node.store.read(name)
        if stored is None:
            raise NotFound(detail=f'no file {shorten(file_id)}')
        await self._node.store.delete(name, stored.version)

    async def read_chunk(self, file_id: str, chunk: int) -> list[str]:
        """Reads the lines of one chunk.

        :raises NotFound: the file has no such chunk.
        """
        stored = await self._node.store.read(chunk_name(file_id, chunk))
        if stored is None or stored.body is None:
            raise NotFound(detail=f'no chunk {chunk} of {file_id}')
        return parse_json(FileChunk, stored.body).lines

    async def _write_chunks(
        self,
        file_id: str,
        first: int,
        chunks: list[FileChunk],
    ) -> int:
        for offset, chunk in enumerate(chunks):
            marked = replaced(chunk, write_id=new_write_id())
            await write_with_retry(
                self._node.store,
                chunk_name(file_id, first + offset),
                serialize_json(marked),
                ABSENT,
            )
        return first + len(chunks)


def describe_file(manifest: FileManifest) -> dict[str, Any]:
    """Converts a file to its representation in the API."""
    return {
        'id': manifest.file_id,
        'object': 'file',
        'bytes': manifest.size_bytes,
        'created_at': int(manifest.created_s),
        'filename': manifest.filename,
        'purpose': manifest.purpose,
        'status': 'processed',
    }


def output_file_ids(batch: BatchManifest) -> tuple[str, str]:
    """Returns the ids of the output file and the error file of a batch."""
    return f'{batch.batch_id}-output', f'{batch.batch_id}-errors'
