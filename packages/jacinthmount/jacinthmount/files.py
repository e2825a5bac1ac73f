"""Batch input files, stored as chunks of lines."""

import json
from typing import Any

from jacinthmount.errors import BatchFileInvalid
from jacinthmount.hashing import hash_text
from jacinthmount.records import Record, count_json_bytes

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
# In JSON; one line may exceed it.
MAX_CHUNK_BYTES = 400_000
MAX_CHUNK_LINES = 250
MAX_FILE_LINES = 100_000
MAX_REPORTED_LINES = 20
# Copies of the lines of a chunk while it is written.
LINE_COPIES = 3
# Integers and texts in sets.
ID_HASH_BYTES = 80
TARGET_BYTES = 120
ROUTE_URL_PREFIX = '/services/'
ITEM_METHODS = frozenset(('POST',))


class FileManifest(Record):
    """Manifest of a stored file; the file exists once this is written.

    ``targets`` lists the models and route paths that its lines address.
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
    """Consecutive lines of a file, stored as one object."""

    __slots__ = ('lines', 'write_id')

    lines: list[str]
    write_id: str


class Line(Record):
    """A parsed line of a batch file, which is one batch item."""

    __slots__ = ('custom_id', 'url', 'body')

    custom_id: str
    url: str
    body: str


def manifest_name(account: str, file_id: str) -> str:
    """Returns the object name of the manifest of a file."""
    return f'{FILE_PREFIX}{account}/{file_id}'


def chunk_name(file_id: str, chunk: int) -> str:
    """Returns the object name of a chunk of a file."""
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
    return Line(custom_id=custom_id, url=url, body=_serialize_body(body))


def line_target(line: Line) -> str:
    """Returns the route path or the model that an item addresses."""
    if line.url.startswith(ROUTE_URL_PREFIX):
        return '/'.join(line.url.split('/')[:3])
    return str(json.loads(line.body).get('model', ''))


class ChunkBuilder:
    """Splits an uploaded file into chunks of validated lines."""

    __slots__ = (
        '_invalid_lines',
        '_id_hashes',
        '_lines',
        '_partial',
        '_chunk_bytes',
        '_target_bytes',
        'line_count',
        'size_bytes',
        'targets',
    )

    def __init__(self) -> None:
        self._partial = b''
        self._lines: list[str] = []
        self._chunk_bytes = 0
        self._invalid_lines: list[int] = []
        # Ids may be as long as lines.
        self._id_hashes: set[int] = set()
        self._target_bytes = 0
        self.line_count = 0
        self.size_bytes = 0
        self.targets: set[str] = set()

    @property
    def held_bytes(self) -> int:
        """Estimate of the memory that the file takes until it is complete."""
        lines = len(self._partial) + self._chunk_bytes
        ids = len(self._id_hashes) * ID_HASH_BYTES
        return lines * LINE_COPIES + ids + self._target_bytes

    def feed(self, piece: bytes) -> list[FileChunk]:
        """Adds the next bytes of the file.

        :returns: the chunks that they complete.
        :raises BatchFileInvalid: a line is too long, or there are too many.
        """
        self.size_bytes += len(piece)
        *complete, rest = (self._partial + piece).split(b'\n')
        self._partial = rest
        if len(self._partial) > MAX_LINE_BYTES:
            raise self._make_error('line too long', [self.line_count + 1])
        chunks = []
        for raw in complete:
            chunks.extend(self._add_line(raw))
        return chunks

    def finish(self) -> list[FileChunk]:
        """Completes the file.

        :returns: the last chunk, if lines remain.
        :raises BatchFileInvalid: there are invalid lines, or no lines.
        """
        chunks = self._add_line(self._partial)
        self._partial = b''
        if self._invalid_lines:
            raise self._make_error(
                'lines are not valid items', self._invalid_lines
            )
        if not self.line_count:
            raise self._make_error('the file has no lines', [])
        if self._lines:
            chunks.append(self._end_chunk())
        return chunks

    def _add_line(self, raw: bytes) -> list[FileChunk]:
        if not raw.strip():
            return []
        self.line_count += 1
        if self.line_count > MAX_FILE_LINES or len(raw) > MAX_LINE_BYTES:
            raise self._make_error(
                'too many or too long lines', [self.line_count]
            )
        try:
            text = raw.decode()
            line = parse_line(text)
            id_hash = hash_text(line.custom_id)
            if id_hash in self._id_hashes:
                raise ValueError('custom_id repeats')
        except (ValueError, RecursionError):
            self._add_invalid_line()
            return []
        self._id_hashes.add(id_hash)
        self._add_target(line_target(line))
        return self._add_text(text)

    def _add_text(self, text: str) -> list[FileChunk]:
        chunks = []
        size = count_json_bytes(text)
        if self._lines and self._chunk_bytes + size > MAX_CHUNK_BYTES:
            chunks.append(self._end_chunk())
        self._lines.append(text)
        self._chunk_bytes += size
        if len(self._lines) >= MAX_CHUNK_LINES:
            chunks.append(self._end_chunk())
        return chunks

    def _add_target(self, target: str) -> None:
        if target not in self.targets:
            self.targets.add(target)
            self._target_bytes += len(target) + TARGET_BYTES

    def _add_invalid_line(self) -> None:
        if len(self._invalid_lines) < MAX_REPORTED_LINES:
            self._invalid_lines.append(self.line_count)

    def _end_chunk(self) -> FileChunk:
        chunk = FileChunk(lines=self._lines, write_id='')
        self._lines = []
        self._chunk_bytes = 0
        return chunk

    def _make_error(self, detail: str, lines: list[int]) -> BatchFileInvalid:
        shown = ', '.join(str(line) for line in lines)
        suffix = f'; line {shown}' if shown else ''
        return BatchFileInvalid(detail=f'{detail}{suffix}', lines=lines)


def _serialize_body(body: dict[str, Any]) -> str:
    return json.dumps(body, separators=(',', ':'))
