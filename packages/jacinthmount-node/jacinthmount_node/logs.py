"""Structured logs as JSON lines; never a key or a body."""

import atexit
import sys
from pathlib import Path

import eliot

from jacinthmount_node.log_writer import LogWriter

__all__ = ('log_event', 'log_failure', 'open_log')

MAX_DETAIL_CHARS = 300
CLOSE_TIMEOUT_S = 1.0


def open_log(path: str) -> None:
    """Sends the log to a file, or to standard output for an empty path."""
    if path:
        eliot.to_file(Path(path).open('ab', buffering=0))
    else:
        writer = LogWriter(stream=sys.stdout.buffer)
        atexit.register(writer.close, CLOSE_TIMEOUT_S)
        eliot.to_file(writer)


def log_event(event: str, **facts: str | float | None) -> None:
    """Writes one line with named facts."""
    eliot.log_message(message_type=f'jacinthmount:{event}', **facts)


def log_failure(place: str, exc: BaseException) -> None:
    """Writes one line for an error that a task goes on after."""
    log_event(
        'failure',
        place=place,
        error=type(exc).__name__,
        detail=str(exc)[:MAX_DETAIL_CHARS],
    )
