"""Items of routes that were removed, or that a runner does not know yet."""

import json
import random

import curio
import pytest
from jacinthmount.errors import MalformedRecord, StoreUnavailable
from jacinthmount.item_batches import (
    batch_name,
    chunk_name,
    make_chunks,
)
from jacinthmount.memory import ManualClock
from jacinthmount.ports import ABSENT
from jacinthmount.records import serialize_json
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

from tests.relay_builders import (
    make_config,
    make_item,
    make_manifest,
    make_relay_settings,
    make_route,
)
from tests.test_runner_takeover import ITEMS, KEY, make_batch_runner

CONFIG = 'config/main'
OLD_ROUTES = ('check',)
ROUTES = ('check', 'audit')
RETENTION_MS = 10**15
# Enough for a listing and what follows from it.
SETTLED_S = 0.02


class _Store(MemoryStore):
    """A store that can be unavailable to listings."""

    __slots__ = ('is_away', 'listed')

    def __init__(self):
        super().__init__()
        self.is_away = False
        self.listed = []

    async def list_names(self, prefix):
        """See :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        self.listed.append(prefix)
        if self.is_away:
            raise StoreUnavailable(detail='away')
        return await super().list_names(prefix)


class _Decoder:
    """Decodes configurations that are lists of routes."""

    def parse_config(self, body):
        """See :class:`~jacinthmount_node.relay.sync.FleetDecoder`."""
        routes = json.loads(body)
        if routes is None:
            raise MalformedRecord(detail='no routes')
        return make_config(*(make_route(name) for name in routes))


class Runner:
    """An active runner whose watches bring only what a test asks for."""

    def __init__(self):
        self.store = _Store()
        self.state = RelayState(
            settings=make_relay_settings(runs_batches=True),
            store=self.store,
            clock=ManualClock(),
            rng=random.Random(1),
        )
        self.state.leadership.active = True
        self.sync = RelaySync(
            state=self.state, links=None, decoder=_Decoder(), on_config=bool
        )
        self.runner = make_batch_runner(self.state, self.sync.config_view)

    async def write_config(self, routes):
        """Writes a configuration as the operator."""
        stored = await self.store.read(CONFIG)
        await self.store.write(
            CONFIG, json.dumps(routes), stored.version if stored else ABSENT
        )

    async def learn_config(self):
        """Lets the watch of the configuration bring what is stored."""
        await self.sync.check_store()

    async def accept(self):
        """Accepts a batch at another host; the runner learns of it."""
        chunk = make_chunks([make_item(item_id) for item_id in ITEMS])[0]
        await self.store.write(
            chunk_name(KEY, 0), serialize_json(chunk), ABSENT
        )
        manifest = make_manifest(route='audit', keep_until_ms=RETENTION_MS)
        await self.store.write(
            batch_name(KEY), serialize_json(manifest), ABSENT
        )
        await self.runner._watch.refresh()
        await curio.sleep(SETTLED_S)

    async def check(self):
        """Checks the items once.

        :returns: the ids of those that were given up.
        """
        await self.runner._fail_unservable()
        await curio.sleep(SETTLED_S)
        job = self.runner._jobs[KEY]
        return sorted(set(ITEMS) - set(job.runs))


@pytest.fixture
def runner():
    """A runner that knows a configuration without the route of the batch."""
    found = Runner()

    async def start():
        await found.write_config(OLD_ROUTES)
        await found.learn_config()

    curio.run(start)
    return found


def test_batch_on_a_route_that_is_not_known_yet_is_given_up(runner):
    """Guards against dead letters of accepted items (MIXED of review/6).

    The runner lists the configuration, instead of waiting for its watch.
    """

    async def play():
        await runner.write_config(ROUTES)
        await runner.accept()
        given_up = await runner.check()
        return given_up, runner.state.config.find_route_named('audit')

    given_up, route = curio.run(play)
    assert not given_up
    assert route


def test_batch_is_given_up_while_the_configuration_can_not_be_listed(runner):
    """Its items wait until the runner knows; one call is made at a time."""

    async def play():
        await runner.write_config(ROUTES)
        await runner.accept()
        runner.store.is_away = True
        given_up = [await runner.check() for _ in range(3)]
        calls = runner.store.listed.count('config/')
        runner.store.is_away = False
        await runner.learn_config()
        return given_up, calls, await runner.check()

    given_up, calls, later = curio.run(play)
    assert given_up == [[], [], []]
    # The first listing, and one that shows that the store is away.
    assert calls == 2
    assert not later


def test_batch_on_a_route_that_was_removed_waits(runner):
    """Its items end as dead letters, as those of no route ever run."""

    async def play():
        await runner.write_config(ROUTES)
        await runner.learn_config()
        await runner.accept()
        before = await runner.check()
        await runner.write_config(OLD_ROUTES)
        await runner.learn_config()
        return before, await runner.check()

    before, later = curio.run(play)
    assert not before
    assert later == list(ITEMS)


def test_batch_accepted_on_a_removed_route_waits(runner):
    """The host that accepted it had an older configuration than the runner."""

    async def play():
        await runner.accept()
        await runner.check()
        return await runner.check()

    assert curio.run(play) == list(ITEMS)


def test_route_that_came_back_ends_a_batch(runner):
    """The runner missed that a removed route was added once more."""

    async def play():
        await runner.write_config(ROUTES)
        await runner.learn_config()
        await runner.write_config(OLD_ROUTES)
        await runner.learn_config()
        await runner.write_config(ROUTES)
        await runner.accept()
        return await runner.check()

    assert not curio.run(play)


def test_configuration_that_can_not_be_read_ends_a_batch(runner):
    """What such a configuration has removed is not known."""

    async def play():
        await runner.write_config(None)
        await runner.learn_config()
        await runner.accept()
        return await runner.check(), await runner.check()

    assert curio.run(play) == ([], [])
