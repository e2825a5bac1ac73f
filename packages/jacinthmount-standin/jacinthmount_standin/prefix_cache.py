"""Prefix cache of a stand-in engine, with delayed and lossy events."""

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
    """LRU cache of prefixes that keeps only the newest events."""

    __slots__ = ('_changes', '_prefixes', '_last_number', 'hits', 'uses')

    def __init__(self) -> None:
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._changes: deque[_Change] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0
        self.hits = 0
        self.uses = 0

    def use(self, prefix: str, size: int) -> bool:
        """Looks up a prefix and stores it.

        :param size: maximum number of cached prefixes.
        :returns: whether the prefix was cached.
        """
        hit = prefix in self._prefixes
        self.hits += hit
        self.uses += 1
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._record_change(CACHE_STORED, prefix)
        while len(self._prefixes) > size:
            self._record_change(
                CACHE_EVICTED, self._prefixes.popitem(last=False)[0]
            )
        return hit

    def page(self, after: int) -> CachePage:
        """Returns the published events after a number.

        An event is published ``EVENT_LAG_S`` after the change.
        """
        now = time.monotonic()
        published = [
            change for change in self._changes if now - change.at >= EVENT_LAG_S
        ]
        return CachePage(
            events=[
                CacheEvent(
                    kind=change.kind,
                    prefix=change.prefix,
                    age_s=now - change.at,
                )
                for change in published
                if change.number > after
            ],
            oldest=published[0].number if published else 1,
            newest=published[-1].number if published else 0,
        )

    def _record_change(self, kind: str, prefix: str) -> None:
        self._last_number += 1
        self._changes.append(
            _Change(number=self._last_number, kind=kind, prefix=prefix),
        )
