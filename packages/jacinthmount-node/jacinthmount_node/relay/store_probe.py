"""Detects outages of the store, and their end, while watches wait."""

import itertools

import curio

from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = ('StoreProbe',)

CHECK_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
# Number of watches that the active runner refreshes itself: those whose
# updates are urgent. Hosts announce themselves, so their watch is left out.
REFRESHED_WATCHES = 3


class StoreProbe:
    """Lists the prefixes of watches in addition to their long polls.

    :param first: the watch whose listing shows that the store answers again.
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
        self._state = state
        self._first = first
        self._others = others

    async def run(self) -> None:
        """Probes until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._run_outages)
            if self._state.settings.runs_batches:
                await group.spawn(self._run_refresh)

    @property
    def in_outage(self) -> bool:
        """Whether the store does not answer this host."""
        return any(watch.in_outage for watch in self._watches())

    async def probe(self) -> None:
        """Probes once; no answer within the timeout counts as an outage."""
        await self._first.probe(PROBE_TIMEOUT_S)

    def _watches(self) -> list[ObjectWatch]:
        return [self._first, *self._others]

    async def _run_outages(self) -> None:
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            # An isolated data centre may have lost the store as well. A watch
            # in a long poll detects neither that nor the recovery for long.
            if self.in_outage:
                await self._check_recovery()
            elif self._state.centres.is_isolated(self._state.now()):
                await self.probe()

    async def _check_recovery(self) -> None:
        if self._state.has_update_source():
            # A runner reaches the store and sends its changes.
            for watch in self._watches():
                watch.end_outage()
            return
        # A pending watch call may hide the outage from some of the watches, so
        # any of them shows whether the store answers again.
        for watch in self._watches():
            if watch.in_outage:
                await watch.refresh()
            if watch.in_outage:
                await self._pause()
                return

    async def _pause(self) -> None:
        # Spreads the retries of hundreds of hosts on an unavailable store.
        if not self._state.settings.runs_batches:
            longest_s = self._state.pace.store_retry_s - CHECK_INTERVAL_S
            await curio.sleep(self._state.rng.uniform(0, longest_s))

    async def _run_refresh(self) -> None:
        # Other hosts depend on the active runner, and a watch in a long poll
        # does not show that the store refuses this host.
        for watch in itertools.cycle(self._watches()[:REFRESHED_WATCHES]):
            await curio.sleep(CHECK_INTERVAL_S)
            if self._state.leadership.active and not self.in_outage:
                await watch.refresh()
