"""What a runner knows of the store, for the choice of the active one."""

import curio

from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.state import RelayState

__all__ = ('StoreCheck',)


class StoreCheck:
    """Tells the leadership, and asks the store where it has to be known."""

    __slots__ = ('_asking', '_connectivity', '_state')

    def __init__(
        self, *, state: RelayState, connectivity: HostConnectivity
    ) -> None:
        """Starts with nothing asked."""
        self._state = state
        self._connectivity = connectivity
        self._asking = False

    async def note(self, *, reached: bool) -> None:
        """Notes whether the store answers this runner.

        :param reached: whether nothing else shows that it is away.
        """
        must_ask = self._state.leadership.note_store(
            reached=reached and not self._connectivity.is_store_unavailable(),
            age_s=self._connectivity.store_contact_age_s(),
            now=self._state.now(),
        )
        if must_ask and not self._asking:
            self._asking = True
            await curio.spawn(self._ask, daemon=True)

    async def _ask(self) -> None:
        try:
            await self._connectivity.check_store()
        finally:
            self._asking = False
