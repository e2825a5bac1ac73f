"""Configuration sync of a host: what it misses, and what it starts with."""

import random
import time
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.errors import PeerUnavailable, StoreUnavailable
from jacinthmount.keys import Keyring
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.stores import MemoryStore
from jacinthmount.table import ConfigTable
from jacinthmount_node.members.config_sync import MAX_PUSH_OBJECTS, ConfigSync
from jacinthmount_node.messages import Digest, Fetch

KEY = 'fleet/keys/k1'
BATCH = 'fleet/batches/gin/b1'
PEER = 'h2:1'
OWN = 'h1:1'
COUNT = 2 * MAX_PUSH_OBJECTS + 1
# Enough for a call to be made, or to fail.
SETTLED_S = 0.05
# Enough for a watch that was cut to go on.
RECOVERED_S = 1.0


class _Store(MemoryStore):
    """A store whose watch calls wait, and are cut on request."""

    __slots__ = ('cut', 'is_away')

    def __init__(self):
        super().__init__()
        self.cut = curio.Event()
        self.is_away = False

    async def list_names(self, prefix):
        """See :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        if self.is_away:
            raise StoreUnavailable(detail='away')
        return await super().list_names(prefix)

    async def watch(self, prefix, after, wait_s):
        """Waits for a change after a version."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            if self.cut.is_set():
                self.cut.clear()
                raise StoreUnavailable(detail='cut')
            changes = await super().watch(prefix, after, 0)
            if changes:
                return changes
            await curio.sleep(0.01)
        return []


class _Links:
    """Links to another host, whose sync answers."""

    def __init__(self):
        self.peers = {}
        self.pushed = []

    async def request(self, record, body, timeout_s):
        """Keeps the names of the objects of a push."""
        self.pushed.extend(stored.name for stored in body.objects)

    async def request_at(self, address, body, timeout_s):
        """Passes a message on."""
        sync = self.peers.get(address)
        if sync is None:
            raise PeerUnavailable(detail=address)
        if isinstance(body, Digest):
            return sync.answer_digest(body)
        if isinstance(body, Fetch):
            return sync.answer_fetch(body)
        await sync.apply_objects(body.objects, push=False)
        return body


async def ignore(changed):
    """Stands for the tasks that react to the configuration."""


def make_sync(store, links, *, loaded):
    """Makes the sync of a host that watches the platform."""
    counter = SimpleNamespace(inc=lambda: None)
    node = SimpleNamespace(
        host='h1',
        data_centre='east',
        live_hosts=lambda: ['h1'],
        members={},
        loaded=loaded,
        store=store,
        table=ConfigTable(),
        keyring=Keyring(),
        apply=lambda changed: None,
        rng=random.Random(1),
        settings=SimpleNamespace(peers=[OWN, PEER], peer_address=lambda: OWN),
        metrics=SimpleNamespace(
            platform_calls=SimpleNamespace(labels=lambda kind: counter)
        ),
    )
    return node, ConfigSync(node=node, links=links, on_change=ignore)


def make_stored(number):
    """Makes an object of a peer."""
    return Stored(name=f'fleet/keys/{number}', version=number, body='key')


@pytest.fixture
def store():
    """The store of the platform."""
    return _Store()


async def run_beside(sync, play):
    """Lets a loaded host follow the platform, while a function runs."""
    await sync.load()
    running = await curio.spawn(sync.run)
    await curio.sleep(SETTLED_S)
    await play()
    await curio.sleep(RECOVERED_S)
    await running.cancel()


async def change_unseen(store, sync):
    """Changes a key, and lets a peer tell the host of a later object."""
    await store.write(KEY, 'withdrawn', 1)
    await store.write(BATCH, 'open', ABSENT)
    await sync.apply_objects([await store.read(BATCH)], push=True)


def test_object_of_a_peer_hides_an_earlier_change(store):
    """Guards against a withdrawn key that a watch does not bring.

    The watch was cut, a key changed, and a peer told of a later object.
    """
    node, sync = make_sync(store, _Links(), loaded=False)
    curio.run(store.write, KEY, 'valid', ABSENT)

    async def play():
        await store.cut.set()
        await curio.sleep(SETTLED_S)
        await change_unseen(store, sync)

    curio.run(run_beside, sync, play)
    assert node.table.read(KEY).body == 'withdrawn'


def test_object_of_a_peer_hides_a_change_between_two_calls(store):
    """The same without a cut: both happen between two watch calls."""
    node, sync = make_sync(store, _Links(), loaded=False)
    curio.run(store.write, KEY, 'valid', ABSENT)
    seen = []

    async def hold(changed):
        if not seen:
            seen.extend(changed)
            await change_unseen(store, sync)

    async def play():
        sync._on_change = hold
        await store.write('fleet/config/account/gin', 'gin', ABSENT)

    curio.run(run_beside, sync, play)
    assert seen
    assert node.table.read(KEY).body == 'withdrawn'


def test_change_that_a_listing_brings_is_not_pushed(store):
    """Hosts that do not watch would learn of it only by their digests."""
    links = _Links()
    node, sync = make_sync(store, links, loaded=False)
    node.members['h2'] = SimpleNamespace(
        host='h2', data_centre='east', peer_address=PEER
    )

    async def play():
        await store.cut.set()
        await curio.sleep(SETTLED_S)
        await store.write(KEY, 'withdrawn', ABSENT)

    curio.run(run_beside, sync, play)
    assert links.pushed == [KEY]


def test_host_starts_with_a_part_of_the_configuration(store):
    """Guards against refusals of keys and routes that it has not fetched yet.

    The platform is away, and a reply of a peer holds some objects only.
    """
    links = _Links()
    peer, peer_sync = make_sync(MemoryStore(), links, loaded=True)
    links.peers[PEER] = peer_sync
    peer.table.merge([make_stored(number) for number in range(1, COUNT + 1)])
    node, sync = make_sync(store, links, loaded=False)
    store.is_away = True
    assert curio.run(sync.load)
    assert len(list(node.table.iter_prefix('fleet/'))) == COUNT


@pytest.mark.parametrize('address', [OWN, PEER])
def test_host_starts_with_what_a_host_that_is_not_loaded_has(store, address):
    """Guards against one pushed object that is taken for the whole."""
    links = _Links()
    node, sync = make_sync(store, links, loaded=False)
    peer, peer_sync = make_sync(MemoryStore(), links, loaded=False)
    links.peers = {OWN: sync, PEER: peer_sync}
    curio.run(
        lambda: links.peers[address].apply_objects([make_stored(1)], push=False)
    )
    store.is_away = True
    assert not curio.run(sync.load)
    assert not node.loaded
    assert peer.table.revision + node.table.revision == 1


def test_host_that_is_not_loaded_ignores_withdrawn_keys(store):
    """It takes them from any digest, although it answers none."""
    node, sync = make_sync(store, _Links(), loaded=False)
    digest = Digest(digest=node.table.digest(), withdrawn=['k1'])
    with pytest.raises(PeerUnavailable):
        sync.answer_digest(digest)
    assert node.keyring.withdrawn_ids() == ['k1']
