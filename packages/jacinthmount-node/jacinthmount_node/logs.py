"""Structured logs as JSON lines; never a key or a body."""

import sys
from pathlib import Path

import eliot

__all__ = ('log_event', 'log_failure', 'open_log')

MAX_DETAIL_CHARS = 300


def open_log(path: str) -> None:
    """Sends the log to a file, or to standard output for an empty path."""
    if path:
        eliot.to_file(Path(path).open('ab', buffering=0))
    else:
        eliot.to_file(sys.stdout.buffer)


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
