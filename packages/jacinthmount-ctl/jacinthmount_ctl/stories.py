"""Timeline of a request, an item or a batch from the logs of several hosts."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

from jacinthmount.records import Record

__all__ = (
    'LogLine',
    'Timeline',
    'build_timeline',
    'format_timeline',
    'iter_lines',
    'parse_line',
)

EVENT_PREFIX = 'jacinthmount:'
# Fields that identify the request, item or batch that a line is about.
CORRELATION_FIELDS = frozenset(('request', 'item', 'batch'))
# Fields of the log format, which do not describe the event.
ENVELOPE_FIELDS = frozenset((
    'host',
    'line',
    'message_type',
    'task_level',
    'task_uuid',
    'timestamp',
))
# Host and endpoint state usually changes before the requests that it affects,
# so more context is shown before the first matching line than after the last.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0
STARTED_EVENT = 'started'
STOPPED_EVENT = 'stopped'
DROPPED_EVENT = 'log_dropped'


class LogLine(Record):
    """One log line.

    :param at_s: Unix time in seconds by the clock of the host.
    :param number: sequence number since the host process started; 0 if unknown.
    :param fields: event-specific fields.
    """

    __slots__ = ('at_s', 'host', 'event', 'number', 'fields')

    at_s: float
    host: str
    event: str
    number: int
    fields: dict[str, Any]

    def mentions(self, wanted_id: str) -> bool:
        """Returns whether a field holds the id."""
        return wanted_id in self.fields.values()

    @property
    def has_correlation_id(self) -> bool:
        """Whether the line is about a request, an item or a batch."""
        return not CORRELATION_FIELDS.isdisjoint(self.fields)


class Timeline(Record):
    """Log lines in order of time, and descriptions of missing lines."""

    __slots__ = ('lines', 'missing')

    lines: list[LogLine]
    missing: list[str]


class _GapDetector:
    """Detects missing lines of one host from their sequence numbers."""

    __slots__ = ('last', 'missing')

    def __init__(self) -> None:
        self.last: LogLine | None = None
        self.missing: list[tuple[float, str]] = []

    def check(self, line: LogLine) -> None:
        """Records the lines missing between the previous line and this one."""
        if line.event == DROPPED_EVENT:
            self._add_gap(
                line, f'{line.fields.get("lines")} lines were dropped'
            )
        elif line.event == STARTED_EVENT:
            self._check_start(line)
        elif self.last is not None and line.number > self.last.number + 1:
            first = self.last.number + 1
            self._add_gap(
                line, f'lines {first} to {line.number - 1} are missing'
            )
        if line.number:
            self.last = line

    def _check_start(self, line: LogLine) -> None:
        if self.last is not None and self.last.event != STOPPED_EVENT:
            self._add_gap(
                line,
                'started again without having stopped; '
                'its last lines may be missing',
            )

    def _add_gap(self, line: LogLine, text: str) -> None:
        self.missing.append((line.at_s, f'{line.host}: {text}'))


def parse_line(raw: str, source: str) -> LogLine | None:
    """Parses a log line; text before its JSON object is ignored.

    :param source: host name for lines without a ``host`` field.
    :returns: None if the text is not a log line of this project.
    """
    try:
        parsed = json.loads(raw[raw.index('{') :])
    except ValueError:
        return None
    event = str(parsed.get('message_type', ''))
    if not event.startswith(EVENT_PREFIX):
        return None
    return LogLine(
        at_s=float(parsed.get('timestamp', 0)),
        host=str(parsed.get('host', source)),
        event=event.removeprefix(EVENT_PREFIX),
        number=int(parsed.get('line', 0)),
        fields={
            name: field
            for name, field in parsed.items()
            if name not in ENVELOPE_FIELDS
        },
    )


def iter_lines(files: list[str]) -> Iterator[LogLine]:
    """Reads the lines of log files, or of standard input if none is given.

    :raises OSError: a file can't be read.
    """
    if not files:
        yield from _iter_stream(sys.stdin, 'stdin')
    for name in files:
        with Path(name).open(errors='replace') as stream:
            yield from _iter_stream(stream, Path(name).stem)


def build_timeline(lines: Iterable[LogLine], wanted_id: str) -> Timeline:
    """Selects the log lines of all hosts that concern an id.

    The result also has the state changes of the involved hosts and endpoints
    shortly before, during and shortly after the matching lines.

    :param lines: the lines of each host in the order in which it wrote them.
    """
    matched: list[LogLine] = []
    state_lines: list[LogLine] = []
    hosts: dict[str, _GapDetector] = {}
    for line in lines:
        hosts.setdefault(line.host, _GapDetector()).check(line)
        if line.mentions(wanted_id):
            matched.append(line)
        elif not line.has_correlation_id:
            state_lines.append(line)
    if not matched:
        return Timeline(lines=[], missing=[])
    matched.sort(key=_order)
    start_s = matched[0].at_s - CONTEXT_BEFORE_S
    end_s = matched[-1].at_s + CONTEXT_AFTER_S
    context = _select_context(matched, state_lines, start_s, end_s)
    return Timeline(
        lines=sorted(matched + context, key=_order),
        missing=[
            text
            for detector in hosts.values()
            for at_s, text in detector.missing
            if start_s <= at_s <= end_s
        ]
        + _find_missing_logs(matched, set(hosts)),
    )


def format_timeline(timeline: Timeline) -> Iterator[str]:
    """Formats a timeline as text; times are relative to its first line."""
    for line in timeline.lines:
        after_s = line.at_s - timeline.lines[0].at_s
        fields = ' '.join(
            f'{name}={field}' for name, field in line.fields.items()
        )
        yield f'{after_s:8.3f} s  {line.host}  {line.event}  {fields}'
    for text in timeline.missing:
        yield f'missing: {text}'


def _iter_stream(stream: TextIO, source: str) -> Iterator[LogLine]:
    for raw in stream:
        line = parse_line(raw, source)
        if line is not None:
            yield line


def _order(line: LogLine) -> tuple[float, str, int]:
    return line.at_s, line.host, line.number


def _select_context(
    matched: list[LogLine],
    state_lines: list[LogLine],
    start_s: float,
    end_s: float,
) -> list[LogLine]:
    hosts = {line.host for line in matched}
    endpoints = {line.fields.get('endpoint') for line in matched}
    return [
        line
        for line in state_lines
        if line.host in hosts
        and start_s <= line.at_s <= end_s
        and line.fields.get('endpoint') in {None, *endpoints}
    ]


def _find_missing_logs(matched: list[LogLine], hosts: set[str]) -> list[str]:
    named = {
        str(line.fields['runner'])
        for line in matched
        if 'runner' in line.fields
    }
    return [f'{host}: no lines at all' for host in sorted(named - hosts)]
