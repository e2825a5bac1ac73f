"""Prompt prefixes that an engine is likely to hold in its cache."""

from collections import OrderedDict

from jacinthmount.ports import CACHE_CLEARED, CACHE_EVICTED, CachePage

__all__ = ('PrefixTracker',)

HELD_S = 600.0
MAX_PREFIXES = 4096


class PrefixTracker:
    """What was sent to one engine, corrected by its late cache events.

    An event is as old as it says; one that is older than what was sent since
    changes nothing. After a gap nothing that was known before counts.
    """

    __slots__ = ('_held', 'after')

    def __init__(self) -> None:
        """Starts with nothing known."""
        self._held: OrderedDict[str, float] = OrderedDict()
        self.after = 0

    def on_sent(self, prefix: str, now: float) -> None:
        """Notes that a prompt with a prefix went to the engine."""
        self._held[prefix] = max(now, self._held.get(prefix, now))
        self._held.move_to_end(prefix)
        if len(self._held) > MAX_PREFIXES:
            self._held.popitem(last=False)

    def on_page(self, page: CachePage, now: float) -> None:
        """Takes the events after those that were taken before."""
        if page.oldest > self.after + 1 or page.newest < self.after:
            self._held.clear()
        self.after = page.newest
        for event in page.events:
            at = now - event.age_s
            if event.kind == CACHE_CLEARED:
                self._held.clear()
            elif event.kind == CACHE_EVICTED:
                self._evict(event.prefix, at)
            else:
                self.on_sent(event.prefix, at)

    def used_at(self, prefix: str, now: float) -> float | None:
        """Tells when a prefix was used last, or None where it is not held.

        The one used last is the likeliest to be still there, since evictions
        are heard of late.
        """
        at = self._held.get(prefix)
        return at if at is not None and now - at < HELD_S else None

    def _evict(self, prefix: str, at: float) -> None:
        if self._held.get(prefix, at) < at:
            self._held.pop(prefix)
