"""Age of a list that is kept by listings, changes and confirmations of peers.

What is missing in a list means something only while the list is known to be
fresh: a process that stood still, or was cut off, has heard of nothing.
"""

import contextlib
import math
from collections.abc import Callable, Iterator

from jacinthmount.ports import Clock

__all__ = ('ALIVE_INTERVAL_S', 'MISSED_S', 'ListFreshness')

# A list is fresh for this long after the request that confirmed it was sent.
# The active runner lists it anew each 1.5 s.
FRESH_S = 2.0
# The process records at this interval that it runs.
ALIVE_INTERVAL_S = 0.1
# A process that has not run for this time may have missed what came meanwhile.
STALL_S = 0.4
# What came and left again within this time may have been missed.
MISSED_S = 5.0


class ListFreshness:
    """When a list was last known to be complete.

    All times are those of :meth:`~jacinthmount.ports.Clock.boot_now`.
    """

    __slots__ = (
        '_alive_at',
        '_clock',
        '_confirmed_at',
        '_followed_until',
        '_is_followed',
        '_on_missed',
        '_resumed_at',
    )

    def __init__(self, *, clock: Clock, on_missed: Callable[[], None]) -> None:
        """Starts with a list that is not fresh.

        :param on_missed: called when entries may have come and left unseen.
        """
        self._clock = clock
        self._on_missed = on_missed
        now = clock.boot_now()
        self._alive_at = now
        self._resumed_at = now
        self._confirmed_at = -math.inf
        # No change before that is missing.
        self._followed_until = now
        self._is_followed = False

    def now(self) -> float:
        """Returns the time in seconds."""
        return self._clock.boot_now()

    def note_alive(self) -> None:
        """Records that the process runs."""
        now = self.now()
        if now - self._alive_at > STALL_S:
            self._resumed_at = now
        self._alive_at = now

    @contextlib.contextmanager
    def follow(self) -> Iterator[None]:
        """Marks a request for all changes since the last ones as pending."""
        self._is_followed = True
        try:
            yield
        finally:
            self._is_followed = False

    def note_followed(self, requested_at: float) -> None:
        """Records that all changes up to a request for changes are known."""
        self._followed_until = max(self._followed_until, requested_at)

    def confirm(self, requested_at: float) -> None:
        """Records that the list was complete when a listing was requested."""
        self._confirmed_at = max(self._confirmed_at, requested_at)
        self._note_known(requested_at)

    def vouch(self, requested_at: float) -> None:
        """Records that a host whose list is fresh has nothing newer.

        Its list may be as old as a fresh one can be, so this proves nothing of
        the time since then.
        """
        self._note_known(requested_at - FRESH_S)

    def is_confirmed_since(self, moment: float) -> bool:
        """Returns whether a request sent since then has confirmed the list."""
        return self._confirmed_at >= moment

    def is_fresh(self) -> bool:
        """Returns whether what is missing in the list does not exist."""
        now = self.now()
        has_run = now - self._alive_at <= STALL_S
        age_s = now - self._confirmed_at
        return (
            has_run
            and age_s < FRESH_S
            and self.is_confirmed_since(self._resumed_at)
        )

    def _note_known(self, moment: float) -> None:
        """Records that the list was complete at a time."""
        if moment - self._followed_until > MISSED_S:
            if self._is_followed:
                return
            self._on_missed()
        self.note_followed(moment)
