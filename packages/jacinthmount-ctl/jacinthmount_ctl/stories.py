"""What the logs of several hosts tell about one request, item or batch."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

from jacinthmount.records import Record

__all__ = (
    'LogLine',
    'Story',
    'iter_lines',
    'iter_story',
    'parse_line',
    'read_story',
)

EVENT_PREFIX = 'jacinthmount:'
# Fields that tie a line to what callers have sent.
TIED_FIELDS = frozenset(('request', 'item', 'batch'))
OWN_FIELDS = frozenset((
    'host',
    'line',
    'message_type',
    'task_level',
    'task_uuid',
    'timestamp',
))
# Beliefs change before the request that they decide.
BEFORE_S = 5.0
AFTER_S = 1.0
STARTED = 'started'
STOPPED = 'stopped'
DROPPED = 'log_dropped'


class LogLine(Record):
    """One line of a log.

    :param at_s: Unix seconds by the clock of its host.
    :param number: its place among the lines of one start; 0 if unknown.
    """

    __slots__ = ('at_s', 'host', 'event', 'number', 'facts')

    at_s: float
    host: str
    event: str
    number: int
    facts: dict[str, Any]

    def names(self, wanted_id: str) -> bool:
        """Tells whether a fact is an id."""
        return wanted_id in self.facts.values()

    @property
    def is_tied(self) -> bool:
        """Tells whether the line is about a request, an item or a batch."""
        return not TIED_FIELDS.isdisjoint(self.facts)


class Story(Record):
    """Lines in the order of time, and where lines are missing."""

    __slots__ = ('lines', 'missing')

    lines: list[LogLine]
    missing: list[str]


class _HostLines:
    """Follows the numbers of one host's lines."""

    __slots__ = ('last', 'missing')

    def __init__(self) -> None:
        self.last: LogLine | None = None
        self.missing: list[tuple[float, str]] = []

    def follow(self, line: LogLine) -> None:
        """Notes what is missing between the line before and this one."""
        if line.event == DROPPED:
            self._note(line, f'{line.facts.get("lines")} lines were dropped')
        elif line.event == STARTED:
            self._follow_start(line)
        elif self.last is not None and line.number > self.last.number + 1:
            first = self.last.number + 1
            self._note(line, f'lines {first} to {line.number - 1} are missing')
        if line.number:
            self.last = line

    def _follow_start(self, line: LogLine) -> None:
        if self.last is not None and self.last.event != STOPPED:
            self._note(
                line,
                'started again without having stopped; '
                'its last lines may be missing',
            )

    def _note(self, line: LogLine, text: str) -> None:
        self.missing.append((line.at_s, f'{line.host}: {text}'))


def parse_line(raw: str, source: str) -> LogLine | None:
    """Parses a line of a log, whatever stands before its JSON object.

    :param source: stands for the host where the line does not name it.
    :returns: None for what is no line of this project.
    """
    try:
        found = json.loads(raw[raw.index('{') :])
    except ValueError:
        return None
    event = str(found.get('message_type', ''))
    if not event.startswith(EVENT_PREFIX):
        return None
    return LogLine(
        at_s=float(found.get('timestamp', 0)),
        host=str(found.get('host', source)),
        event=event.removeprefix(EVENT_PREFIX),
        number=int(found.get('line', 0)),
        facts={
            name: fact for name, fact in found.items() if name not in OWN_FIELDS
        },
    )


def iter_lines(files: list[str]) -> Iterator[LogLine]:
    """Reads the lines of log files, or of standard input if none is named.

    :raises OSError: a file can't be read.
    """
    if not files:
        yield from _iter_stream(sys.stdin, 'stdin')
    for name in files:
        with Path(name).open(errors='replace') as stream:
            yield from _iter_stream(stream, Path(name).stem)


def read_story(lines: Iterable[LogLine], wanted_id: str) -> Story:
    """Picks what concerns an id out of the lines of all hosts.

    :param lines: the lines of each host in the order in which it wrote them.
    """
    told: list[LogLine] = []
    beliefs: list[LogLine] = []
    hosts: dict[str, _HostLines] = {}
    for line in lines:
        hosts.setdefault(line.host, _HostLines()).follow(line)
        if line.names(wanted_id):
            told.append(line)
        elif not line.is_tied:
            beliefs.append(line)
    if not told:
        return Story(lines=[], missing=[])
    told.sort(key=_order)
    start_s = told[0].at_s - BEFORE_S
    end_s = told[-1].at_s + AFTER_S
    concerned = _pick_beliefs(told, beliefs, start_s, end_s)
    return Story(
        lines=sorted(told + concerned, key=_order),
        missing=[
            text
            for one in hosts.values()
            for at_s, text in one.missing
            if start_s <= at_s <= end_s
        ]
        + _find_absent(told, set(hosts)),
    )


def iter_story(story: Story) -> Iterator[str]:
    """Writes a story as lines of text; times count from its first line."""
    for line in story.lines:
        after_s = line.at_s - story.lines[0].at_s
        facts = ' '.join(f'{name}={fact}' for name, fact in line.facts.items())
        yield f'{after_s:8.3f} s  {line.host}  {line.event}  {facts}'
    for text in story.missing:
        yield f'missing: {text}'


def _iter_stream(stream: TextIO, source: str) -> Iterator[LogLine]:
    for raw in stream:
        line = parse_line(raw, source)
        if line is not None:
            yield line


def _order(line: LogLine) -> tuple[float, str, int]:
    return line.at_s, line.host, line.number


def _pick_beliefs(
    told: list[LogLine],
    beliefs: list[LogLine],
    start_s: float,
    end_s: float,
) -> list[LogLine]:
    hosts = {one.host for one in told}
    endpoints = {one.facts.get('endpoint') for one in told}
    return [
        one
        for one in beliefs
        if one.host in hosts
        and start_s <= one.at_s <= end_s
        and one.facts.get('endpoint') in {None, *endpoints}
    ]


def _find_absent(told: list[LogLine], hosts: set[str]) -> list[str]:
    named = {
        str(line.facts['runner']) for line in told if 'runner' in line.facts
    }
    return [f'{host}: no lines at all' for host in sorted(named - hosts)]
