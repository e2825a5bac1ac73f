"""A text in numbered events that may go on at another endpoint."""

import math

from jacinthmount.stream_origins import StreamOrigin

__all__ = ('ResumableText',)


class ResumableText:
    """Where a text began and how far it has come.

    ``last_event`` is the number of the last event received, ``origin`` where
    the first one came from, and ``began_at`` when, in monotonic seconds, or
    ``inf`` if that is not known.
    """

    __slots__ = ('began_at', 'last_event', 'origin')

    def __init__(self, *, last_event: int | None = None) -> None:
        self.last_event = last_event
        self.origin: StreamOrigin | None = None
        self.began_at = math.inf

    @property
    def version(self) -> str | None:
        """The only software version that may go on with it, or None."""
        return self.origin.version if self.origin else None

    def begin(self, origin: StreamOrigin, now: float) -> None:
        """Records the first event."""
        self.origin = origin
        self.began_at = now

    def begin_anew(self) -> None:
        """Forgets the events, so that any version may run it."""
        self.last_event = None
        self.origin = None
        self.began_at = math.inf
