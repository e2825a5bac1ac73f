"""Reports of a host and what it takes from the answers."""

import random

import curio
import pytest
from jacinthmount.leadership import RunnerState
from jacinthmount.memory import ManualClock
from jacinthmount.rate_shares import HeldShares
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.heard_links import HeardLinks
from jacinthmount_node.relay.messages import HostReportReply, RelayHost
from jacinthmount_node.relay.peer_help import PeerHelp
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_relay_settings

RUNNER = RelayHost(
    host='s1',
    incarnation='x',
    data_centre='east',
    peer_address='s1:1',
    runs_batches=True,
)


class _Runner:
    """Links to an active runner that knows two segments of a batch."""

    async def request_at(self, address, body, timeout_s):
        """See the links."""
        return HostReportReply(
            state=RunnerState(host='s1', active=True, store_reached=True),
            revisions={},
            leaving=[],
            views=None,
            parts=[],
            segments={'k': 2},
        )


class _Sync:
    """Fetching what the runner knows takes a while."""

    def __init__(self, clock):
        self.clock = clock
        self.takes_s = 0.0

    async def catch_up(self, address, revisions):
        """See the sync."""
        self.clock.advance(self.takes_s)


class Front:
    """A front that reports to a runner."""

    def __init__(self):
        """Starts with nothing reported."""
        clock = ManualClock()
        self.state = RelayState(
            settings=make_relay_settings(),
            store=MemoryStore(),
            clock=clock,
            rng=random.Random(1),
        )
        self.state.hosts = {'s1': RUNNER}
        self.sync = _Sync(clock)
        links = HeardLinks(links=_Runner(), state=self.state)
        self.shares = HeldShares(now=clock.now())
        self.reporter = HostReporter(
            state=self.state,
            links=links,
            peer_help=PeerHelp(state=self.state, links=links),
            sync=self.sync,
            shares=self.shares,
        )

    def report(self):
        """Reports once, with shares."""
        shares = self.shares.make_report('i', self.state.now())
        curio.run(self.reporter._report, RUNNER, shares)

    def is_current(self, known):
        """Tells whether a log of some segments may be given as it is."""
        return self.state.segments.is_current('k', known, self.state.now())


@pytest.fixture
def front():
    """A front that has not reported yet."""
    return Front()


def test_answer_vouches_for_the_logs_that_it_names(front):
    """A log with as many segments is complete as far as anybody knows."""
    front.report()
    assert front.is_current(2)
    assert not front.is_current(1)


def test_answer_counts_from_the_question(front):
    """Time spent on fetching a configuration does not make it younger."""
    front.sync.takes_s = 0.6
    front.report()
    assert not front.is_current(2)
