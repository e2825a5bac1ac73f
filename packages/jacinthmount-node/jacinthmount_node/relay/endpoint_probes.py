"""Probes of unreachable endpoints, without sending a request."""

import curio
from jacinthmount.placement import EndpointUse

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.relay.state import RelayState

__all__ = ('EndpointProbes',)

CONNECT_TIMEOUT_S = 0.25
PROBE_INTERVAL_S = 0.4


class EndpointProbes:
    """Connects to unreachable endpoints until they are reachable again."""

    __slots__ = ('_pool', '_state')

    def __init__(self, *, state: RelayState, pool: ClientPool) -> None:
        self._state = state
        self._pool = pool

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if self._state.reach.isolated:
                # The host itself is cut off, which is checked elsewhere.
                continue
            for use in self._unreachable():
                await curio.spawn(self._probe, use, daemon=True)

    def _unreachable(self) -> list[EndpointUse]:
        return [
            use
            for placement in self._state.placements.values()
            for use in placement.uses()
            if use.unreachable
        ]

    async def _probe(self, use: EndpointUse) -> None:
        if not await self._pool.accepts(use.entry.address, CONNECT_TIMEOUT_S):
            return
        self._state.placement(use.entry.service).on_reached(
            use,
            self._state.now(),
        )
        log_event('endpoint_reached', endpoint=use.entry.endpoint_id)
