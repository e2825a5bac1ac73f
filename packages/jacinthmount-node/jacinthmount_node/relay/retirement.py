"""Drains the runner of a host that the operator is about to remove."""

import curio
from jacinthmount.errors import StoreUnavailable
from jacinthmount.ports import Stored

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.batch_runner import RelayBatchRunner
from jacinthmount_node.relay.object_watch import ObjectWatch, WatchDelays
from jacinthmount_node.relay.protocols import RetirementRequests
from jacinthmount_node.relay.state import RelayState

__all__ = ('Retirement',)

RETRY_S = 0.5
# A request that is lost on the way goes unnoticed for about as long.
WATCH_WAIT_S = 5.0


class Retirement:
    """Stops this runner when the operator requests the retirement."""

    __slots__ = ('_requests', '_runner', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        board: RetirementRequests,
        runner: RelayBatchRunner,
    ) -> None:
        self._state = state
        self._requests = board
        self._runner = runner

    async def run(self) -> None:
        """Watches for retirement requests until cancelled."""
        watch = ObjectWatch(
            store=self._state.store,
            prefix=self._requests.prefix,
            on_change=self._on_change,
            rng=self._state.rng,
            make_delays=lambda: WatchDelays(wait_s=WATCH_WAIT_S),
        )
        await watch.run()

    async def _on_change(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        name = f'{watch.prefix}{self._state.host}'
        named = any(stored.name == name and stored.body for stored in changed)
        if not named or self._runner.stopped:
            return
        log_event('retiring')
        await self._runner.stop()
        while True:
            try:
                await self._requests.write_completed(self._state.host)
            except StoreUnavailable as exc:
                log_event('retirement_unwritten', detail=exc.detail)
                await curio.sleep(RETRY_S)
            else:
                log_event('retired')
                return
