"""Claims of a host on chunks of batches."""

import json
import time
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.batches import batch_name
from jacinthmount.claims import Claim, claim_name
from jacinthmount.errors import StoreUnavailable
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_json, serialize_json
from jacinthmount.results import FAILED
from jacinthmount.stores import MemoryStore
from jacinthmount.table import ConfigTable
from jacinthmount_node.batches.batch_claims import BatchClaims
from jacinthmount_node.batches.batches_api import read_results
from jacinthmount_node.members.config_sync import ConfigSync

from tests.builders import make_batch, make_endpoint

# Enough for a host to claim a chunk and to read it.
CLAIMED_S = 1.2
NEW_MODEL = 'fleet/config/service/model-b'
LINE = json.dumps({
    'custom_id': 'line-1',
    'method': 'POST',
    'url': '/v1/chat/completions',
    'body': {'model': 'model-b', 'messages': []},
})


class _Files:
    """Files whose chunks can't be read."""

    def __init__(self, *, exc):
        """Raises an error for each chunk."""
        self._exc = exc
        self.read = 0

    async def read_chunk(self, name, chunk):
        """Fails."""
        self.read += 1
        raise self._exc


@pytest.fixture
def node():
    """A host with a store and no other host."""
    counter = SimpleNamespace(inc=lambda: None)
    return SimpleNamespace(
        host='a',
        incarnation='1',
        members={},
        now=time.monotonic,
        store=MemoryStore(),
        settings=SimpleNamespace(batch_streams=8),
        metrics=SimpleNamespace(
            platform_calls=SimpleNamespace(labels=lambda kind: counter)
        ),
        table=ConfigTable(),
        apply=lambda changed: None,
    )


@pytest.fixture
def batch_state():
    """One open batch of one chunk."""
    return SimpleNamespace(
        chunks={},
        stopping=False,
        decay_served=lambda elapsed_s: None,
        open_batches=lambda: [make_batch('b1', chunks=1)],
        can_run_any=lambda targets: True,
    )


async def run_claims(claims):
    """Lets a host claim for a while."""
    running = await curio.spawn(claims.run)
    await curio.sleep(CLAIMED_S)
    await running.cancel()


@pytest.mark.parametrize(
    'exc', [ValueError('odd line'), curio.TaskTimeout('late')]
)
def test_chunk_that_can_not_be_read_keeps_its_claim(node, batch_state, exc):
    """The claim is released, so that items can run."""
    files = _Files(exc=exc)
    claims = BatchClaims(
        node=node,
        rooms=SimpleNamespace(owned_endpoints=lambda: [make_endpoint('e1')]),
        files=files,
        sync=None,
        batch_state=batch_state,
    )
    curio.run(run_claims, claims)
    assert files.read == 1
    stored = curio.run(node.store.read, claim_name('b1', 0))
    assert not parse_json(Claim, stored.body).holder


class _Lines:
    """Files of one line that names a model."""

    async def read_chunk(self, name, chunk):
        """Returns the line."""
        return [LINE]


class _BatchStore(MemoryStore):
    """A store whose configuration can't be listed for a while."""

    __slots__ = ('is_away',)

    def __init__(self):
        super().__init__()
        self.is_away = False

    async def list_names(self, prefix):
        """See :meth:`~jacinthmount.ports.ObjectStore.list_names`."""
        if self.is_away and prefix == 'fleet/':
            raise StoreUnavailable(detail='away')
        return await super().list_names(prefix)


@pytest.fixture
def known_models(node, batch_state):
    """State of a batch whose models are those in the table of the host."""
    batch_state.is_known = lambda target: bool(node.table.read(NEW_MODEL))
    return batch_state


async def claim_new_batch(node, batch_state, store, *, is_declared):
    """Lets a host claim a batch that another one has just accepted.

    The other host has told it of the batch, not of the model.

    :returns: the states of its results, and the claim on it.
    """

    async def ignore(changed):
        """Stands for the tasks that react to the configuration."""

    node.store = store
    if is_declared:
        await store.write(NEW_MODEL, '{}', ABSENT)
    body = serialize_json(make_batch('b1', chunks=1))
    name = batch_name('gin', 'b1')
    await store.write(name, body, ABSENT)
    node.table.merge([await store.read(name)])
    claims = BatchClaims(
        node=node,
        rooms=SimpleNamespace(owned_endpoints=lambda: [make_endpoint('e1')]),
        files=_Lines(),
        sync=ConfigSync(node=node, links=None, on_change=ignore),
        batch_state=batch_state,
    )
    running = await curio.spawn(claims.run)
    await curio.sleep(CLAIMED_S)
    results = await read_results(node, 'b1', 0, lines=1)
    stored = await store.read(claim_name('b1', 0))
    await running.cancel()
    states = [record.state for record in results.records()]
    return states, parse_json(Claim, stored.body)


def test_items_of_a_model_that_is_not_known_yet_fail(node, known_models):
    """Guards against failed items of a model that was added moments before."""
    states, claim = curio.run(
        lambda: claim_new_batch(
            node, known_models, MemoryStore(), is_declared=True
        )
    )
    assert not states
    assert claim.holder == 'a'


def test_items_of_a_removed_model_wait(node, known_models):
    """They could never run, so they end as failed."""
    states, claim = curio.run(
        lambda: claim_new_batch(
            node, known_models, MemoryStore(), is_declared=False
        )
    )
    assert states == [FAILED]
    assert claim.done


def test_items_fail_while_the_configuration_can_not_be_listed(
    node, known_models
):
    """The claim is given up, and the items are still owed."""
    store = _BatchStore()
    store.is_away = True
    states, claim = curio.run(
        lambda: claim_new_batch(node, known_models, store, is_declared=True)
    )
    assert not states
    assert not claim.holder
    assert not claim.done
