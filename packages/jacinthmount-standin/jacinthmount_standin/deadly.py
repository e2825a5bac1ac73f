"""Requests that crash the stand-in that runs them."""

import re

__all__ = ('EXIT_CRASHED', 'find_deadly_events')

DEADLY_PATTERN = re.compile('deadly after ([0-9]+)')
EXIT_CRASHED = 9


def find_deadly_events(text: str) -> int | None:
    """Returns after how many events of an answer its endpoint crashes.

    :param text: prompt, or body of the request.
    :returns: None if it does not crash.
    """
    found = DEADLY_PATTERN.search(text)
    return int(found[1]) if found else None
