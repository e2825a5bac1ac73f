"""Batch API for client accounts: create, read, cancel, results."""

import contextlib
import json
import time
import types
import uuid
from typing import Any

from jacinthmount.batches import (
    BATCH_CANCELLED,
    BATCH_COMPLETED,
    BATCH_OPEN,
    BATCH_PREFIX,
    ENDED_PREFIX,
    BatchManifest,
    batch_name,
    derive_batch_id,
    ended_name,
)
from jacinthmount.claims import Claim
from jacinthmount.errors import (
    IdempotencyMismatch,
    MalformedRequest,
    NotFound,
    StoreConflict,
    StoreUnavailable,
    shorten,
)
from jacinthmount.files import parse_line
from jacinthmount.idempotency import hash_request
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.results import (
    DONE,
    ChunkResults,
    ResultRecord,
    Segment,
    result_prefix,
)
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.batches.files_api import FileApi, output_file_ids
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.node import Node

__all__ = ('BatchApi', 'describe_batch', 'read_results')

MIN_WINDOW_S = 60
MAX_WINDOW_S = 604_800
WINDOW_UNITS_S = types.MappingProxyType({
    's': 1,
    'm': 60,
    'h': 3600,
    'd': 86400,
})
MAX_METADATA_ENTRIES = 16
CANCEL_ATTEMPTS = 5


class BatchApi:
    """Creates, reads and cancels batches."""

    __slots__ = ('_files', '_node', '_sync')

    def __init__(
        self,
        *,
        node: Node,
        files: FileApi,
        sync: ConfigSync,
    ) -> None:
        self._node = node
        self._files = files
        self._sync = sync

    async def create(
        self,
        account: str,
        raw: dict[str, Any],
        idempotency_key: str,
    ) -> BatchManifest:
        """Creates a batch; it is durable once this returns.

        A repeated request with the same idempotency key returns the batch of
        the first one.

        :raises MalformedRequest: a field is not valid.
        :raises NotFound: the account has no such input file.
        :raises IdempotencyMismatch: the key was used with another body.
        """
        window, window_s = _parse_window(raw.get('completion_window', '24h'))
        file_id = raw.get('input_file_id')
        if not isinstance(file_id, str):
            raise MalformedRequest(detail='input_file_id must be a text')
        batch_id = derive_batch_id(account, idempotency_key or uuid.uuid4().hex)
        encoded = json.dumps(raw, sort_keys=True).encode()
        request_hash = hash_request('POST', '/v1/batches', encoded)
        found = await self._find(account, batch_id)
        if found is None:
            source = await self._files.find(account, file_id)
            now_s = time.time()
            manifest = BatchManifest(
                batch_id=batch_id,
                account=account,
                input_file=file_id,
                endpoint=str(raw.get('endpoint', '')),
                chunks=source.chunks,
                lines=source.lines,
                targets=source.targets,
                created_s=now_s,
                deadline_s=now_s + window_s,
                state=BATCH_OPEN,
                ended_s=None,
                completed=0,
                failed=0,
                window=window,
                metadata=_parse_metadata(raw.get('metadata')),
                request_hash=request_hash,
                write_id=new_write_id(),
            )
            found = await self._create(manifest)
        if found.request_hash != request_hash:
            raise IdempotencyMismatch(
                detail='the key was used with another body'
            )
        return found

    async def find(self, account: str, batch_id: str) -> BatchManifest:
        """Reads a batch of the account.

        :raises NotFound: the account has no such batch.
        """
        found = await self._find(account, batch_id)
        if found is None:
            raise NotFound(detail=f'no batch {shorten(batch_id)}')
        return found

    async def list_batches(self, account: str) -> list[BatchManifest]:
        """Lists the batches of the account, the newest first."""
        store = self._node.store
        found = {}
        for prefix in (BATCH_PREFIX, ENDED_PREFIX):
            listing = await store.list_names(f'{prefix}{account}/')
            for stored in listing.objects:
                manifest = parse_json(BatchManifest, stored.body or '')
                found[manifest.batch_id] = manifest
        return sorted(
            found.values(),
            key=lambda one: one.created_s,
            reverse=True,
        )

    async def cancel(self, account: str, batch_id: str) -> BatchManifest:
        """Cancels an open batch; once this returns, it is durable.

        :raises StoreUnavailable: the cancel may or may not take effect.
        """
        name = batch_name(account, batch_id)
        for _ in range(CANCEL_ATTEMPTS):
            stored = await self._node.store.read(name)
            if stored is None or stored.body is None:
                return await self.find(account, batch_id)
            manifest = parse_json(BatchManifest, stored.body)
            if manifest.state != BATCH_OPEN:
                return manifest
            with contextlib.suppress(StoreConflict):
                return await self._cancel(name, manifest, stored.version)
        raise StoreUnavailable(
            detail='the batch changed during every attempt to cancel it'
        )

    async def count(self, manifest: BatchManifest) -> tuple[int, int]:
        """Counts the items completed and failed so far."""
        if manifest.state == BATCH_COMPLETED:
            return manifest.completed, manifest.failed
        prefix = f'claims/{manifest.batch_id}/'
        listing = await self._node.store.list_names(prefix)
        claims = [parse_json(Claim, one.body or '') for one in listing.objects]
        return (
            sum(claim.completed for claim in claims),
            sum(claim.failed for claim in claims),
        )

    async def iter_output(self, account: str, file_id: str):
        """Yields the lines of an output or error file as bytes.

        :raises NotFound: the account has no such file.
        """
        batch_id, _, kind = file_id.rpartition('-')
        manifest = await self.find(account, batch_id)
        if file_id not in output_file_ids(manifest):
            raise NotFound(detail=f'no file {shorten(file_id)}')
        want_done = kind == 'output'
        for chunk in range(manifest.chunks):
            lines = await self._files.read_chunk(manifest.input_file, chunk)
            results = await read_results(
                self._node,
                batch_id,
                chunk,
                len(lines),
            )
            for record in results.records():
                if (record.state == DONE) is want_done:
                    yield _output_line(batch_id, lines[record.line], record)

    async def _find(self, account: str, batch_id: str) -> BatchManifest | None:
        open_name = batch_name(account, batch_id)
        try:
            for name in (open_name, ended_name(account, batch_id)):
                stored = await self._node.store.read(name)
                if stored is not None and stored.body is not None:
                    return parse_json(BatchManifest, stored.body)
        except StoreUnavailable:
            known = self._node.table.read(open_name)
            if known is None:
                raise
            return parse_json(BatchManifest, known.body or '')
        return None

    async def _create(self, manifest: BatchManifest) -> BatchManifest:
        name = batch_name(manifest.account, manifest.batch_id)
        body = serialize_json(manifest)
        try:
            version = await write_with_retry(
                self._node.store,
                name,
                body,
                ABSENT,
            )
        except StoreConflict:
            return await self.find(manifest.account, manifest.batch_id)
        await self._publish(name, version, body)
        return manifest

    async def _cancel(
        self,
        name: str,
        manifest: BatchManifest,
        version: int,
    ) -> BatchManifest:
        completed, failed = await self.count(manifest)
        cancelled = replaced(
            manifest,
            state=BATCH_CANCELLED,
            ended_s=time.time(),
            completed=completed,
            failed=failed,
            write_id=new_write_id(),
        )
        body = serialize_json(cancelled)
        written = await write_with_retry(self._node.store, name, body, version)
        await self._publish(name, written, body)
        return cancelled

    async def _publish(self, name: str, version: int, body: str) -> None:
        await self._sync.apply_objects(
            [Stored(name=name, version=version, body=body)],
            push=True,
        )


