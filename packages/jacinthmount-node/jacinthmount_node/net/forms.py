"""Streaming parser for multipart upload forms."""

from typing import Any

from jacinthmount.errors import MalformedRequest
from python_multipart import MultipartParser
from python_multipart.multipart import parse_options_header

from jacinthmount_node.net.http_messages import HttpRequest

__all__ = ('UploadForm', 'make_parser')

# Longer values of form fields are truncated.
MAX_FIELD_BYTES = 1024
MAX_FIELDS = 64
# Objects of a field beside its characters.
FIELD_BYTES = 200


class UploadForm:
    """Collects the fields and file pieces that the parser of a form emits."""

    __slots__ = (
        '_field',
        '_header_name',
        '_headers',
        '_header_value',
        'fields',
        'filename',
        'pieces',
    )

    def __init__(self) -> None:
        self.fields: dict[str, str] = {}
        self.filename = ''
        self.pieces: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        self._header_name = b''
        self._header_value = b''
        self._field = ''

    def callbacks(self) -> Any:
        """Returns the callbacks for the parser."""
        return {
            'on_part_begin': self._on_part_begin,
            'on_header_field': self._on_header_field,
            'on_header_value': self._on_header_value,
            'on_header_end': self._on_header_end,
            'on_headers_finished': self._on_headers_finished,
            'on_part_data': self._on_part_data,
        }

    @property
    def held_bytes(self) -> int:
        """Bytes of the fields, which stay until the form is complete."""
        return sum(
            len(name) + len(text) + FIELD_BYTES
            for name, text in self.fields.items()
        )

    def take(self) -> list[bytes]:
        """Returns and removes the file pieces parsed since the last call."""
        taken = self.pieces
        self.pieces = []
        return taken

    def _on_part_begin(self) -> None:
        self._headers = {}
        self._header_name = b''
        self._header_value = b''

    def _on_header_field(self, received: bytes, start: int, end: int) -> None:
        self._header_name += received[start:end]

    def _on_header_value(self, received: bytes, start: int, end: int) -> None:
        self._header_value += received[start:end]

    def _on_header_end(self) -> None:
        self._headers[self._header_name.lower()] = self._header_value
        self._header_name = b''
        self._header_value = b''

    def _on_headers_finished(self) -> None:
        _, options = parse_options_header(
            self._headers.get(b'content-disposition', b''),
        )
        self._field = options.get(b'name', b'').decode('utf-8', 'replace')
        if self._field == 'file':
            name = options.get(b'filename', b'batch.jsonl')
            self.filename = name.decode('utf-8', 'replace')

    def _on_part_data(self, received: bytes, start: int, end: int) -> None:
        if self._field == 'file':
            self.pieces.append(received[start:end])
            return
        if self._field not in self.fields and len(self.fields) >= MAX_FIELDS:
            raise MalformedRequest(detail=f'more than {MAX_FIELDS} fields')
        extended = self.fields.get(self._field, '') + received[
            start:end
        ].decode(
            'utf-8',
            'replace',
        )
        self.fields[self._field] = extended[:MAX_FIELD_BYTES]


def make_parser(request: HttpRequest, form: UploadForm) -> MultipartParser:
    """Creates the parser for an upload.

    :raises MalformedRequest: the request is not a multipart form.
    """
    kind, options = parse_options_header(
        request.headers.get('content-type', '').encode('latin-1'),
    )
    boundary = options.get(b'boundary', b'')
    if kind != b'multipart/form-data' or not boundary:
        raise MalformedRequest(detail='send multipart/form-data')
    return MultipartParser(boundary, form.callbacks())
