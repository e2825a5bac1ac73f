"""Prefix cache of a stand-in engine, with late and gapped events."""

import time
from collections import OrderedDict, deque

from jacinthmount.ports import (
    CACHE_EVICTED,
    CACHE_STORED,
    CacheEvent,
    CachePage,
)

__all__ = ('PrefixCache',)

EVENT_LAG_S = 0.5
MAX_EVENTS = 64


class _Change:
    __slots__ = ('at', 'kind', 'number', 'prefix')

    def __init__(self, *, number: int, kind: str, prefix: str) -> None:
        self.number = number
        self.kind = kind
        self.prefix = prefix
        self.at = time.monotonic()


class PrefixCache:
    """Holds the prefixes used last; keeps only the newest events."""

    __slots__ = ('_changes', '_held', '_number', 'hits', 'uses')

    def __init__(self) -> None:
        """Starts empty."""
        self._held: OrderedDict[str, None] = OrderedDict()
        self._changes: deque[_Change] = deque(maxlen=MAX_EVENTS)
        self._number = 0
        self.hits = 0
        self.uses = 0

    def use(self, prefix: str, size: int) -> bool:
        """Uses a prefix.

        :param size: prefixes that fit into the cache.
        :returns: whether it was held.
        """
        hit = prefix in self._held
        self.hits += hit
        self.uses += 1
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if not hit:
            self._note(CACHE_STORED, prefix)
        while len(self._held) > size:
            self._note(CACHE_EVICTED, self._held.popitem(last=False)[0])
        return hit

    def page(self, after: int) -> CachePage:
        """Tells the events after a number, as far as they are out."""
        now = time.monotonic()
        out = [one for one in self._changes if now - one.at >= EVENT_LAG_S]
        return CachePage(
            events=[
                CacheEvent(
                    kind=one.kind,
                    prefix=one.prefix,
                    age_s=now - one.at,
                )
                for one in out
                if one.number > after
            ],
            oldest=out[0].number if out else 1,
            newest=out[-1].number if out else 0,
        )

    def _note(self, kind: str, prefix: str) -> None:
        self._number += 1
        self._changes.append(
            _Change(number=self._number, kind=kind, prefix=prefix),
        )
