"""Which data centres can be reached, from whatever was heard from them.

Answers a data centre that is cut off while requests keep coming: one answer
that is missing there casts doubt on everything that was not heard since.
"""

import math

__all__ = ('DataCentreContacts',)

# Two questions that are asked three times a second.
ISOLATED_S = 0.7


class DataCentreContacts:
    """When each data centre was heard, and since when answers are missing."""

    __slots__ = ('_awaited', '_heard', '_own')

    def __init__(self, *, own: str) -> None:
        """Starts with every data centre in reach.

        :param own: data centre of this host, which is never in doubt.
        """
        self._own = own
        self._heard: dict[str, float] = {}
        self._awaited: dict[str, float] = {}

    def on_contact(self, data_centre: str, now: float) -> None:
        """Notes that something came from a data centre."""
        self._heard[data_centre] = now

    def on_timeout(self, data_centre: str, asked_at: float) -> None:
        """Notes that a question sent at a time has no answer."""
        awaited = self._awaited.get(data_centre, asked_at)
        self._awaited[data_centre] = max(awaited, asked_at)

    def is_isolated(self, now: float) -> bool:
        """Tells whether nothing comes from any other data centre any more."""
        others = set(self._awaited) | set(self._heard)
        others.discard(self._own)
        return bool(others) and all(
            self.is_unresponsive(one) and now - self._heard_at(one) > ISOLATED_S
            for one in others
        )

    def is_unresponsive(self, data_centre: str) -> bool:
        """Tells whether nothing came since a question that was not answered."""
        if data_centre == self._own:
            return False
        awaited = self._awaited.get(data_centre)
        if awaited is None:
            return False
        return self._heard_at(data_centre) <= awaited

    def _heard_at(self, data_centre: str) -> float:
        return self._heard.get(data_centre, -math.inf)
