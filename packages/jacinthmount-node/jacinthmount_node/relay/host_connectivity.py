"""Connectivity of this host to the store and to other data centres."""

import math

from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('HostConnectivity',)

# After an isolation ends, it takes a moment until the runner that took over
# is known here.
SUPERSEDED_HOLD_S = 0.7


class HostConnectivity:
    """Derives connectivity from the store watches and the peer links."""

    __slots__ = ('_isolated_at', '_state', '_sync')

    def __init__(self, *, state: RelayState, sync: RelaySync) -> None:
        self._state = state
        self._sync = sync
        self._isolated_at = -math.inf

    def is_store_unavailable(self) -> bool:
        """Returns whether the store does not answer this host."""
        return self._sync.in_outage

    def store_contact_age_s(self) -> float:
        """Returns the seconds since the store was last known to answer."""
        return self._sync.store_contact_age_s

    async def probe_store(self) -> None:
        """Probes the store now, without waiting for a watch to time out."""
        await self._sync.check_store()

    def is_isolated(self) -> bool:
        """Returns whether neither the store nor other data centres answer."""
        return self._sync.in_outage and self._state.centres.is_isolated(
            self._state.now(),
        )

    def is_superseded(self) -> bool:
        """Returns whether a runner in another data centre replaces this one.

        That is so while this host is isolated, since it could not write the
        results of its items.
        """
        own = self._state.settings.data_centre
        runners = self._state.runners()
        now = self._state.now()
        if self.is_isolated() and any(
            runner.data_centre != own for runner in runners
        ):
            self._isolated_at = now
        return now - self._isolated_at < SUPERSEDED_HOLD_S
