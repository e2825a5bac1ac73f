"""Reports of a host: their number, and the handling of the replies."""

import contextlib
import random

import curio
import pytest
from jacinthmount.endpoint_table import EndpointIds
from jacinthmount.errors import PeerUnavailable
from jacinthmount.held_shares import HeldShares
from jacinthmount.leadership import RunnerState
from jacinthmount.memory import ManualClock
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.relay.batch_api import BatchApi
from jacinthmount_node.relay.messages import (
    CreditAsk,
    EndpointViews,
    HostReportReply,
    RelayHost,
    SegmentCount,
)
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

from tests.relay_builders import make_entry, make_relay_settings

RUNNERS = ('s1', 's2', 's3')


def make_runner(host):
    """Builds a runner in a data centre of its own."""
    return RelayHost(
        host=host,
        incarnation='x',
        data_centre=f'centre-of-{host}',
        peer_address=f'{host}:1',
        runs_batches=True,
    )


def make_front(host):
    """Builds a host that serves callers."""
    return RelayHost(
        host=host,
        incarnation='x',
        data_centre='east',
        peer_address=f'{host}:1',
        runs_batches=False,
    )


class _Runners:
    """Links to runners, the first of which is active."""

    def __init__(self):
        self.requests = []
        self.unresponsive = set()

    async def request_at(self, address, body, timeout_s):
        """Records the request and replies as the runner would."""
        host = address.partition(':')[0]
        self.requests.append((host, body))
        if host in self.unresponsive:
            raise PeerUnavailable(detail=host)
        return HostReportReply(
            state=RunnerState(host=host, active=host == 's1', can_run=True),
            revisions={},
            leaving=[],
            views=None,
            parts=[],
        )

    def count(self, host):
        """Counts the requests that a runner received."""
        return [called for called, _ in self.requests].count(host)


class _EndpointList:
    """A list of endpoints whose freshness does not matter."""

    def now(self):
        """Returns the time of the test's own clock."""
        return 0.0

    def on_runner_reply(self, requested_at, revisions):
        """Has nothing to record."""


class _Sync:
    """A sync for which no runner has newer objects."""

    endpoint_list = _EndpointList()

    async def catch_up(self, address, revisions):
        """Has nothing to fetch."""


class Front:
    """A front of a fleet that reports to three runners."""

    def __init__(self, fronts):
        self.state = RelayState(
            settings=make_relay_settings(),
            store=MemoryStore(),
            clock=SystemClock(),
            rng=random.Random(1),
        )
        self.state.update_hosts([
            *map(make_runner, RUNNERS),
            *(make_front(f'h{number}') for number in range(fronts)),
        ])
        self.runners = _Runners()
        links = TrackedLinks(links=self.runners, state=self.state)
        self.reporter = HostReporter(
            state=self.state,
            links=links,
            peer_requests=PeerRequests(state=self.state, links=links),
            sync=_Sync(),
            shares=HeldShares(now=self.state.now()),
        )

    def run(self, seconds, unresponsive_after=None):
        """Reports for a while.

        :param seconds: duration, after ``unresponsive_after`` if that is given.
        :param unresponsive_after: seconds after which the active runner no
            longer replies, or None.
        """

        async def run_reporter():
            task = await curio.spawn(self.reporter.run, daemon=True)
            if unresponsive_after is not None:
                await curio.sleep(unresponsive_after)
                self.runners.requests.clear()
                self.runners.unresponsive.add('s1')
            await curio.sleep(seconds)
            await task.cancel()

        curio.run(run_reporter)


@pytest.mark.parametrize(
    ('fronts', 'active', 'standby'),
    [(8, (6, 9), (6, 9)), (195, (3, 5), (1, 1)), (417, (1, 3), (1, 1))],
)
def test_report_rate_of_a_host_falls_with_the_number_of_hosts(
    fronts, active, standby
):
    """A runner receives a bounded number of reports from all hosts."""
    front = Front(fronts)
    front.run(2.0)
    assert active[0] <= front.runners.count('s1') <= active[1]
    assert standby[0] <= front.runners.count('s2') <= standby[1]


def test_host_reports_to_all_runners_once_the_active_one_is_unresponsive():
    """A host of a large fleet detects at once what else is unreachable."""
    front = Front(195)
    front.run(0.9, unresponsive_after=1.0)
    assert front.runners.count('s1')
    assert front.runners.count('s2')
    assert front.runners.count('s3')


