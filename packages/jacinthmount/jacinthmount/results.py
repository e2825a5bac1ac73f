"""Result log of a chunk of a batch.

Of several terminal records of an item the first one is valid.
"""

from jacinthmount.errors import ValueTooLarge
from jacinthmount.records import Record, count_json_bytes, replaced

__all__ = (
    'DONE',
    'FAILED',
    'MAX_RESULT_BYTES',
    'MAX_SEGMENT_BYTES',
    'RECORD_OVERHEAD_BYTES',
    'STARTED',
    'ChunkResults',
    'ResultRecord',
    'Segment',
    'limit_record',
    'record_bytes',
    'result_prefix',
    'segment_name',
)

STARTED = 'started'
DONE = 'done'
FAILED = 'failed'
# States after which an item has its final result.
TERMINAL = frozenset((DONE, FAILED))
# Sizes in JSON.
MAX_SEGMENT_BYTES = 600_000
MAX_RESULT_BYTES = 900_000
RECORD_OVERHEAD_BYTES = 100


class ResultRecord(Record):
    """Start or result of one item; ``line`` counts from 0 within its chunk."""

    __slots__ = ('line', 'state', 'status', 'body', 'code')

    line: int
    state: str
    status: int
    body: str
    code: int


class Segment(Record):
    """Records that were appended by one conditional create."""

    __slots__ = ('holder', 'records', 'write_id')

    holder: str
    records: list[ResultRecord]
    write_id: str


def record_bytes(record: ResultRecord) -> int:
    """Returns the size of a record in a segment."""
    return count_json_bytes(record.body) + RECORD_OVERHEAD_BYTES


def limit_record(record: ResultRecord) -> ResultRecord:
    """Returns a record, or a failure if the store can't take its body."""
    size = record_bytes(record)
    if size <= MAX_RESULT_BYTES:
        return record
    return replaced(
        record,
        state=FAILED,
        body=f'the answer takes {size} bytes, {MAX_RESULT_BYTES} allowed',
        code=ValueTooLarge.code,
    )


def result_prefix(batch_id: str, chunk: int) -> str:
    """Returns the prefix of the names of all segments of a chunk."""
    return f'results/{batch_id}/{chunk:06d}/'


def segment_name(batch_id: str, chunk: int, index: int) -> str:
    """Returns the object name of one segment of a chunk."""
    return f'{result_prefix(batch_id, chunk)}{index:06d}'


class ChunkResults:
    """The state of a chunk after the segments that were read so far."""

    __slots__ = ('_lines', '_records', '_started', 'next_index')

    def __init__(self, *, lines: int) -> None:
        """Creates the state of a chunk of some lines with an empty log."""
        self._lines = lines
        self._records: dict[int, ResultRecord] = {}
        self._started: dict[int, str] = {}
        self.next_index = 0

    def fold(self, segment: Segment) -> None:
        """Applies the segment at ``next_index``."""
        self.next_index += 1
        for record in segment.records:
            if not 0 <= record.line < self._lines:
                continue
            if record.state == STARTED:
                self._started.setdefault(record.line, segment.holder)
            elif record.state in TERMINAL:
                self._records.setdefault(record.line, record)

    def pending(self) -> list[int]:
        """Returns the lines without a result."""
        return [
            line for line in range(self._lines) if line not in self._records
        ]

    def is_terminal(self, line: int) -> bool:
        """Returns whether a line has a result."""
        return line in self._records

    def started_by(self, line: int) -> str | None:
        """Returns the host that recorded the start of an item, or None.

        Only the start of a non-idempotent item is recorded.
        """
        return self._started.get(line)

    def complete(self) -> bool:
        """Returns whether every line has a result."""
        return len(self._records) == self._lines

    def counts(self) -> tuple[int, int]:
        """Returns the numbers of completed and failed items."""
        done = sum(record.state == DONE for record in self._records.values())
        return done, len(self._records) - done

    def records(self) -> list[ResultRecord]:
        """Returns the results in line order."""
        return [self._records[line] for line in sorted(self._records)]
