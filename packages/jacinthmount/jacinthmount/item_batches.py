"""Batches of requests whose results are read by position.

The manifest is written after the request bodies and before the submission is
acknowledged. Results form a log of segments. Each segment is written by a
conditional create at the next index, so the position of a result never
changes. If an item has several results, the first one is valid.
"""

import hashlib

from jacinthmount.records import Record, replaced, serialize_json

__all__ = (
    'BATCH_PREFIX',
    'BatchItem',
    'BatchLog',
    'ItemBatch',
    'BodyChunk',
    'ItemResult',
    'ResultSegment',
    'SegmentCounts',
    'batch_key',
    'batch_name',
    'chunk_name',
    'fits_manifest',
    'join_chunks',
    'make_chunks',
    'result_segment_name',
)

BATCH_PREFIX = 'batches/'
CHUNK_PREFIX = 'batch-inputs/'
RESULT_PREFIX = 'batch-results/'
# A value of the store, with its name and JSON escapes, is limited to 1 MB.
CHUNK_BYTES = 400_000
# Larger inputs are stored in chunk objects beside the manifest.
EMBEDDED_BYTES = 100_000
KEY_DIGITS = 32
# Time for which a segment count is valid after it was requested.
COUNTS_VALID_S = 0.5
# Number of stored counts from which expired ones are removed.
KEPT_COUNTS = 256


class BatchItem(Record):
    """One request of a batch; its base64 ``body`` may span several chunks."""

    __slots__ = ('item_id', 'path', 'headers', 'body', 'tokens')

    item_id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class BodyChunk(Record):
    """One chunk of a batch input: consecutive items, or a part of a body.

    ``carried`` continues the body of the last item of the previous chunk.
    """

    __slots__ = ('carried', 'items')

    carried: str
    items: list[BatchItem]


class ItemBatch(Record):
    """Manifest of an accepted batch; times are in Unix milliseconds.

    ``ended`` is set when the owner has ended the batch. ``token_counts`` has
    one entry for each of ``item_ids``. A small input is stored in
    ``embedded``; a large one is stored in ``chunks`` separate objects.
    """

    __slots__ = (
        'batch_id',
        'account',
        'route',
        'host_name',
        'accepted_at_ms',
        'due_at_ms',
        'keep_until_ms',
        'max_attempts',
        'item_ids',
        'token_counts',
        'embedded',
        'chunks',
        'ended',
        'write_id',
    )

    batch_id: str
    account: str
    route: str
    host_name: str
    accepted_at_ms: int
    due_at_ms: int
    keep_until_ms: int
    max_attempts: int
    item_ids: list[str]
    token_counts: list[int]
    embedded: BodyChunk
    chunks: int
    ended: bool
    write_id: str


class ItemResult(Record):
    """The final result of an item; ``text`` is empty if it failed."""

    __slots__ = ('item_id', 'completed', 'text')

    item_id: str
    completed: bool
    text: str


class ResultSegment(Record):
    """Results that were written together as one object."""

    __slots__ = ('results', 'write_id')

    results: list[ItemResult]
    write_id: str


def batch_key(account: str, batch_id: str) -> str:
    """Derives the key of a batch from its account and the caller's id."""
    digest = hashlib.sha256(f'{account}\0{batch_id}'.encode()).hexdigest()
    return digest[:KEY_DIGITS]


def batch_name(key: str) -> str:
    """Returns the object name of the manifest of a batch."""
    return f'{BATCH_PREFIX}{key}'


def chunk_name(key: str, index: int) -> str:
    """Returns the object name of one chunk of the input of a batch."""
    return f'{CHUNK_PREFIX}{key}.{index:05d}'


def result_segment_name(key: str, index: int) -> str:
    """Returns the object name of one segment of the result log of a batch."""
    return f'{RESULT_PREFIX}{key}.{index:05d}'


def fits_manifest(chunks: list[BodyChunk]) -> bool:
    """Returns whether the input is small enough to embed in the manifest."""
    if len(chunks) > 1:
        return False
    size = sum(len(item.body) for item in chunks[0].items)
    return size <= EMBEDDED_BYTES


