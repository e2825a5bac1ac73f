"""Claims and result log: one result per item, one run if not idempotent.

Two workers process one chunk of two items, which are idempotent or not. Any
lease may be judged expired at any time, and each worker may crash once between
any two steps. Claims and the folding of the log are the production code.
"""

from collections.abc import Callable

from jacinthmount.claims import Claim, may_claim, next_claim
from jacinthmount.results import (
    DONE,
    STARTED,
    ChunkResults,
    ResultRecord,
    Segment,
)
from minicheck import Protocol

__all__ = ('Rules', 'build')

# Items of the chunk, one a line.
LINES = 2
WORKERS = ('a', 'b')
MAX_EPOCH = 3
MAX_SEGMENTS = 5

# A worker is (epoch of its claim, segments folded, current item, phase).
IDLE = (0, 0, -1, '')
Worker = tuple[int, int, int, str]
# A log entry is (worker, state of the item, item).
Entry = tuple[str, str, int]


class Rules:
    """Rules that a broken variant omits."""

    __slots__ = (
        'append_unconditionally',
        'idempotent',
        'ignore_started',
        'last_wins',
    )

    def __init__(
        self,
        *,
        last_wins: bool = False,
        append_unconditionally: bool = False,
        ignore_started: bool = False,
        idempotent: bool = False,
    ) -> None:
        """Follows every rule by default.

        :param idempotent: whether items may be repeated; not a broken variant.
        """
        self.idempotent = idempotent
        self.last_wins = last_wins
        self.append_unconditionally = append_unconditionally
        self.ignore_started = ignore_started


class _State:
    __slots__ = ('claim', 'crashes', 'log', 'runs', 'seen', 'workers')

    def __init__(self, fields: tuple) -> None:
        (
            self.claim,
            self.workers,
            self.log,
            self.runs,
            self.seen,
            (self.crashes),
        ) = fields

    def key(self) -> tuple:
        return (
            self.claim,
            self.workers,
            self.log,
            self.runs,
            self.seen,
            self.crashes,
        )


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    ``claim`` is ``(holder, epoch)``. ``seen`` is the first result that a reader
    got of each item, or an empty string.
    """
    return Protocol(
        name='result log',
        candidate=False,
        fields=('claim', 'workers', 'log', 'runs', 'seen', 'crashes'),
        initial=(('', 0), (IDLE, IDLE), (), (0, 0), ('', ''), (0, 0)),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={
            'at_most_once': lambda fields: (
                rules.idempotent or max(fields['runs']) <= 1
            ),
            'result_is_stable': lambda fields: all(
                seen in {'', now}
                for seen, now in zip(
                    fields['seen'],
                    _results(fields['log'], rules),
                    strict=True,
                )
            ),
        },
    )


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    successors = []
    for index, name in enumerate(WORKERS):
        for step in (_claim, _choose, _start, _run, _finish, _crash):
            state = _State(fields)
            label = step(state, index, rules)
            if label:
                successors.append((f'{name} {label}', state.key()))
    state = _State(fields)
    state.seen = tuple(
        old or new
        for old, new in zip(
            state.seen,
            _results(state.log, rules),
            strict=True,
        )
    )
    successors.append(('read results', state.key()))
    return successors


def _claim(state: _State, index: int, rules: Rules) -> str:
    holder, epoch = state.claim
    if state.workers[index][0] or epoch >= MAX_EPOCH:
        return ''
    current = _as_claim(holder, epoch) if epoch else None
    if not may_claim(current, WORKERS[index], f'{epoch}', expired=True):
        return ''
    claim = next_claim(current, WORKERS[index], '', '')
    state.claim = (claim.holder, claim.epoch)
    _set(state, index, (claim.epoch, len(state.log), -1, ''))
    return f'claims epoch {claim.epoch}'


def _choose(state: _State, index: int, rules: Rules) -> str:
    epoch, folded, _, phase = state.workers[index]
    if not epoch or phase:
        return ''
    results = _fold(state.log[:folded])
    for line in results.pending():
        if (
            results.started_by(line) is None
            or rules.ignore_started
            or (rules.idempotent)
        ):
            _set(state, index, (epoch, folded, line, 'chosen'))
            return f'chooses item {line}'
    return ''


def _start(state: _State, index: int, rules: Rules) -> str:
    epoch, folded, line, phase = state.workers[index]
    if phase != 'chosen':
        return ''
    if rules.ignore_started or rules.idempotent:
        _set(state, index, (epoch, folded, line, 'started'))
        return f'starts item {line} without a record'
    if _append(state, index, (WORKERS[index], STARTED, line), rules):
        _set(state, index, (epoch, folded + 1, line, 'started'))
        return f'records the start of item {line}'
    _set(state, index, (epoch, folded + 1, -1, ''))
    return 'finds another segment'


def _run(state: _State, index: int, rules: Rules) -> str:
    epoch, folded, line, phase = state.workers[index]
    if phase != 'started':
        return ''
    runs = list(state.runs)
    # Two runs violate the invariant; a higher count would only add states.
    runs[line] = min(2, runs[line] + 1)
    state.runs = tuple(runs)
    _set(state, index, (epoch, folded, line, 'ran'))
    return f'runs item {line}'


def _finish(state: _State, index: int, rules: Rules) -> str:
    epoch, folded, line, phase = state.workers[index]
    if phase != 'ran':
        return ''
    if _append(state, index, (WORKERS[index], DONE, line), rules):
        _set(state, index, (epoch, folded + 1, -1, ''))
        return f'records the result of item {line}'
    if folded >= len(state.log):
        return ''
    # Another worker wrote this segment: fold it and try the next index.
    _set(state, index, (epoch, folded + 1, line, 'ran'))
    return 'finds another segment'


def _crash(state: _State, index: int, rules: Rules) -> str:
    if state.crashes[index] or not state.workers[index][0]:
        return ''
    crashes = list(state.crashes)
    crashes[index] = 1
    state.crashes = tuple(crashes)
    _set(state, index, IDLE)
    return 'crashes'


def _append(state: _State, index: int, entry: Entry, rules: Rules) -> bool:
    folded = state.workers[index][1]
    if len(state.log) >= MAX_SEGMENTS:
        return False
    if folded == len(state.log):
        state.log = (*state.log, entry)
        return True
    if rules.append_unconditionally:
        state.log = (*state.log[:folded], entry, *state.log[folded + 1 :])
        return True
    return False


def _set(state: _State, index: int, worker: Worker) -> None:
    workers = list(state.workers)
    workers[index] = worker
    state.workers = tuple(workers)


def _as_claim(holder: str, epoch: int) -> Claim:
    return Claim(
        holder=holder,
        incarnation=f'{epoch - 1}',
        epoch=epoch,
        done=False,
        completed=0,
        failed=0,
        write_id='',
    )


def _fold(log: tuple[Entry, ...]) -> ChunkResults:
    results = ChunkResults(lines=LINES)
    for holder, kind, line in log:
        record = ResultRecord(
            line=line,
            state=kind,
            status=0,
            body=holder,
            code=0,
        )
        results.fold(Segment(holder=holder, records=[record], write_id=''))
    return results


def _results(log: tuple[Entry, ...], rules: Rules) -> tuple[str, ...]:
    order: Callable = reversed if rules.last_wins else tuple
    bodies = ['' for _ in range(LINES)]
    for record in _fold(tuple(order(log))).records():
        bodies[record.line] = record.body
    return tuple(bodies)
