"""Requests to endpoints that name a limit, over all hosts together."""

import random

import pytest
from jacinthmount.cold_period import runner_limit
from jacinthmount.endpoint_limit import (
    RUNNER_SHARE,
    LimitPace,
    LimitShare,
    host_share,
)
from jacinthmount.placement import EndpointUse, Placement
from jacinthmount.reachability import DataCentreContacts

from tests.relay_builders import make_entry

PER_S = 3.0
WINDOW_S = 4.0
TICK_S = 0.01
WHOLE = LimitShare(fraction=1.0, takes_turns=False)


@pytest.fixture
def rng():
    """A fixed sequence of random numbers."""
    return random.Random(3)


def make_pace(rng, share, per_s=PER_S):
    """Builds the pace of a process that learned a limit at 0 s."""
    pace = LimitPace(share=share)
    assert pace.on_named(per_s, 0.0, rng, 0.0)
    return pace


def list_sent(paces, start_s, until_s):
    """Lists when processes send that always have a request."""
    times = []
    for tick in range(int(start_s / TICK_S), int(until_s / TICK_S)):
        now = tick * TICK_S
        for pace in paces:
            if pace.may_send(now):
                pace.on_sent(now)
                times.append(now)
    return times


def make_placement(rng, share, *names):
    """Builds the placement of a process, without limits."""
    placement = Placement(rng=rng, centres=DataCentreContacts(own='east'))
    placement.apply_share(share, 0.0)
    placement.set_entries([make_entry(name, slots=8) for name in names], 0.0)
    return placement


@pytest.mark.parametrize('hosts', [1, 6, 60])
@pytest.mark.parametrize('per_s', [0.5, 3.0, 3.7])
@pytest.mark.parametrize('idle_s', [0.0, 30.0])
def test_hosts_and_runner_together_keep_to_the_limit(rng, hosts, per_s, idle_s):
    """Each of them always has a request to send, also after an idle time.

    Guards against many hosts that send at once after nobody had a request.
    """
    paces = [make_pace(rng, host_share(hosts), per_s) for _ in range(hosts)]
    paces.append(make_pace(rng, RUNNER_SHARE, per_s))
    times = list_sent(paces, idle_s, idle_s + 10 * WINDOW_S)
    most = max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )
    assert most <= 1.5 * per_s * WINDOW_S + 5
    assert len(times) >= 0.8 * per_s * RUNNER_SHARE.fraction * 10 * WINDOW_S


def test_limit_ends_when_answers_stop_to_name_it(rng):
    """The word of a later answer holds, whichever host received it."""
    pace = make_pace(rng, WHOLE)
    assert not pace.may_send(0.1)
    assert not pace.on_named(0.0, -1.0, rng, 0.1)
    assert not pace.may_send(0.1)
    assert pace.on_named(0.0, 0.05, rng, 0.1)
    assert pace.may_send(0.1)


def test_changed_limit_holds_from_the_next_request_on(rng):
    """An endpoint may lower and raise its limit."""
    pace = make_pace(rng, WHOLE, 10.0)
    for _ in range(10):
        pace.on_sent(1.0)
    assert pace.on_named(1.0, 1.01, rng, 1.01)
    assert not pace.may_send(1.8)
    assert pace.may_send(2.1)


def test_items_leave_a_token_to_online_requests(rng):
    """An item is sent only if an online request could be sent as well."""
    pace = make_pace(rng, WHOLE, 1.0)
    assert pace.may_send(1.1)
    assert not pace.may_send_item(1.1)
    assert pace.may_send_item(2.1)


def test_hosts_send_no_items_to_limited_endpoints(rng):
    """Only the active runner runs items."""
    pace = make_pace(rng, host_share(1), 1.0)
    assert not pace.may_send_item(60.0)


def test_unused_turn_of_a_host_expires(rng):
    """Guards against hosts that save up turns."""
    pace = make_pace(rng, host_share(10), PER_S)
    waits = [pace.wait_s(100 + second) for second in range(10)]
    assert sum(not wait for wait in waits) <= 2
    assert max(waits) > 5


def test_smaller_of_two_bounds_holds(rng):
    """An endpoint may be cold and name a limit."""
    use = EndpointUse(
        entry=make_entry('e1'),
        limit=runner_limit(10.0, 1.5),
        share=WHOLE,
    )
    use.cold.on_stated(10.0, rng, 0.0)
    use.limit.on_named(10.0, 0.0, rng, 0.0)
    use.begin(1.0)
    assert not use.may_send(1.5)
    assert use.may_send(2.0)
    use.limit.on_named(0.5, 2.0, rng, 2.0)
    use.begin(2.0)
    use.begin(2.0)
    assert not use.may_send(3.5)
    assert use.may_send(4.1)


def test_endpoints_without_a_limit_come_first(rng):
    """Limited ones take what the others have no slot for."""
    placement = make_placement(rng, WHOLE, 'e1', 'e2')
    placement.find('e1').limit.on_named(PER_S, 0.0, rng, 0.0)
    chosen = []
    for _ in range(8):
        use = placement.choose(set(), 10.0)
        use.begin(10.0)
        chosen.append(use.entry.endpoint_id)
    assert set(chosen) == {'e2'}
    assert placement.choose(set(), 10.0).entry.endpoint_id == 'e1'


def test_no_endpoint_is_startable_while_all_are_limited(rng):
    """The request is refused at once, with the time of the next turn."""
    placement = make_placement(rng, WHOLE, 'e1', 'e2')
    for use in placement.uses():
        use.limit.on_named(1.0, 10.0, rng, 10.0)
    assert not placement.startable(set(), 0.2, 10.1)
    assert placement.next_start_s(set(), 10.1) == pytest.approx(0.9)
    assert placement.startable(set(), 1.0, 10.1)


def test_limit_ends_with_the_lifetime_of_the_endpoint(rng):
    """A process that has started again names its own limit."""
    placement = make_placement(rng, WHOLE, 'e1')
    placement.find('e1').limit.on_named(PER_S, 0.0, rng, 0.0)
    placement.set_entries([make_entry('e1', slots=8)], 1.0)
    assert placement.find('e1').limit.is_named
    placement.set_entries([make_entry('e1', slots=8, started_at_ms=2)], 2.0)
    assert not placement.find('e1').limit.is_named


def test_share_follows_the_number_of_hosts(rng):
    """A host that joins takes its part from the others."""
    pace = make_pace(rng, host_share(1), PER_S)
    alone = len(list_sent([pace], 0.0, 60.0))
    pace.apply_share(host_share(6), 60.0)
    assert alone > 4 * len(list_sent([pace], 60.0, 120.0))
