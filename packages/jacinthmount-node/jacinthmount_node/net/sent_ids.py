"""Ids of the requests that were sent on one connection."""

__all__ = ('SentIds',)

# A connection ends after so many requests, which bounds what it remembers.
MAX_IDS = 256


class SentIds:
    """Tells late extra answers on a connection from expected ones.

    An id does so only if no other run of it uses the connection.
    """

    __slots__ = ('_hashes',)

    def __init__(self) -> None:
        """Creates the ids of a new connection."""
        self._hashes: set[int] = set()

    def __contains__(self, request_id: str) -> bool:
        """Returns whether a request with this id was sent.

        It may be true for another id, about once in 2 ** 56 cases.
        """
        return hash(request_id) in self._hashes

    def add(self, request_id: str) -> None:
        """Records a request; an empty id is none."""
        if request_id:
            self._hashes.add(hash(request_id))

    def is_full(self) -> bool:
        """Returns whether no more requests may be sent."""
        return len(self._hashes) >= MAX_IDS
