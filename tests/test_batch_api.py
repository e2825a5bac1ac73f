"""Callers' side of batches while the store or everything else is away."""

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
    """A store that takes a write and never answers."""

    __slots__ = ()

    async def write(self, name, body, expected):
        """See the port."""
        await curio.sleep(60)


class _NoRunner:
    """No way to the active runner."""

    async def request(self, body, within_s):
        raise PeerUnavailable(detail='no runner')

    async def request_directly(self, body, timeout_s):
        raise PeerUnavailable(detail='no runner')


class FakeConnectivity:
    """Whether this host is cut off."""

    def __init__(self):
        """Starts in touch."""
        self.isolated = False

    def is_isolated(self):
        """Tells the desk."""
        return self.isolated


@pytest.fixture
def connectivity():
    """A host that reaches the others."""
    return FakeConnectivity()


def make_desk(store, connectivity):
    """Builds the desk of a front."""
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


def submit(desk):
    """Submits a batch of one item."""
    curio.run(
        desk.submit, 'gin', ROUTE, 'b1', 'scans.example', [make_item('a')]
    )


def test_host_that_is_cut_off_sends_a_batch_elsewhere_at_once(connectivity):
    """Nothing is written, and the client may come back at once.

    Seen as four seconds of silence, after which another data centre accepted
    the batch too late for its deadline.
    """
    store = MemoryStore()
    connectivity.isolated = True
    started = time.monotonic()
    with pytest.raises(StoreUnavailable) as caught:
        submit(make_desk(store, connectivity))
    assert time.monotonic() < started + 0.1
    assert caught.value.retry_after_s == pytest.approx(0, abs=0.2)
    assert not store.revision


def test_submission_that_the_store_does_not_answer_is_settled_soon(
    connectivity,
):
    """It may be kept, which is said in time for another attempt."""
    started = time.monotonic()
    with pytest.raises(OutcomeUnknown):
        submit(make_desk(_UnresponsiveStore(), connectivity))
    assert time.monotonic() < started + 2


def test_cut_off_host_still_reads_what_it_holds(connectivity):
    """A complete log does not change; anything else can't be told."""
    desk = make_desk(MemoryStore(), connectivity)
    submit(desk)
    total, _ = curio.run(desk.read_results, 'gin', 'b1', 0, 0.0)
    assert total == 1
    connectivity.isolated = True
    with pytest.raises(StoreUnavailable):
        curio.run(desk.read_results, 'gin', 'b1', 0, 0.0)
    with pytest.raises(StoreUnavailable):
        curio.run(desk.end, 'gin', 'b1')