@pytest.mark.parametrize('lost', ['s1', 's2'])
def test_any_runner_that_answers_may_grant_credit(lost):
    """A runner that just failed to reply gets no further requests.

    Guards against hosts in the data centre of a lost runner that kept sending
    requests to it.
    """
    front = Front(195)
    front.runners.unresponsive.add(lost)
    link = RunnerLink(
        state=front.state,
        links=front.runners,
        peer_requests=None,
        active=front.reporter.active,
    )

    async def request_often():
        for _ in range(20):
            with contextlib.suppress(PeerUnavailable):
                await link.request_any(CreditAsk(account='gin'), 0.1)

    curio.run(request_often)
    assert front.runners.count(lost) <= 1
    assert len(front.runners.requests) == 20


@pytest.mark.parametrize(('known', 'counted'), [(2, [3, 4]), (3, [0, 0, 0])])
def test_counts_are_used_only_for_the_same_endpoints(known, counted):
    """Counts come without ids, in the order that both hosts have."""
    front = Front(1)
    endpoints = front.state.endpoints
    for number in range(known):
        endpoints.put(make_entry(f'e{number}'), 1)
    front.state.placement('model-a')
    views = EndpointViews(
        digest=EndpointIds(ids=['e0', 'e1']).digest,
        online=bytes((3, 4)),
        batch=bytes((0, 1)),
    )
    front.reporter._apply_views(views, front.state.now())
    uses = front.state.placement('model-a').uses()
    assert [use.online_from_others for use in uses] == counted


def make_state(fronts, clock):
    """Builds the state of a front in a fleet."""
    state = RelayState(
        settings=make_relay_settings(),
        store=MemoryStore(),
        clock=clock,
        rng=random.Random(1),
    )
    state.update_hosts([make_front(f'h{number}') for number in range(fronts)])
    return state


def test_standby_updates_a_large_fleet_while_no_runner_is_active():
    """Otherwise hundreds of hosts would access the store at once."""
    clock = ManualClock()
    state = make_state(195, clock)
    state.note_update_source('s1:1', by_active=True)
    state.note_update_source('s2:1', by_active=False)
    assert state.find_update_source() == 's1:1'
    clock.advance(1.2)
    state.note_update_source('s2:1', by_active=False)
    assert state.find_update_source() == 's2:1'
    clock.advance(4)
    # A standby may not have detected that the store refuses its requests.
    state.note_update_source('s2:1', by_active=False)
    assert not state.find_update_source()


def test_standby_updates_no_host_of_a_small_fleet():
    """A few hosts access the store themselves instead."""
    clock = ManualClock()
    state = make_state(8, clock)
    state.note_update_source('s1:1', by_active=True)
    clock.advance(0.9)
    state.note_update_source('s2:1', by_active=False)
    clock.advance(0.2)
    assert not state.find_update_source()


class _Counting:
    """A link to the active runner, which reports two segments."""

    def __init__(self, clock):
        self.clock = clock
        self.takes_s = 0.0
        self.requests = 0

    async def request_directly(self, body, timeout_s):
        """Replies after the delay."""
        self.requests += 1
        self.clock.advance(self.takes_s)
        return SegmentCount(count=2)


@pytest.fixture
def batch_calls():
    """Batch calls of a front, which query the number of segments."""
    clock = ManualClock()
    return BatchApi(
        state=make_state(8, clock),
        runner_link=_Counting(clock),
        connectivity=None,
    )


def is_current(batch_calls, known):
    """Checks whether a log with this many segments is known to be current."""
    return batch_calls._state.segments.is_current(
        'k', known, batch_calls._state.now()
    )


def test_reply_confirms_a_log_with_as_many_segments(batch_calls):
    """A log with fewer segments is not current."""
    curio.run(batch_calls._query_segment_count, 'k')
    assert is_current(batch_calls, 2)
    assert not is_current(batch_calls, 1)


def test_age_of_a_reply_counts_from_its_request(batch_calls):
    """A delayed reply is as old as its request."""
    batch_calls._runner_link.takes_s = 0.6
    curio.run(batch_calls._query_segment_count, 'k')
    assert not is_current(batch_calls, 2)
