"""Whether the process at an endpoint is the one that is registered.

An endpoint may start again under its id and address with another version. The
list of endpoints shows it, but a host may have an old one, and the store may be
away. What two versions write does not fit together, so a text goes on only
where the version is certain.
"""

import math

from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.list_freshness import ListFreshness
from jacinthmount.ports import AddressContacts

__all__ = ('VersionCertainty',)

# A list with an age up to this is current: that of the active runner may be 2 s
# old, and hosts hear from it each 0.3 to 1.4 s.
MAX_AGE_S = 4.0
# Time in which the registration of an endpoint that started is known.
REGISTRATION_LAG_S = 2.0


class VersionCertainty:
    """Tells it by the age of the list and by connections that stayed open."""

    __slots__ = ('_contacts', '_freshness')

    def __init__(self) -> None:
        """Starts without evidence; all versions are certain."""
        self._contacts: list[AddressContacts] = []
        self._freshness: ListFreshness | None = None

    def attach_list(self, freshness: ListFreshness) -> None:
        """Sets the age of the list of endpoints."""
        self._freshness = freshness

    def attach_contacts(self, contacts: AddressContacts) -> None:
        """Adds connections of this host to endpoints."""
        self._contacts.append(contacts)

    def is_certain(self, entry: EndpointEntry) -> bool:
        """Returns whether an endpoint still has its registered version."""
        if self._freshness is None:
            return True
        known_until = self._freshness.known_until()
        registered_until = known_until - REGISTRATION_LAG_S
        is_current = self._freshness.now() - known_until <= MAX_AGE_S
        if is_current and self._lost_at(entry.address) <= registered_until:
            return True
        return self._since(entry.address) <= registered_until

    def _lost_at(self, address: str) -> float:
        return max(
            (one.lost_at(address) for one in self._contacts), default=-math.inf
        )

    def _since(self, address: str) -> float:
        return min(
            (one.since(address) for one in self._contacts), default=math.inf
        )
