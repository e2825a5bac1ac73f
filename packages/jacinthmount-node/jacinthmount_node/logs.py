"""Structured logs as JSON lines; never a key or a body.

Each line names its host and its place among the lines of one start, so that a
reader sees where lines are missing.
"""

import atexit
import itertools
import sys
from pathlib import Path

import eliot

from jacinthmount_node.log_writer import LogWriter

__all__ = ('log_event', 'log_failure', 'open_log')

MAX_DETAIL_CHARS = 300
CLOSE_TIMEOUT_S = 1.0

_numbers = itertools.count(1)


def open_log(path: str, host: str) -> None:
    """Sends the log to a file, or to standard output for an empty path.

    :param host: name that every line bears.
    """
    eliot.add_global_fields(host=host)
    if path:
        eliot.to_file(Path(path).open('ab', buffering=0))
    else:
        writer = LogWriter(stream=sys.stdout.buffer, host=host)
        atexit.register(writer.close, CLOSE_TIMEOUT_S)
        eliot.to_file(writer)


def log_event(event: str, **facts: str | float | None) -> None:
    """Writes one line with named facts."""
    eliot.log_message(
        message_type=f'jacinthmount:{event}',
        line=next(_numbers),
        **facts,
    )


def log_failure(place: str, exc: BaseException) -> None:
    """Writes one line for an error that a task goes on after."""
    log_event(
        'failure',
        place=place,
        error=type(exc).__name__,
        detail=str(exc)[:MAX_DETAIL_CHARS],
    )
