"""Proof that no endpoint is missing in the list of a host."""

import random

import curio
import pytest
from jacinthmount.list_freshness import MISSED_S, STALL_S, ListFreshness
from jacinthmount.ports import ABSENT
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.relay.endpoint_list import (
    LIST_TIMEOUT_S,
    EndpointList,
)
from jacinthmount_node.relay.object_watch import ObjectWatch

PREFIX = 'servers/'
REPLY_S = 0.05
STOP_S = STALL_S + 0.1


class _Store(MemoryStore):
    """A store that counts listings, which may hang."""

    __slots__ = ('hangs', 'listed', 'reply_s')

    def __init__(self):
        super().__init__()
        self.hangs = False
        self.listed = 0
        self.reply_s = REPLY_S

    async def list_names(self, prefix):
        """Lists the prefix after a while."""
        self.listed += 1
        await curio.sleep(60 if self.hangs else self.reply_s)
        return await super().list_names(prefix)


class _StoppedClock(SystemClock):
    """A clock that passes a time in which the process did not run."""

    __slots__ = ('stopped_s',)

    def __init__(self):
        self.stopped_s = 0.0

    def boot_now(self):
        """Returns the time with that of the stops."""
        return super().boot_now() + self.stopped_s


class Host:
    """The list of a host."""

    def __init__(self):
        """Makes a watch of the endpoints."""
        self.clock = _StoppedClock()
        self.store = _Store()
        self.missed = 0
        freshness = ListFreshness(clock=self.clock, on_missed=self.note_missed)
        self.watch = ObjectWatch(
            store=self.store,
            prefix=PREFIX,
            on_change=self.on_change,
            rng=random.Random(1),
            freshness=freshness,
        )
        self.endpoints = EndpointList(watch=self.watch, freshness=freshness)

    def note_missed(self):
        """Counts the gaps."""
        self.missed += 1

    async def on_change(self, watch, changed):
        """Has nothing to do."""

    def run(self, play):
        """Runs a scenario once the endpoints are listed."""

        async def main():
            await self.store.write(f'{PREFIX}e1', 'one', ABSENT)
            await self.watch.refresh()
            running = await curio.spawn(self.endpoints.run, daemon=True)
            self.store.listed = 0
            try:
                return await play()
            finally:
                await running.cancel()

        return curio.run(main)


@pytest.fixture
def host():
    """A host that has just listed the endpoints."""
    return Host()


def test_each_take_up_costs_a_listing_of_its_own(host):
    """Those that come while none is in flight share the next one."""

    async def play():
        since = host.endpoints.now()
        async with curio.TaskGroup() as group:
            for _ in range(20):
                await group.spawn(host.endpoints.confirm, since)
        return group.results

    assert all(host.run(play))
    assert host.store.listed == 1


def test_listing_sent_before_a_take_up_proves_its_versions(host):
    """One that comes while a listing is in flight waits for the next."""

    async def play():
        first = await curio.spawn(host.endpoints.confirm, host.endpoints.now())
        await curio.sleep(REPLY_S / 2)
        confirmed = await host.endpoints.confirm(host.endpoints.now())
        return confirmed, await first.join()

    assert host.run(play) == (True, True)
    assert host.store.listed == 2


def test_list_is_proved_while_the_store_is_silent(host):
    """The host gives up, and asks a store that it knows to be lost no more."""
    host_list = host.endpoints

    async def play():
        host.store.hangs = True
        first = await host_list.confirm(host_list.now())
        await host.watch.probe(REPLY_S)
        return first, await host_list.confirm(host_list.now())

    assert host.run(play) == (False, False)
    # One by the probe that found the outage.
    assert host.store.listed == 2


def test_slow_listing_counts_as_an_outage_of_the_store(host):
    """The store answers, so what relies on it goes on."""

    async def play():
        host.store.reply_s = 2 * LIST_TIMEOUT_S
        confirmed = await host.endpoints.confirm(host.endpoints.now())
        return confirmed, host.watch.in_outage

    assert host.run(play) == (False, False)


def test_reply_of_a_runner_proves_a_list(host):
    """The list of the runner itself may be older than the question."""

    async def play():
        host.store.hangs = True
        asked_at = host.endpoints.now()
        host.endpoints.on_runner_reply(asked_at, {PREFIX: 1})
        return await host.endpoints.confirm(asked_at)

    assert host.run(play) is False


@pytest.mark.parametrize(
    ('revisions', 'missed'),
    [({PREFIX: 1}, 0), ({PREFIX: 9}, 1), ({'config/': 1}, 1)],
    ids=['as new', 'newer', 'of a runner whose list is not fresh'],
)
def test_reply_of_a_runner_vouches_for_a_list_that_it_does_not_know(
    host, revisions, missed
):
    """It has to name the endpoints, with a revision that is known here."""

    async def play():
        for _ in range(4):
            host.clock.stopped_s += MISSED_S / 2
            host.endpoints.on_runner_reply(host.endpoints.now(), revisions)
        host.clock.stopped_s += MISSED_S / 2
        await host.watch.refresh()
        return host.missed

    assert host.run(play) == missed
