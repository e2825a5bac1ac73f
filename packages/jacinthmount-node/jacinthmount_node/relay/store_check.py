"""Reports the store connectivity of a runner to the leader election."""

import curio

from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.state import RelayState

__all__ = ('StoreCheck',)


class StoreCheck:
    """Passes on the store state, and probes the store if it is out of date."""

    __slots__ = ('_probing', '_connectivity', '_state')

    def __init__(
        self, *, state: RelayState, connectivity: HostConnectivity
    ) -> None:
        self._state = state
        self._connectivity = connectivity
        self._probing = False

    async def update(self, *, reached: bool) -> None:
        """Updates the leader election with the state of the store.

        :param reached: whether no other watch shows that the store is
            unavailable.
        """
        must_probe = self._state.leadership.note_store(
            reached=reached and not self._connectivity.is_store_unavailable(),
            age_s=self._connectivity.store_contact_age_s(),
            now=self._state.now(),
        )
        if must_probe and not self._probing:
            self._probing = True
            await curio.spawn(self._probe, daemon=True)

    async def _probe(self) -> None:
        try:
            await self._connectivity.probe_store()
        finally:
            self._probing = False
