"""Finds out that the store is away, and back, while watches wait in vain."""

import itertools

import curio

from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = ('StoreProbe',)

CHECK_S = 0.5
PROBE_TIMEOUT_S = 0.4
# Of the watches, those whose news may not wait; hosts say themselves when they
# come.
REFRESHED = 2


class StoreProbe:
    """Lists prefixes beside their watches.

    :param first: the watch whose listing tells that the store is back.
    :param others: watches that are refreshed after it.
    """

    __slots__ = ('_first', '_others', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        first: ObjectWatch,
        others: list[ObjectWatch],
    ) -> None:
        """Takes the watches of a host."""
        self._state = state
        self._first = first
        self._others = others

    async def run(self) -> None:
        """Probes until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_outages)
            if self._state.settings.runs_batches:
                await group.spawn(self._run_refresh)

    @property
    def in_outage(self) -> bool:
        """Tells whether the store does not answer this host."""
        return any(watch.in_outage for watch in self._watches())

    async def probe(self) -> None:
        """Asks once; no answer within moments is taken for an outage."""
        await self._first.probe(PROBE_TIMEOUT_S)

    def _watches(self) -> list[ObjectWatch]:
        return [self._first, *self._others]

    async def _run_outages(self) -> None:
        while True:
            await curio.sleep(CHECK_S)
            # The cut may include the store, and a watch that waits hides for
            # long both that and the return.
            if self.in_outage:
                await self._try_return()
            elif self._state.centres.is_isolated(self._state.now()):
                await self.probe()

    async def _try_return(self) -> None:
        if self._first.in_outage:
            await self._first.refresh()
        if self._first.in_outage:
            await self._pause()
            return
        for watch in self._others:
            if watch.in_outage:
                await watch.refresh()

    async def _pause(self) -> None:
        # Hundreds of hosts must not press a store that is away.
        if not self._state.settings.runs_batches:
            longest_s = self._state.pace.store_retry_s - CHECK_S
            await curio.sleep(self._state.rng.uniform(0, longest_s))

    async def _run_refresh(self) -> None:
        # Others rely on the active runner, and a watch that waits does not
        # show that the store turns this host away.
        for watch in itertools.cycle(self._watches()[:REFRESHED]):
            await curio.sleep(CHECK_S)
            if self._state.leadership.active and not self.in_outage:
                await watch.refresh()
