"""Batch input files, kept as chunks of lines."""

import json
from typing import Any

from jacinthmount.errors import BatchFileInvalid
from jacinthmount.records import Record

__all__ = (
    'ChunkBuilder',
    'FileChunk',
    'FileManifest',
    'Line',
    'chunk_name',
    'line_target',
    'manifest_name',
    'parse_line',
)

FILE_PREFIX = 'files/'
MAX_LINE_BYTES = 262_144
MAX_CHUNK_BYTES = 400_000
MAX_CHUNK_LINES = 250
MAX_FILE_LINES = 100_000
MAX_REPORTED_LINES = 20
ROUTE_URL_PREFIX = '/services/'
ITEM_METHODS = frozenset(('POST',))


class FileManifest(Record):
    """A stored file; it exists from the moment its manifest does.

    ``targets`` lists the models and route paths that its lines name.
    """

    __slots__ = (
        'file_id',
        'account',
        'filename',
        'purpose',
        'size_bytes',
        'lines',
        'chunks',
        'targets',
        'created_s',
        'write_id',
    )

    file_id: str
    account: str
    filename: str
    purpose: str
    size_bytes: int
    lines: int
    chunks: int
    targets: list[str]
    created_s: float
    write_id: str


class FileChunk(Record):
    """Some consecutive lines of a file."""

    __slots__ = ('lines', 'write_id')

    lines: list[str]
    write_id: str


class Line(Record):
    """One item of a batch file."""

    __slots__ = ('custom_id', 'url', 'body')

    custom_id: str
    url: str
    body: str


def manifest_name(account: str, file_id: str) -> str:
    """Names the manifest object of a file."""
    return f'{FILE_PREFIX}{account}/{file_id}'


def chunk_name(file_id: str, chunk: int) -> str:
    """Names a chunk object of a file."""
    return f'file-chunks/{file_id}/{chunk:06d}'


def parse_line(text: str) -> Line:
    """Parses one line of a batch file.

    :raises ValueError: the line is not a valid item.
    """
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError('not an object')
    if raw.get('method', 'POST') not in ITEM_METHODS:
        raise ValueError('method must be POST')
    custom_id = raw.get('custom_id')
    url = raw.get('url')
    body = raw.get('body')
    if not isinstance(custom_id, str) or not custom_id:
        raise ValueError('custom_id must be a text')
    if not isinstance(url, str) or not url.startswith('/'):
        raise ValueError('url must be a path')
    if not isinstance(body, dict):
        raise ValueError('body must be an object')
    return Line(custom_id=custom_id, url=url, body=_dump(body))


def line_target(line: Line) -> str:
    """Names what an item is for: a route path or a model."""
    if line.url.startswith(ROUTE_URL_PREFIX):
        return '/'.join(line.url.split('/')[:3])
    return str(json.loads(line.body).get('model', ''))


class ChunkBuilder:
    """Splits a stream of bytes into checked chunks of lines."""

    __slots__ = (
        '_bad',
        '_custom_ids',
        '_lines',
        '_partial',
        '_size',
        'line_count',
        'size_bytes',
        'targets',
    )

    def __init__(self) -> None:
        """Starts at the first line."""
        self._partial = b''
        self._lines: list[str] = []
        self._size = 0
        self._bad: list[int] = []
        self._custom_ids: set[str] = set()
        self.line_count = 0
        self.size_bytes = 0
        self.targets: set[str] = set()

    def feed(self, piece: bytes) -> list[FileChunk]:
        """Takes the next bytes of the file.

        :returns: chunks that are complete.
        :raises BatchFileInvalid: a line is too long, or there are too many.
        """
        self.size_bytes += len(piece)
        *whole, rest = (self._partial + piece).split(b'\n')
        self._partial = rest
        if len(self._partial) > MAX_LINE_BYTES:
            raise self._invalid('line too long', [self.line_count + 1])
        chunks = []
        for raw in whole:
            chunks.extend(self._add(raw))
        return chunks

    def finish(self) -> list[FileChunk]:
        """Ends the file.

        :returns: the last chunk, if any line is left.
        :raises BatchFileInvalid: lines are not valid, or there are none.
        """
        chunks = self._add(self._partial)
        self._partial = b''
        if self._bad:
            raise self._invalid('lines are not valid items', self._bad)
        if not self.line_count:
            raise self._invalid('the file has no lines', [])
        if self._lines:
            chunks.append(self._cut())
        return chunks

    def _add(self, raw: bytes) -> list[FileChunk]:
        if not raw.strip():
            return []
        self.line_count += 1
        if self.line_count > MAX_FILE_LINES or len(raw) > MAX_LINE_BYTES:
            raise self._invalid('too many or too long lines', [self.line_count])
        try:
            text = raw.decode()
            line = parse_line(text)
            if line.custom_id in self._custom_ids:
                raise ValueError('custom_id repeats')
        except (ValueError, RecursionError):
            self._note_bad()
            return []
        self._custom_ids.add(line.custom_id)
        self.targets.add(line_target(line))
        self._lines.append(text)
        self._size += len(raw)
        full = self._size >= MAX_CHUNK_BYTES
        if full or len(self._lines) >= MAX_CHUNK_LINES:
            return [self._cut()]
        return []

    def _note_bad(self) -> None:
        if len(self._bad) < MAX_REPORTED_LINES:
            self._bad.append(self.line_count)

    def _cut(self) -> FileChunk:
        chunk = FileChunk(lines=self._lines, write_id='')
        self._lines = []
        self._size = 0
        return chunk

    def _invalid(self, detail: str, lines: list[int]) -> BatchFileInvalid:
        shown = ', '.join(str(line) for line in lines)
        where = f'; line {shown}' if shown else ''
        return BatchFileInvalid(detail=f'{detail}{where}', lines=lines)


def _dump(body: dict[str, Any]) -> str:
    return json.dumps(body, separators=(',', ':'))