async def read_results(
    node: Node,
    batch_id: str,
    chunk: int,
    lines: int,
) -> ChunkResults:
    """Folds the result log of a chunk."""
    results = ChunkResults(lines=lines)
    listing = await node.store.list_names(result_prefix(batch_id, chunk))
    for one in listing.objects:
        results.fold(parse_json(Segment, one.body or ''))
    return results


def describe_batch(
    manifest: BatchManifest,
    completed: int,
    failed: int,
) -> dict[str, Any]:
    """Converts a batch to its representation in the API."""
    output, errors = output_file_ids(manifest)
    states = {
        BATCH_OPEN: 'in_progress',
        BATCH_CANCELLED: 'cancelled',
        BATCH_COMPLETED: 'completed',
    }
    ended = int(manifest.ended_s) if manifest.ended_s else None
    cancelled = manifest.state == BATCH_CANCELLED
    return {
        'id': manifest.batch_id,
        'object': 'batch',
        'endpoint': manifest.endpoint,
        'input_file_id': manifest.input_file,
        'completion_window': manifest.window,
        'status': states[manifest.state],
        'output_file_id': output,
        'error_file_id': errors,
        'created_at': int(manifest.created_s),
        'expires_at': int(manifest.deadline_s),
        'completed_at': None if cancelled else ended,
        'cancelled_at': ended if cancelled else None,
        'metadata': manifest.metadata or None,
        'request_counts': {
            'total': manifest.lines,
            'completed': completed,
            'failed': failed,
        },
    }


def _output_line(batch_id: str, text: str, record: ResultRecord) -> bytes:
    custom_id = parse_line(text).custom_id
    row: dict[str, Any] = {
        'id': f'{batch_id}-{custom_id}',
        'custom_id': custom_id,
        'response': None,
        'error': None,
    }
    if record.status:
        row['response'] = {
            'status_code': record.status,
            'request_id': f'{batch_id}-{custom_id}',
            'body': json.loads(record.body),
        }
    else:
        row['error'] = {'code': str(record.code), 'message': record.body}
    return b'%s\n' % json.dumps(row, separators=(',', ':')).encode()


def _parse_window(raw: Any) -> tuple[str, float]:
    text = str(raw)
    unit = WINDOW_UNITS_S.get(text[-1:])
    if unit is None or not text[:-1].isdecimal():
        raise MalformedRequest(detail='completion_window must be like 24h')
    window_s = int(text[:-1]) * unit
    if not MIN_WINDOW_S <= window_s <= MAX_WINDOW_S:
        raise MalformedRequest(
            detail='completion_window must be from 60s to 7d',
        )
    return text, window_s


def _parse_metadata(raw: Any) -> dict[str, str]:
    if raw is None:
        return {}
    valid = (
        isinstance(raw, dict)
        and len(raw) <= MAX_METADATA_ENTRIES
        and all(isinstance(member, str) for member in raw.values())
    )
    if not valid:
        raise MalformedRequest(detail='metadata must map texts to texts')
    return raw
