"""Counts what callers lost, and what it cost, from logs of several hosts."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType

from jacinthmount.records import Record

from jacinthmount_ctl.stories import LogLine

__all__ = ('LossReport', 'count_losses', 'format_losses')

# A run that is preempted sooner has only cost the endpoint its start.
SHORT_RUN_S = 0.25
STORE_CALLS_EVENT = 'store_calls'


class LossReport(Record):
    """Numbers of log lines by cause, and of calls to the store by kind."""

    __slots__ = ('causes', 'store_calls')

    causes: Counter[str]
    store_calls: Counter[str]


def _refused(line: LogLine) -> str:
    status, code = line.fields.get('status'), line.fields.get('code')
    return f'refused with {status}, code {code}'


def _served(line: LogLine) -> str:
    waited_s = float(line.fields.get('waited_s', 0))
    target_s = float(line.fields.get('target_s', 0))
    if not target_s or float(line.fields.get('first_s', 0)) <= target_s:
        return ''
    if int(line.fields.get('attempts', 1)) > 1:
        return 'late after several attempts'
    if waited_s > target_s / 2:
        return 'late after a wait for a token or an endpoint'
    return 'late at the endpoint'


def _lost(line: LogLine) -> str:
    error = str(line.fields.get('error', '')).partition(':')[0]
    return f'attempt lost at {line.fields.get("stage")}: {error}'


def _item_done(line: LogLine) -> str:
    if not line.fields.get('completed'):
        return 'item failed'
    return 'item late' if float(line.fields.get('slack_s', 0)) < 0 else ''


def _gave_way(line: LogLine) -> str:
    if float(line.fields.get('ran_s', SHORT_RUN_S)) < SHORT_RUN_S:
        return 'item preempted just after its start'
    return 'item preempted'


CAUSES: Mapping[str, Callable[[LogLine], str]] = MappingProxyType({
    'refused': _refused,
    'served': _served,
    'attempt_lost': _lost,
    'attempt_refused': lambda line: 'attempt refused by the endpoint',
    'item_done': _item_done,
    'item_gave_way': _gave_way,
    'item_lost': lambda line: 'item run lost',
    'item_refused': lambda line: 'item refused by the endpoint',
    'item_given_up': lambda line: 'item given up',
    'rate_credit': lambda line: 'token taken on credit',
})


def count_losses(lines: Iterable[LogLine]) -> LossReport:
    """Counts the lines that tell of a loss, by its cause."""
    report = LossReport(causes=Counter(), store_calls=Counter())
    for line in lines:
        if line.event == STORE_CALLS_EVENT:
            report.store_calls.update(line.fields)
            continue
        find_cause = CAUSES.get(line.event)
        cause = find_cause(line) if find_cause else ''
        if cause:
            report.causes[cause] += 1
    return report


def format_losses(report: LossReport) -> Iterator[str]:
    """Formats a report as text, the most frequent causes first."""
    for cause, count in report.causes.most_common():
        yield f'{count:8d}  {cause}'
    for call, count in report.store_calls.most_common():
        yield f'{count:8d}  store call: {call.replace("_", " ")}'
