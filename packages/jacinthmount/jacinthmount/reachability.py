"""Reachability of data centres, derived from all contacts with them.

A data centre may become unreachable under load. After one request to it has
timed out, the whole data centre counts as unresponsive until the next contact.
"""

import math

__all__ = ('DataCentreContacts',)

# The time of two requests at three requests per second.
ISOLATED_S = 0.7


class DataCentreContacts:
    """Last contact with, and last unanswered request to, each data centre."""

    __slots__ = ('_unanswered_at', '_last_contact', '_own')

    def __init__(self, *, own: str) -> None:
        """Starts with all data centres responsive.

        :param own: data centre of this host, which always counts as responsive.
        """
        self._own = own
        self._last_contact: dict[str, float] = {}
        self._unanswered_at: dict[str, float] = {}

    def is_own(self, data_centre: str) -> bool:
        """Returns whether this host is in a data centre."""
        return data_centre == self._own

    def on_contact(self, data_centre: str, now: float) -> None:
        """Records that data arrived from a data centre."""
        self._last_contact[data_centre] = now

    def on_timeout(self, data_centre: str, requested_at: float) -> None:
        """Records that a request timed out.

        :param requested_at: monotonic time at which the request was sent.
        """
        unanswered_at = self._unanswered_at.get(data_centre, requested_at)
        self._unanswered_at[data_centre] = max(unanswered_at, requested_at)

    def is_isolated(self, now: float) -> bool:
        """Returns whether all other data centres have become unresponsive."""
        others = set(self._unanswered_at) | set(self._last_contact)
        others.discard(self._own)
        return bool(others) and all(
            self.is_unresponsive(other)
            and now - self._last_contact_at(other) > ISOLATED_S
            for other in others
        )

    def is_unresponsive(self, data_centre: str) -> bool:
        """Returns whether there was no contact since an unanswered request."""
        if self.is_own(data_centre):
            return False
        unanswered_at = self._unanswered_at.get(data_centre)
        if unanswered_at is None:
            return False
        return self._last_contact_at(data_centre) <= unanswered_at

    def _last_contact_at(self, data_centre: str) -> float:
        return self._last_contact.get(data_centre, -math.inf)
