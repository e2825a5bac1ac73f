"""Log lines of stored objects that can't be used, one for each version."""

from jacinthmount.errors import shorten

from jacinthmount_node.logs import log_event

__all__ = ('BadObjectLog',)

MAX_KNOWN = 1024


class BadObjectLog:
    """Logs each version of an object that can't be used once."""

    __slots__ = ('_known',)

    def __init__(self) -> None:
        # Oldest first, so that the names of other writers are bounded.
        self._known: dict[str, int] = {}

    def note(self, name: str, version: int, reason: str) -> None:
        """Logs the name and the reason, unless that was done already."""
        if self._known.get(name) == version:
            return
        self._known[name] = version
        if len(self._known) > MAX_KNOWN:
            self._known.pop(next(iter(self._known)))
        log_event(
            'bad_object',
            name=shorten(name),
            version=version,
            detail=shorten(reason),
        )
