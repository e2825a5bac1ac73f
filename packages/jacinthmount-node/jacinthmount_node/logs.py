"""Structured logs as JSON lines, which never contain a key or a body.

Each line has the name of its host and a number that counts the lines since the
start of the process, so that missing lines can be detected.
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
    """Writes the log to a file, or to standard output for an empty path.

    :param host: host name to add to every line.
    """
    eliot.add_global_fields(host=host)
    if path:
        eliot.to_file(Path(path).open('ab', buffering=0))
    else:
        writer = LogWriter(stream=sys.stdout.buffer, host=host)
        atexit.register(writer.close, CLOSE_TIMEOUT_S)
        eliot.to_file(writer)


def log_event(event: str, **fields: str | float | None) -> None:
    """Writes one line with named fields."""
    eliot.log_message(
        message_type=f'jacinthmount:{event}',
        line=next(_numbers),
        **fields,
    )


def log_failure(component: str, exc: BaseException) -> None:
    """Writes one line for an error that does not end the process.

    :param component: name of the task or listener that failed.
    """
    log_event(
        'failure',
        component=component,
        error=type(exc).__name__,
        detail=str(exc)[:MAX_DETAIL_CHARS],
    )
