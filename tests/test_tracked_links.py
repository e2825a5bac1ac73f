"""Links to other hosts and what their answers show."""

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

ASKED = CopyRead(name='a/1')


class _Links:
    """Links whose hosts answer or not."""

    def __init__(self):
        self.silent = set()
        self.failing = set()
        self.kept = None

    async def request_at(self, address, body, timeout_s):
        """See the links."""
        if address in self.silent:
            raise PeerUnavailable(detail=address)
        if address in self.failing:
            return StoreFailed(refused=False)
        return body

    async def keep_only(self, addresses):
        """See the links."""
        self.kept = addresses


@pytest.fixture
def links():
    """Hosts that answer."""
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


def test_answer_ends_the_doubt_about_a_data_centre(links, state):
    """Whatever host of it answers."""
    state.centres.on_timeout('west', state.now())
    state.clock.advance(1)
    heard = TrackedLinks(links=links, state=state)
    curio.run(heard.request_at, 'h3:1', ASKED, 1.0)
    assert not state.centres.is_unresponsive('west')


def test_silence_proves_nothing_by_itself(links, state):
    """The host may be down, and its data centre not."""
    links.silent.add('h3:1')
    heard = TrackedLinks(links=links, state=state)
    with pytest.raises(PeerUnavailable):
        curio.run(heard.request_at, 'h3:1', ASKED, 1.0)
    assert not state.centres.is_unresponsive('west')


def test_links_to_hosts_that_are_gone_are_closed(links, state):
    """Replaced hosts leave nothing behind."""
    curio.run(TrackedLinks(links=links, state=state).keep_only, {'h2:1'})
    assert links.kept == {'h2:1'}


@pytest.mark.parametrize('kind', ['silent', 'failing'])
def test_host_that_could_not_help_is_not_asked_again(links, state, kind):
    """Neither one without an answer nor one that is cut off itself."""
    getattr(links, kind).add('h2:1')
    peers = PeerRequests(
        state=state,
        links=TrackedLinks(links=links, state=state),
    )

    async def ask_all():
        for _ in range(20):
            peer = peers.choose()
            with contextlib.suppress(PeerUnavailable):
                await peers.request(peer, ASKED, 1.0)

    curio.run(ask_all)
    assert {peers.choose().host for _ in range(20)} == {'h3'}
