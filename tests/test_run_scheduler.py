"""Items of the active runner while it is cut off."""

import random

import curio
import pytest
from jacinthmount.memory import ManualClock
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.messages import HostReport
from jacinthmount_node.relay.run_scheduler import RunScheduler
from jacinthmount_node.relay.runner_capacity import SETTLE_S, RunnerCapacity
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_entry, make_relay_settings, make_run


class _Endpoint:
    """Sends one event of each item and then nothing more."""

    def __init__(self):
        self.begun = []

    async def run(self, run, use):
        """See the item runner."""
        self.begun.append((run.item_id, run.last_event))
        run.texts.append('event')
        run.last_event = len(run.texts)
        await curio.sleep(60)


class Bench:
    """A scheduler with one endpoint of two slots."""

    def __init__(self):
        """Starts with nothing waiting."""
        self.endpoint = _Endpoint()
        clock = ManualClock()
        state = RelayState(
            settings=make_relay_settings(runs_batches=True),
            store=MemoryStore(),
            clock=clock,
            rng=random.Random(1),
        )
        state.endpoints.put(make_entry('e1'), 1)
        rooms = RunnerCapacity(state=state)
        rooms.record_report(
            HostReport(
                leaving=[],
                host='h1',
                state=None,
                active=None,
                uses=[],
                shares=None,
            ),
        )
        rooms.refresh()
        # Until then, requests that nobody has reported may run.
        clock.advance(SETTLE_S + 1)
        self.scheduler = RunScheduler(
            state=state,
            rooms=rooms,
            item_runner=self.endpoint,
            find_service=lambda run: 'model-a',
            on_end=self._on_end,
        )

    async def settle(self):
        """Lets whatever may run begin."""
        await self.scheduler.pump()
        await curio.sleep(0.05)

    async def _on_end(self, run, outcome):
        self.scheduler.add(run)


@pytest.fixture
def bench():
    """A runner with room for two items."""
    return Bench()


def test_paused_items_go_on_where_they_were(bench):
    """A runner that is cut off stops; its items wait with their events.

    Seen as items that a cut-off data centre and the rest ran at the same time,
    since the results of the former could not be written.
    """

    async def play():
        bench.scheduler.add(make_run('a'))
        await bench.settle()
        await bench.scheduler.pause(paused=True)
        await bench.settle()
        assert bench.endpoint.begun == [('a', None)]
        await bench.scheduler.pause(paused=False)
        await bench.settle()
        bench.scheduler.stopped = True
        await bench.scheduler.clear()

    curio.run(play)
    assert bench.endpoint.begun == [('a', None), ('a', 1)]
