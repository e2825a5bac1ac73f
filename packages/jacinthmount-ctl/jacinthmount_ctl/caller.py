"""Blocking client of the public batch API."""

import json
import uuid
from http import HTTPStatus
from http.client import HTTPConnection
from typing import Any

from jacinthmount.errors import JacinthmountError, PeerUnavailable

__all__ = ('Caller',)

REQUEST_TIMEOUT_S = 60.0
READ_CHUNK_BYTES = 65_536


class Caller:
    """Client of the batch API at one host.

    :param front: ``IP:port`` of the front of the host.
    :param key: key of a client account.
    """

    __slots__ = ('_front', '_key')

    def __init__(self, *, front: str, key: str) -> None:
        self._front = front
        self._key = key

    def submit(
        self,
        lines: bytes,
        window: str,
        idempotency_key: str,
    ) -> dict[str, Any]:
        """Uploads a file and creates a batch from it.

        :param lines: content of the JSONL file.
        :param window: time until the deadline, such as ``30m`` or ``24h``.
        :param idempotency_key: repeated calls with the same key return the
            same batch; empty for none.
        :returns: the batch object of the API.
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
        """Returns the batch object of the API."""
        return self._call('GET', f'/v1/batches/{batch_id}', b'', {})

    def cancel(self, batch_id: str) -> dict[str, Any]:
        """Cancels a batch and returns its batch object."""
        return self._call('POST', f'/v1/batches/{batch_id}/cancel', b'', {})

    def iter_results(self, batch_id: str):
        """Yields the output file and then the error file in blocks of bytes."""
        for kind in ('output', 'errors'):
            path = f'/v1/files/{batch_id}-{kind}/content'
            conn = HTTPConnection(self._front, timeout=REQUEST_TIMEOUT_S)
            try:
                conn.request('GET', path, headers=self._headers({}))
                response = conn.getresponse()
                _raise_for_status(response.status, b'')
                while chunk := response.read(READ_CHUNK_BYTES):
                    yield chunk
            finally:
                conn.close()

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> dict[str, Any]:
        conn = HTTPConnection(self._front, timeout=REQUEST_TIMEOUT_S)
        try:
            conn.request(method, path, body, self._headers(headers))
            response = conn.getresponse()
            payload = response.read()
        except OSError as exc:
            raise PeerUnavailable(detail=f'{self._front}: {exc}') from exc
        finally:
            conn.close()
        _raise_for_status(response.status, payload)
        return json.loads(payload)

    def _headers(self, headers: dict[str, str]) -> dict[str, str]:
        return {'authorization': f'Bearer {self._key}', **headers}


def _multipart(boundary: str, lines: bytes) -> bytes:
    delimiter = boundary.encode()
    return b''.join((
        b'--',
        delimiter,
        b'\r\n',
        b'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n',
        b'--',
        delimiter,
        b'\r\n',
        b'Content-Disposition: form-data; name="file"; ',
        b'filename="batch.jsonl"\r\n',
        b'Content-Type: application/jsonl\r\n\r\n',
        lines,
        b'\r\n--',
        delimiter,
        b'--\r\n',
    ))


def _raise_for_status(status: int, payload: bytes) -> None:
    if status < HTTPStatus.BAD_REQUEST:
        return
    try:
        detail = json.loads(payload)['error']['message']
    except (ValueError, LookupError):
        detail = ''
    raise JacinthmountError(detail=f'status {status}: {detail}')
