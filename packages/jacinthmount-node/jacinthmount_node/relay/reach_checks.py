"""Checks whether this host reaches any endpoint."""

import curio
from jacinthmount.endpoint_table import EndpointEntry

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.relay.state import RelayState

__all__ = ('ReachChecks',)

CONNECT_TIMEOUT_S = 0.25
CHECK_INTERVAL_S = 0.3
MAX_CHECKED = 3


class ReachChecks:
    """Connects to endpoints once several have failed, without a request.

    :param pool: connects to endpoints.
    """

    __slots__ = ('_failed', '_pool', '_state')

    def __init__(self, *, state: RelayState, pool: ClientPool) -> None:
        self._state = state
        self._pool = pool
        self._failed = curio.Event()

    async def run(self) -> None:
        """Checks after failures, and until endpoints are reached again."""
        while True:
            await self._failed.wait()
            self._failed.clear()
            while self._is_doubtful():
                await self._check()
                if self._state.reach.isolated:
                    await curio.sleep(CHECK_INTERVAL_S)

    async def note_failed(self, entry: EndpointEntry) -> None:
        """Records that an endpoint could not be reached, or fell silent."""
        self._state.reach.on_failed(entry.endpoint_id, self._state.now())
        await self._failed.set()

    async def reaches_another(self, entry: EndpointEntry) -> bool:
        """Returns whether another endpoint accepts a connection.

        It is true if there is no other one to ask.
        """
        others = [
            one
            for one in self._usable()
            if one.endpoint_id != entry.endpoint_id
        ]
        chosen = self._state.rng.sample(others, min(len(others), MAX_CHECKED))
        return not chosen or await self._connects_to_any(chosen)

    def _is_doubtful(self) -> bool:
        reach = self._state.reach
        return reach.isolated or reach.is_suspected(
            len(self._usable()), self._state.now()
        )

    def _usable(self) -> list[EndpointEntry]:
        return [
            entry
            for entry in self._state.endpoints.entries()
            if not entry.leaving
            and entry.data_centre not in self._state.evacuated
        ]

    def _choose(self) -> list[EndpointEntry]:
        usable = self._usable()
        failed = self._state.reach.failed(self._state.now())
        others = [one for one in usable if one.endpoint_id not in failed]
        candidates = others or usable
        return self._state.rng.sample(
            candidates, min(len(candidates), MAX_CHECKED)
        )

    async def _check(self) -> None:
        reach = self._state.reach
        was_isolated = reach.isolated
        chosen = self._choose()
        # Without endpoints no other host could help.
        reach.isolated = bool(chosen) and not await self._connects_to_any(
            chosen
        )
        if not reach.isolated:
            reach.on_reached()
        if reach.isolated is was_isolated:
            return
        log_event('endpoints_reached', any=not reach.isolated)
        if was_isolated:
            # The endpoints went on, so they are not presumed cold.
            for placement in self._state.placements.values():
                placement.on_host_reconnected()

    async def _connects_to_any(self, entries: list[EndpointEntry]) -> bool:
        tasks = [
            await curio.spawn(
                self._pool.accepts,
                entry.address,
                CONNECT_TIMEOUT_S,
                daemon=True,
            )
            for entry in entries
        ]
        return any([await task.join() for task in tasks])
