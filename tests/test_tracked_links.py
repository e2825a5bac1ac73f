"""Peer links that record the contact with data centres."""

import contextlib
import random

import curio
import pytest
from jacinthmount.errors import PeerUnavailable
from jacinthmount.memory import ManualClock
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.messages import CopyRead, RelayHost, StoreFailed
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

from tests.relay_builders import make_relay_settings

MESSAGE = CopyRead(name='a/1')


class _Links:
    """Links to hosts some of which do not reply or fail."""

    def __init__(self):
        self.silent = set()
        self.failing = set()
        self.kept = None

    async def request_at(self, address, body, timeout_s):
        """Replies with the message, or as set for the host."""
        if address in self.silent:
            raise PeerUnavailable(detail=address)
        if address in self.failing:
            return StoreFailed(refused=False)
        return body

    async def keep_only(self, addresses):
        """Records the addresses."""
        self.kept = addresses


@pytest.fixture
def links():
    """Links to hosts that all reply."""
    return _Links()


@pytest.fixture
def state():
    """A front that knows two others, one in another data centre."""
    found = RelayState(
        settings=make_relay_settings(),
        store=MemoryStore(),
        clock=ManualClock(),
        rng=random.Random(1),
    )
    found.update_hosts([
        RelayHost(
            host=name,
            incarnation='x',
            data_centre=data_centre,
            peer_address=f'{name}:1',
            runs_batches=False,
        )
        for name, data_centre in (('h2', 'east'), ('h3', 'west'))
    ])
    return found


def test_reply_of_any_host_marks_its_data_centre_responsive(links, state):
    """A data centre with a time-out is responsive again after one reply."""
    state.centres.on_timeout('west', state.now())
    state.clock.advance(1)
    tracked = TrackedLinks(links=links, state=state)
    curio.run(tracked.request_at, 'h3:1', MESSAGE, 1.0)
    assert not state.centres.is_unresponsive('west')


def test_missing_reply_does_not_mark_a_data_centre_unresponsive(links, state):
    """The host may be down while its data centre is available."""
    links.silent.add('h3:1')
    tracked = TrackedLinks(links=links, state=state)
    with pytest.raises(PeerUnavailable):
        curio.run(tracked.request_at, 'h3:1', MESSAGE, 1.0)
    assert not state.centres.is_unresponsive('west')


def test_links_to_removed_hosts_are_closed(links, state):
    """No link to a replaced host is kept."""
    curio.run(TrackedLinks(links=links, state=state).keep_only, {'h2:1'})
    assert links.kept == {'h2:1'}


@pytest.mark.parametrize('kind', ['silent', 'failing'])
def test_host_that_failed_is_not_chosen_again(links, state, kind):
    """Neither a host without a reply nor one that is itself cut off."""
    getattr(links, kind).add('h2:1')
    peers = PeerRequests(
        state=state,
        links=TrackedLinks(links=links, state=state),
    )

    async def request_all():
        for _ in range(20):
            peer = peers.choose()
            with contextlib.suppress(PeerUnavailable):
                await peers.request(peer, MESSAGE, 1.0)

    curio.run(request_all)
    assert {peers.choose().host for _ in range(20)} == {'h3'}
