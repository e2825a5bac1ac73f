"""Batches as a caller: upload, create, follow, read."""

import json
import uuid
from http import HTTPStatus
from http.client import HTTPConnection
from typing import Any

from jacinthmount.errors import JacinthmountError, PeerUnavailable

__all__ = ('Caller',)

TIMEOUT_S = 60.0
READ_BYTES = 65_536


class Caller:
    """A caller with a key at one host."""

    __slots__ = ('_front', '_key')

    def __init__(self, *, front: str, key: str) -> None:
        """Takes the address of the host and the key."""
        self._front = front
        self._key = key

    def submit(
        self,
        lines: bytes,
        window: str,
        idempotency_key: str,
    ) -> dict[str, Any]:
        """Uploads a file and creates its batch.

        :param lines: the JSONL file.
        """
        boundary = uuid.uuid4().hex
        uploaded = self._call(
            'POST',
            '/v1/files',
            _multipart(boundary, lines),
            {'content-type': f'multipart/form-data; boundary={boundary}'},
        )
        body = json.dumps({
            'input_file_id': uploaded['id'],
            'endpoint': '/v1/chat/completions',
            'completion_window': window,
        }).encode()
        headers = {'content-type': 'application/json'}
        if idempotency_key:
            headers['idempotency-key'] = idempotency_key
        return self._call('POST', '/v1/batches', body, headers)

    def read(self, batch_id: str) -> dict[str, Any]:
        """Reads a batch."""
        return self._call('GET', f'/v1/batches/{batch_id}', b'', {})

    def cancel(self, batch_id: str) -> dict[str, Any]:
        """Cancels a batch."""
        return self._call('POST', f'/v1/batches/{batch_id}/cancel', b'', {})

    def iter_results(self, batch_id: str):
        """Yields the output file and then the error file in pieces."""
        for kind in ('output', 'errors'):
            path = f'/v1/files/{batch_id}-{kind}/content'
            conn = HTTPConnection(self._front, timeout=TIMEOUT_S)
            try:
                conn.request('GET', path, headers=self._headers({}))
                answer = conn.getresponse()
                _raise_error(answer.status, b'')
                while piece := answer.read(READ_BYTES):
                    yield piece
            finally:
                conn.close()

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> dict[str, Any]:
        conn = HTTPConnection(self._front, timeout=TIMEOUT_S)
        try:
            conn.request(method, path, body, self._headers(headers))
            answer = conn.getresponse()
            packed = answer.read()
        except OSError as exc:
            raise PeerUnavailable(detail=f'{self._front}: {exc}') from exc
        finally:
            conn.close()
        _raise_error(answer.status, packed)
        return json.loads(packed)

    def _headers(self, headers: dict[str, str]) -> dict[str, str]:
        return {'authorization': f'Bearer {self._key}', **headers}


def _multipart(boundary: str, lines: bytes) -> bytes:
    mark = boundary.encode()
    return b''.join((
        b'--',
        mark,
        b'\r\n',
        b'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n',
        b'--',
        mark,
        b'\r\n',
        b'Content-Disposition: form-data; name="file"; ',
        b'filename="batch.jsonl"\r\n',
        b'Content-Type: application/jsonl\r\n\r\n',
        lines,
        b'\r\n--',
        mark,
        b'--\r\n',
    ))


def _raise_error(status: int, packed: bytes) -> None:
    if status < HTTPStatus.BAD_REQUEST:
        return
    try:
        detail = json.loads(packed)['error']['message']
    except (ValueError, LookupError):
        detail = ''
    raise JacinthmountError(detail=f'status {status}: {detail}')
