"""What this host can reach: the store, and other data centres."""

import math

from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('HostConnectivity',)

REPLACED_HOLD_S = 0.7


class HostConnectivity:
    """Answers from what the watches and the links of this host notice."""

    __slots__ = ('_isolated_at', '_state', '_sync')

    def __init__(self, *, state: RelayState, sync: RelaySync) -> None:
        """Starts with everything in reach."""
        self._state = state
        self._sync = sync
        self._isolated_at = -math.inf

    def is_store_unavailable(self) -> bool:
        """Tells whether the store does not answer this host."""
        return self._sync.in_outage

    def store_contact_age_s(self) -> float:
        """Tells how long ago the store was last known to answer."""
        return self._sync.store_contact_age_s

    async def check_store(self) -> None:
        """Asks the store now, rather than wait for it to be missed."""
        await self._sync.check_store()

    def is_isolated(self) -> bool:
        """Tells whether neither the store nor other data centres answer."""
        return self._sync.in_outage and self._state.centres.is_isolated(
            self._state.now(),
        )

    def is_replaced(self) -> bool:
        """Tells whether a runner elsewhere takes over from this one.

        Results of a runner that is cut off could not be written.
        """
        own = self._state.settings.data_centre
        runners = self._state.runners()
        now = self._state.now()
        if self.is_isolated() and any(
            one.data_centre != own for one in runners
        ):
            self._isolated_at = now
        # Whoever took over is heard of a moment after the cut has ended.
        return now - self._isolated_at < REPLACED_HOLD_S
