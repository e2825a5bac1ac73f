"""Claims of a host on chunks of batches."""

import time
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.claims import Claim, claim_name
from jacinthmount.records import parse_json
from jacinthmount.stores import MemoryStore
from jacinthmount_node.batches.batch_claims import BatchClaims

from tests.builders import make_batch, make_endpoint

# Enough for a host to claim a chunk and to read it.
CLAIMED_S = 1.2


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
