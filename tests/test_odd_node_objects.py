"""Odd objects of another writer among those of the first interface."""

import random
import types

import curio
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.declarations import CONFIG_PREFIX
from jacinthmount.errors import StoreUnavailable
from jacinthmount.keys import KEY_PREFIX
from jacinthmount.members import HOST_PREFIX
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import serialize_json
from jacinthmount.shares import SHARE_PREFIX
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.object_api import HttpHostList, HttpStore
from jacinthmount_node.net.sockets import SystemClock, listen
from jacinthmount_node.node import Node
from jacinthmount_standin.addresses import PortReserve

from tests.builders import make_table

SEED = 38
EXAMPLES = 200
KINDS = (
    KEY_PREFIX,
    HOST_PREFIX,
    SHARE_PREFIX,
    CONFIG_PREFIX,
    f'{CONFIG_PREFIX}account/',
    f'{CONFIG_PREFIX}endpoint/',
    f'{CONFIG_PREFIX}service/',
)
ODD_BODIES = st.text(max_size=6) | st.sampled_from((
    '',
    'null',
    '[]',
    '{}',
    '9' * 5000,
    '[' * 100_000,
    '{"host": 7}',
))
ODD_NAMES = st.builds(
    ''.join, st.tuples(st.sampled_from(KINDS), st.text(max_size=5))
)


@pytest.fixture(scope='module')
def node_settings():
    """The settings that the shared state of a node reads."""
    return types.SimpleNamespace(host='h1', data_centre='east')


@seed(SEED)
@settings(max_examples=EXAMPLES, deadline=None)
@given(entries=st.dictionaries(ODD_NAMES, ODD_BODIES, max_size=4))
def test_next_share_table_is_used_after_odd_objects(node_settings, entries):
    """Guards against a node that follows its configuration no longer."""
    node = Node(
        settings=node_settings,
        store=None,
        clock=SystemClock(),
        engine=None,
        plain=None,
        rng=random.Random(1),
    )
    objects = [
        Stored(name=name, version=number + 1, body=body)
        for number, (name, body) in enumerate(entries.items())
    ]
    sound = Stored(
        name=f'{SHARE_PREFIX}sound',
        version=100,
        body=serialize_json(make_table('h1')),
    )
    for changed in (objects, [sound]):
        node.apply(node.table.merge(changed))
    assert make_table('h1') in node.share_tables


@pytest.mark.parametrize(
    'answer',
    [
        b'[' * 100_000,
        b'9' * 5000,
        b'null',
        b'[]',
        b'{}',
        b'{"objects": 3, "revision": 1, "hosts": 3, "bytes": "x"}',
        b'{"objects": [3], "revision": 1, "hosts": [3], "version": "x"}',
    ],
)
def test_answer_that_is_no_object_list_is_an_outage(answer):
    """Guards against unexpected errors out of the clients of the platform."""

    async def reply(request, responder):
        await request.read_body(1000)
        await responder.send(200, answer, [])

    async def play():
        reserve = PortReserve()
        address = f'127.0.0.1:{reserve.take(1)[0]}'
        server = HttpServer(sock=listen(address), handler=reply)
        task = await curio.spawn(server.run, daemon=True)
        pool = ClientPool()
        store = HttpStore(addresses=[address], pool=pool)
        hosts = HttpHostList(addresses=[address], pool=pool)
        for call in (
            lambda: store.list_names('a/'),
            lambda: store.watch('a/', 1, 0.1),
            lambda: store.read('a/b'),
            lambda: store.write('a/b', 'x', ABSENT),
            hosts.read_hosts,
        ):
            with pytest.raises(StoreUnavailable):
                await call()
        await task.cancel()
        reserve.close()

    curio.run(play)