def make_chunks(items: list[BatchItem]) -> list[BodyChunk]:
    """Splits items into chunks; a body larger than a chunk spans several."""
    chunks = [BodyChunk(carried='', items=[])]
    free_bytes = CHUNK_BYTES
    for item in items:
        packed = serialize_json(replaced(item, body=''))
        if free_bytes < len(packed) + min(len(item.body), CHUNK_BYTES // 2):
            chunks.append(BodyChunk(carried='', items=[]))
            free_bytes = CHUNK_BYTES
        free_bytes -= len(packed)
        first = item.body[: max(0, free_bytes)]
        chunks[-1].items.append(replaced(item, body=first))
        free_bytes -= len(first)
        rest = item.body[len(first) :]
        while rest:
            chunks.append(BodyChunk(carried=rest[:CHUNK_BYTES], items=[]))
            free_bytes = CHUNK_BYTES - len(chunks[-1].carried)
            rest = rest[CHUNK_BYTES:]
    return chunks


def join_chunks(chunks: list[BodyChunk]) -> list[BatchItem]:
    """Restores the items from all chunks of a batch."""
    items: list[BatchItem] = []
    for chunk in chunks:
        if chunk.carried:
            body = items[-1].body + chunk.carried
            items[-1] = replaced(items[-1], body=body)
        items.extend(chunk.items)
    return items


class BatchLog:
    """The results of a batch from the segments that were read so far."""

    __slots__ = ('_ids', 'bytes', 'next_index', 'results', 'total')

    def __init__(self, *, total: int) -> None:
        """Creates a log without segments.

        :param total: number of items in the batch.
        """
        self.total = total
        self.results: list[ItemResult] = []
        self.next_index = 0
        self.bytes = 0
        self._ids: set[str] = set()

    def append(self, index: int, segment: ResultSegment) -> None:
        """Adds the next segment, without results of items that have one.

        A segment at another index is ignored, as several readers may add the
        same segment.
        """
        if index != self.next_index:
            return
        self.next_index += 1
        for result in segment.results:
            if result.item_id not in self._ids:
                self._ids.add(result.item_id)
                self.results.append(result)
                self.bytes += len(result.text)

    def has_result(self, item_id: str) -> bool:
        """Returns whether an item has a result."""
        return item_id in self._ids

    @property
    def complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.results) >= self.total

    def page(self, after: int, limit_bytes: int) -> list[ItemResult]:
        """Returns results from a position on, up to a size.

        :param after: number of results to skip.
        :param limit_bytes: size limit; the first result may exceed it.
        """
        page: list[ItemResult] = []
        size = 0
        for result in self.results[after:]:
            size += len(result.text.encode())
            if page and size > limit_bytes:
                break
            page.append(result)
        return page


class SegmentCounts:
    """Cached segment counts of open batches, as reported by their runner.

    The runner writes the segments, so a reader that is up to date with a
    current count need not read the store. A count is valid for
    ``COUNTS_VALID_S`` after its request, so that repeated reads do not send
    further requests.
    """

    __slots__ = ('_replies',)

    def __init__(self) -> None:
        self._replies: dict[str, tuple[int | None, float]] = {}

    def put(self, key: str, count: int | None, requested_at: float) -> None:
        """Stores the reply for a batch, unless a newer one is stored.

        :param count: number of segments, or None if the runner does not know.
        :param requested_at: time of the request in seconds.
        """
        previous = self._replies.get(key)
        if previous is not None and requested_at < previous[1]:
            return
        if len(self._replies) >= KEPT_COUNTS:
            self._replies = {
                name: reply
                for name, reply in self._replies.items()
                if requested_at - reply[1] < COUNTS_VALID_S
            }
        self._replies[key] = (count, requested_at)

    def has_recent_reply(self, key: str, now: float) -> bool:
        """Returns whether the runner's last reply is still valid."""
        reply = self._replies.get(key)
        return reply is not None and now - reply[1] < COUNTS_VALID_S

    def count(self, key: str, now: float) -> int | None:
        """Returns the number of segments, or None if it is not known."""
        return (
            self._replies[key][0] if self.has_recent_reply(key, now) else None
        )

    def is_current(self, key: str, known: int, now: float) -> bool:
        """Returns whether a batch is known to have no further segments.

        :param known: number of segments that the reader has.
        """
        return self.count(key, now) == known
