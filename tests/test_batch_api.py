"""Batch API of a front while the store or other hosts are unavailable."""

import random
import time

import curio
import pytest
from jacinthmount.errors import (
    OutcomeUnknown,
    PeerUnavailable,
    StoreUnavailable,
)
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.relay.batch_api import BatchApi
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_item, make_relay_settings, make_route

ROUTE = make_route('audit', takes_batches=True, completion_s=18.0)


class _UnresponsiveStore(MemoryStore):
    """A store that does not answer writes."""

    __slots__ = ()

    async def write(self, name, body, expected):
        """See :meth:`~jacinthmount.ports.ObjectStore.write`."""
        await curio.sleep(60)


class _NoRunner:
    """A link without an active runner."""

    async def request(self, body, within_s):
        raise PeerUnavailable(detail='no runner')

    async def request_directly(self, body, timeout_s):
        raise PeerUnavailable(detail='no runner')


class FakeConnectivity:
    """Connectivity of a host that the test can isolate."""

    def __init__(self):
        self.isolated = False

    def is_isolated(self):
        """Returns whether the test isolated the host."""
        return self.isolated


@pytest.fixture
def connectivity():
    """Connectivity of a host that reaches the others."""
    return FakeConnectivity()


def make_api(store, connectivity):
    """Builds the batch API of a front."""
    state = RelayState(
        settings=make_relay_settings(),
        store=store,
        clock=SystemClock(),
        rng=random.Random(1),
    )
    return BatchApi(
        state=state,
        runner_link=_NoRunner(),
        connectivity=connectivity,
    )


def submit(api):
    """Submits a batch of one item."""
    curio.run(api.submit, 'gin', ROUTE, 'b1', 'scans.example', [make_item('a')])


def test_isolated_host_refuses_a_batch_at_once(connectivity):
    """Nothing is written, and the client may retry at once.

    Guards against an isolated host that answered only after four seconds, so
    that another data centre accepted the batch too late for its deadline.
    """
    store = MemoryStore()
    connectivity.isolated = True
    started = time.monotonic()
    with pytest.raises(StoreUnavailable) as caught:
        submit(make_api(store, connectivity))
    assert time.monotonic() < started + 0.1
    assert caught.value.retry_after_s == pytest.approx(0, abs=0.2)
    assert not store.revision


def test_submission_without_store_answer_fails_soon(
    connectivity,
):
    """The outcome is reported as unknown in time for another attempt."""
    started = time.monotonic()
    with pytest.raises(OutcomeUnknown):
        submit(make_api(_UnresponsiveStore(), connectivity))
    assert time.monotonic() < started + 2


def test_isolated_host_neither_reads_nor_ends_an_open_batch(connectivity):
    """Its log may have changed since it was cached."""
    api = make_api(MemoryStore(), connectivity)
    submit(api)
    total, _ = curio.run(api.read_results, 'gin', 'b1', 0, 0.0)
    assert total == 1
    connectivity.isolated = True
    with pytest.raises(StoreUnavailable):
        curio.run(api.read_results, 'gin', 'b1', 0, 0.0)
    with pytest.raises(StoreUnavailable):
        curio.run(api.end, 'gin', 'b1')
