"""Prompt prefixes that are probably in the cache of an engine."""

from collections import OrderedDict

from jacinthmount.ports import CACHE_CLEARED, CACHE_EVICTED, CachePage

__all__ = ('PrefixTracker',)

RETENTION_S = 600.0
MAX_PREFIXES = 4096


class PrefixTracker:
    """Tracks the prefixes sent to one engine, corrected by its cache events.

    Events arrive late and carry their age. An eviction that is older than the
    last use of its prefix is ignored. After a gap in the events all prefixes
    are dropped.
    """

    __slots__ = ('_used_at', 'after')

    def __init__(self) -> None:
        self._used_at: OrderedDict[str, float] = OrderedDict()
        self.after = 0

    def on_sent(self, prefix: str, now: float) -> None:
        """Records that a prompt with a prefix was sent to the engine."""
        self._used_at[prefix] = max(now, self._used_at.get(prefix, now))
        self._used_at.move_to_end(prefix)
        if len(self._used_at) > MAX_PREFIXES:
            self._used_at.popitem(last=False)

    def on_page(self, page: CachePage, now: float) -> None:
        """Applies the events that follow those applied before."""
        if page.oldest > self.after + 1 or page.newest < self.after:
            self._used_at.clear()
        self.after = page.newest
        for event in page.events:
            at = now - event.age_s
            if event.kind == CACHE_CLEARED:
                self._used_at.clear()
            elif event.kind == CACHE_EVICTED:
                self._evict(event.prefix, at)
            else:
                self.on_sent(event.prefix, at)

    def used_at(self, prefix: str, now: float) -> float | None:
        """Returns when a prefix was last used, or None if it is not cached.

        Evictions are reported late, so the prefix used most recently is the
        most likely to be still cached.
        """
        at = self._used_at.get(prefix)
        return at if at is not None and now - at < RETENTION_S else None

    def _evict(self, prefix: str, at: float) -> None:
        if self._used_at.get(prefix, at) < at:
            self._used_at.pop(prefix)
