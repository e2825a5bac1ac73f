"""Which other hosts run a build that understands new messages.

A host of an earlier build closes the connection at a message that it doesn't
know, and tells nothing of what it knows.
"""

from collections.abc import Container

__all__ = ('PeerBuilds',)

# The connection may have been lost for another reason.
RETRY_AFTER_S = 5.0


class PeerBuilds:
    """Hosts that have answered a new message, or closed the connection at it.

    Hosts are identified by their incarnations, as a restart may bring another
    build.
    """

    __slots__ = ('_closed_at', '_understanding')

    def __init__(self) -> None:
        self._understanding: set[str] = set()
        self._closed_at: dict[str, float] = {}

    def understands(self, incarnation: str) -> bool:
        """Returns whether a host has answered a new message."""
        return incarnation in self._understanding

    def may_ask(self, incarnation: str, now: float) -> bool:
        """Returns whether a host may understand new messages."""
        closed_at = self._closed_at.get(incarnation)
        return closed_at is None or now >= closed_at + RETRY_AFTER_S

    def on_reply(self, incarnation: str) -> None:
        """Records that a host answered a new message."""
        self._understanding.add(incarnation)
        self._closed_at.pop(incarnation, None)

    def on_closed(self, incarnation: str, now: float) -> None:
        """Records that a host closed the connection without an answer."""
        self._closed_at[incarnation] = now

    def keep_only(self, incarnations: Container[str]) -> None:
        """Forgets all other hosts."""
        self._understanding = {
            one for one in self._understanding if one in incarnations
        }
        self._closed_at = {
            one: at
            for one, at in self._closed_at.items()
            if one in incarnations
        }
