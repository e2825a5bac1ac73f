"""Batches of requests whose results are read by position.

The manifest is created after the bodies and before the acknowledgement.
Results form a log of segments, each made by a conditional create at the next
index, so a position never changes. The first record of an item wins.
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
# A value of the store is a megabyte at most, with its name and quoting.
CHUNK_BYTES = 400_000
EMBEDDED_BYTES = 100_000
KEY_DIGITS = 32
COUNTS_VALID_S = 0.5
KEPT_COUNTS = 256


class BatchItem(Record):
    """One request of a batch; ``body`` is base64 and may span chunks."""

    __slots__ = ('item_id', 'path', 'headers', 'body', 'tokens')

    item_id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class BodyChunk(Record):
    """Consecutive items, or a further part of the body of the last one.

    ``carried`` continues the body of the last item of the chunk before.
    """

    __slots__ = ('carried', 'items')

    carried: str
    items: list[BatchItem]


class ItemBatch(Record):
    """An accepted batch; times are Unix milliseconds.

    ``ended`` tells that its owner ended it. ``token_counts`` goes with
    ``item_ids``. A small input is ``embedded``; a large one lies in as many
    objects as ``chunks`` says.
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
    """The final result of an item; ``text`` is empty unless it completed."""

    __slots__ = ('item_id', 'completed', 'text')

    item_id: str
    completed: bool
    text: str


class ResultSegment(Record):
    """Results written together."""

    __slots__ = ('results', 'write_id')

    results: list[ItemResult]
    write_id: str


def batch_key(account: str, batch_id: str) -> str:
    """Makes the key of a batch from its account and the id it came with."""
    digest = hashlib.sha256(f'{account}\0{batch_id}'.encode()).hexdigest()
    return digest[:KEY_DIGITS]


def batch_name(key: str) -> str:
    """Names the manifest of a batch."""
    return f'{BATCH_PREFIX}{key}'


def chunk_name(key: str, index: int) -> str:
    """Names one chunk of the input of a batch."""
    return f'{CHUNK_PREFIX}{key}.{index:05d}'


def result_segment_name(key: str, index: int) -> str:
    """Names one segment of the result log of a batch."""
    return f'{RESULT_PREFIX}{key}.{index:05d}'


def fits_manifest(chunks: list[BodyChunk]) -> bool:
    """Tells whether the input of a batch may be embedded in its manifest."""
    if len(chunks) > 1:
        return False
    size = sum(len(item.body) for item in chunks[0].items)
    return size <= EMBEDDED_BYTES


def make_chunks(items: list[BatchItem]) -> list[BodyChunk]:
    """Distributes items over chunks, also a body larger than a chunk."""
    chunks = [BodyChunk(carried='', items=[])]
    room = CHUNK_BYTES
    for item in items:
        packed = serialize_json(replaced(item, body=''))
        if room < len(packed) + min(len(item.body), CHUNK_BYTES // 2):
            chunks.append(BodyChunk(carried='', items=[]))
            room = CHUNK_BYTES
        room -= len(packed)
        first = item.body[: max(0, room)]
        chunks[-1].items.append(replaced(item, body=first))
        room -= len(first)
        rest = item.body[len(first) :]
        while rest:
            chunks.append(BodyChunk(carried=rest[:CHUNK_BYTES], items=[]))
            room = CHUNK_BYTES - len(chunks[-1].carried)
            rest = rest[CHUNK_BYTES:]
    return chunks


def join_chunks(chunks: list[BodyChunk]) -> list[BatchItem]:
    """Puts the items of all chunks together again."""
    items: list[BatchItem] = []
    for chunk in chunks:
        if chunk.carried:
            body = items[-1].body + chunk.carried
            items[-1] = replaced(items[-1], body=body)
        items.extend(chunk.items)
    return items


class BatchLog:
    """The results of a batch as far as its segments are known."""

    __slots__ = ('_ids', 'bytes', 'next_index', 'results', 'total')

    def __init__(self, *, total: int) -> None:
        """Starts without segments.

        :param total: items in the batch.
        """
        self.total = total
        self.results: list[ItemResult] = []
        self.next_index = 0
        self.bytes = 0
        self._ids: set[str] = set()

    def append(self, index: int, segment: ResultSegment) -> None:
        """Adds the next segment; repeated items are left out.

        Several readers may bring the same segment; it counts once.
        """
        if index != self.next_index:
            return
        self.next_index += 1
        for one in segment.results:
            if one.item_id not in self._ids:
                self._ids.add(one.item_id)
                self.results.append(one)
                self.bytes += len(one.text)

    def has_result(self, item_id: str) -> bool:
        """Tells whether an item has its result."""
        return item_id in self._ids

    @property
    def complete(self) -> bool:
        """Tells whether every item has its result."""
        return len(self.results) >= self.total

    def page(self, after: int, limit_bytes: int) -> list[ItemResult]:
        """Takes results from a position on, one at least if there is one."""
        found: list[ItemResult] = []
        size = 0
        for one in self.results[after:]:
            size += len(one.text.encode())
            if found and size > limit_bytes:
                break
            found.append(one)
        return found


class SegmentCounts:
    """Result segments of open batches, as the runner that writes them says.

    What was said counts for a short time from the question on, so that a reader
    who finds nothing new need not ask again.
    """

    __slots__ = ('_said',)

    def __init__(self) -> None:
        """Starts with nothing said."""
        self._said: dict[str, tuple[int | None, float]] = {}

    def put(self, key: str, count: int | None, asked_at: float) -> None:
        """Takes the answer for a batch, unless a newer one is known.

        :param count: None where the runner can't tell.
        """
        said = self._said.get(key)
        if said is not None and asked_at < said[1]:
            return
        if len(self._said) >= KEPT_COUNTS:
            self._said = {
                name: said
                for name, said in self._said.items()
                if asked_at - said[1] < COUNTS_VALID_S
            }
        self._said[key] = (count, asked_at)

    def has_recent_reply(self, key: str, now: float) -> bool:
        """Tells whether the answer to a question still counts."""
        said = self._said.get(key)
        return said is not None and now - said[1] < COUNTS_VALID_S

    def count(self, key: str, now: float) -> int | None:
        """Tells how many segments there are, if that is known."""
        return self._said[key][0] if self.has_recent_reply(key, now) else None

    def is_current(self, key: str, known: int, now: float) -> bool:
        """Tells whether a batch surely has no more segments than known."""
        return self.count(key, now) == known
