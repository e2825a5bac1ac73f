"""Result log of a batch chunk: the first terminal record of an item wins."""

from jacinthmount.records import Record

__all__ = (
    'DONE',
    'FAILED',
    'STARTED',
    'ChunkResults',
    'ResultRecord',
    'Segment',
    'result_prefix',
    'segment_name',
)

STARTED = 'started'
DONE = 'done'
FAILED = 'failed'
TERMINAL = frozenset((DONE, FAILED))
MAX_SEGMENT_BYTES = 600_000


class ResultRecord(Record):
    """What became of one item; ``line`` counts from 0 within its chunk."""

    __slots__ = ('line', 'state', 'status', 'body', 'code')

    line: int
    state: str
    status: int
    body: str
    code: int


class Segment(Record):
    """Records appended together by one conditional create."""

    __slots__ = ('holder', 'records', 'write_id')

    holder: str
    records: list[ResultRecord]
    write_id: str


def result_prefix(batch_id: str, chunk: int) -> str:
    """Names the common prefix of a chunk's log."""
    return f'results/{batch_id}/{chunk:06d}/'


def segment_name(batch_id: str, chunk: int, index: int) -> str:
    """Names one segment of a chunk's log."""
    return f'{result_prefix(batch_id, chunk)}{index:06d}'


class ChunkResults:
    """The fold of a chunk's log so far."""

    __slots__ = ('_lines', '_records', '_started', 'next_index')

    def __init__(self, *, lines: int) -> None:
        """Starts with an empty log for a number of lines."""
        self._lines = lines
        self._records: dict[int, ResultRecord] = {}
        self._started: dict[int, str] = {}
        self.next_index = 0

    def fold(self, segment: Segment) -> None:
        """Adds the segment at ``next_index``."""
        self.next_index += 1
        for record in segment.records:
            if not 0 <= record.line < self._lines:
                continue
            if record.state == STARTED:
                self._started.setdefault(record.line, segment.holder)
            elif record.state in TERMINAL:
                self._records.setdefault(record.line, record)

    def pending(self) -> list[int]:
        """Lists the lines without a terminal record."""
        return [
            line for line in range(self._lines) if line not in self._records
        ]

    def is_terminal(self, line: int) -> bool:
        """Tells whether a line has its result."""
        return line in self._records

    def started_by(self, line: int) -> str | None:
        """Names who recorded the start of a non-idempotent item."""
        return self._started.get(line)

    def complete(self) -> bool:
        """Tells whether every line has its result."""
        return len(self._records) == self._lines

    def counts(self) -> tuple[int, int]:
        """Counts items done and failed."""
        done = sum(record.state == DONE for record in self._records.values())
        return done, len(self._records) - done

    def records(self) -> list[ResultRecord]:
        """Lists the results in line order."""
        return [self._records[line] for line in sorted(self._records)]
