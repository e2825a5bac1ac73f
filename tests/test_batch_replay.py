"""Replay of the order of batch items beside peaks of online load.

The load follows ten seconds of the run qm-summons trouble-1, after the store
was unavailable for 6 s and a data centre was isolated. All items that arrived
in that time wait at once, with 1 to 18 s until their deadline, beside online
load that rises for 2.4 s of each 5.8 s.
"""

import random

import pytest
from jacinthmount.batch_order import order_waiting
from jacinthmount.run_forecast import RunForecast

from tests.relay_builders import make_run

SLOTS = 72
ONLINE_HIGH, ONLINE_LOW = 60, 13
CYCLE_S, HIGH_S = 5.8, 2.4
ONLINE_MEAN = (ONLINE_HIGH * HIGH_S + ONLINE_LOW * (CYCLE_S - HIGH_S)) / CYCLE_S
MEAN_FREE_SLOTS = int(SLOTS - ONLINE_MEAN)
SIMULATED_S = 20
EVENTS = 188
EVENTS_PER_S = 40
TICK_S = 0.1


class Fleet:
    """Slots shared by batch and online load, in simulated time."""

    def __init__(self, items, events):
        """Starts with all items waiting.

        :param events: number of events by item id.
        """
        self.events = events
        self.forecast = RunForecast()
        for item_id in ('seen-1', 'seen-2'):
            seen = make_run(item_id)
            seen.texts.extend('x' * EVENTS)
            self.forecast.note_event_count(seen)
            self.forecast.note_event_time(seen, EVENTS, EVENTS / EVENTS_PER_S)
        self.waiting = {run.item_id: run for run in items}
        self.running = {}
        self.done_at = {}

    def simulate(self, seconds, order):
        """Simulates a time in seconds.

        :param order: function that orders the items of a fleet.
        :returns: number of items that met their deadline.
        """
        items = list(self.waiting.values())
        for step in range(int(seconds / TICK_S)):
            now = step * TICK_S
            self._run(now)
            self._place(now, order)
        return sum(
            self.done_at.get(run.item_id, seconds) <= run.due_at
            for run in items
        )

    def free_slots(self, now):
        """Returns the slots that online requests do not use at a time."""
        if now % CYCLE_S > CYCLE_S - HIGH_S:
            return SLOTS - ONLINE_HIGH
        return SLOTS - ONLINE_LOW

    def _run(self, now):
        for item_id, run in list(self.running.items()):
            run.texts.extend('x' * int(EVENTS_PER_S * TICK_S))
            if len(run.texts) >= self.events[item_id]:
                self.done_at[item_id] = now
                self.running.pop(item_id)

    def _place(self, now, order):
        wanted = {**self.waiting, **self.running}
        chosen = order(self, list(wanted.values()), now)[: self.free_slots(now)]
        self.running = {run.item_id: run for run in chosen}
        self.waiting = {
            item_id: run
            for item_id, run in wanted.items()
            if item_id not in self.running
        }


def by_deadline(fleet, items, now):
    """The previous order: items before their deadline first, by deadline."""
    return sorted(items, key=lambda run: (run.due_at < now, run.due_at))


def chosen(fleet, items, now):
    """The order under test."""
    return order_waiting(
        items, [], MEAN_FREE_SLOTS, fleet.forecast.remaining_s, now
    )


def make_load(count, seed):
    """Builds items with deadlines in 1 to 18 s."""
    rng = random.Random(seed)
    items = [
        make_run(f'i{number}', due_at=rng.uniform(1, 18))
        for number in range(count)
    ]
    events = {run.item_id: int(rng.gauss(EVENTS, 45)) for run in items}
    return Fleet(items, events)


@pytest.mark.parametrize('count', [160, 240, 480])
def test_overload_makes_only_some_items_late(count):
    """More items are in time than with earliest deadline first.

    With that order, 294 items were done in a recorded run, with the median 0.6
    s after its deadline.
    """
    for seed in range(3):
        before = make_load(count, seed).simulate(SIMULATED_S, by_deadline)
        now = make_load(count, seed).simulate(SIMULATED_S, chosen)
        assert now > 1.2 * before


@pytest.mark.parametrize('count', [40, 80, 120])
def test_items_within_capacity_are_in_time_as_before(count):
    """Without overload the forecast costs hardly any deadline."""
    before = sum(
        make_load(count, seed).simulate(SIMULATED_S, by_deadline)
        for seed in range(6)
    )
    now = sum(
        make_load(count, seed).simulate(SIMULATED_S, chosen)
        for seed in range(6)
    )
    assert now > 0.95 * before
