"""Odd objects of another writer among those of the batches."""

import json
import random

import curio
import pytest
from jacinthmount.errors import MalformedRecord
from jacinthmount.item_batches import BATCH_PREFIX, ItemBatch, batch_name
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.relay import batch_cleanup
from jacinthmount_node.relay.batch_api import BatchApi
from jacinthmount_node.relay.messages import BatchAdmission
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_manifest, make_relay_settings

ODD_BODIES = ('nothing', '', '[]', '9' * 5000, '[' * 100_000)


async def fill(bodies):
    """Builds a store with one batch whose name comes after the odd ones."""
    store = MemoryStore()
    for number, body in enumerate(bodies):
        await store.write(batch_name(f'0{number}'), body, ABSENT)
    manifest = make_manifest()
    await store.write(batch_name('zz'), serialize_json(manifest), ABSENT)
    return store, manifest


def test_odd_manifest_costs_a_submission():
    """Guards against 500 for a batch while no runner answers."""

    async def play():
        store, manifest = await fill(ODD_BODIES)
        state = RelayState(
            settings=make_relay_settings(),
            store=store,
            clock=SystemClock(),
            rng=random.Random(1),
        )
        api = BatchApi(state=state, runner_link=None, connectivity=None)
        waiting = sum(manifest.token_counts)
        return [
            await api._admit_by_store(
                BatchAdmission(
                    account=manifest.account,
                    route=manifest.route,
                    key='new',
                    tokens=1,
                    cap=waiting + free,
                )
            )
            for free in (0, 1)
        ]

    assert [one.fits for one in curio.run(play)] == [False, True]


def test_odd_manifest_ends_the_cleanup():
    """Guards against a runner that restarts its batches at each cleanup."""

    async def ignore(watch, changed):
        """Uses the objects of the watch only."""

    async def play():
        store, _ = await fill(ODD_BODIES)
        watch = ObjectWatch(
            store=store,
            prefix=BATCH_PREFIX,
            on_change=ignore,
            rng=random.Random(1),
        )
        await watch.refresh()
        await batch_cleanup._remove_expired(store, watch)
        return [one.name for one in (await store.list_names('')).objects]

    names = curio.run(play)
    assert batch_name('zz') not in names
    assert len(names) == len(ODD_BODIES)


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'due_at_ms': 10**400}, id='time too large'),
        pytest.param({'max_attempts': 2**64}, id='beyond a message'),
        pytest.param({'token_counts': [10**400]}, id='tokens too large'),
        pytest.param({'account': '\ud800'}, id='lone surrogate'),
        pytest.param({'item_ids': ['\ud800']}, id='surrogate in a list'),
    ],
)
def test_odd_field_of_a_manifest_ends_a_task(change):
    """Guards against values that reach arithmetic, a message or a header."""
    fields = json.loads(serialize_json(make_manifest()))
    with pytest.raises(MalformedRecord):
        parse_json(ItemBatch, json.dumps({**fields, **change}))
