"""Election of the active runner, with isolation and restarts."""

import pytest
from jacinthmount.leadership import (
    RECOVERY_WAIT_S,
    REPORT_VALID_S,
    RUNNER_LIVE_S,
    START_WAIT_S,
    Leadership,
    RunnerState,
)

LATER = START_WAIT_S + 1


def make_state(host, *, active=False, can_run=True):
    """Builds the reported state of another runner."""
    return RunnerState(host=host, active=active, can_run=can_run)


@pytest.fixture
def runner():
    """A runner that can reach the store, started at 0 s."""
    found = Leadership(host='r1', now=0.0)
    found.store_reached = True
    return found


def test_single_runner_becomes_active_after_the_start_wait(runner):
    """A new runner first waits for reports of an active one."""
    assert not runner.decide(START_WAIT_S / 2)
    assert runner.decide(LATER)


def test_active_runner_stays_active(runner):
    """A runner that joins does not replace the active one."""
    for host in ('r2', 'r3', 'r4', 'r5'):
        runner.on_state(make_state(host, active=True), LATER)
        assert not runner.decide(LATER)
        runner.on_runner_unreachable(host)
    runner.decide(LATER)
    assert runner.active
    runner.on_state(make_state('r2'), LATER)
    assert runner.decide(LATER)


def test_unresponsive_runner_is_replaced(runner):
    """A runner no longer counts when its last report has expired."""
    runner.on_state(make_state('r2', active=True), LATER)
    assert not runner.decide(LATER)
    assert runner.decide(LATER + RUNNER_LIVE_S + 0.1)


def test_first_to_detect_the_recovery_of_the_store_does_not_take_over(runner):
    """The active runner may detect the recovery slightly later.

    Otherwise two runners ran the same item, each active for about 30 ms.
    """
    runner.store_reached = False
    without_store = make_state('r2', active=True, can_run=False)
    runner.on_state(without_store, LATER)
    assert not runner.decide(LATER)
    runner.store_reached = True
    assert not runner.decide(LATER + 0.1)
    runner.on_state(make_state('r2', active=True), LATER + 0.5)
    assert not runner.decide(LATER + RECOVERY_WAIT_S + 0.2)


def test_active_runner_without_store_is_replaced_after_an_outage(runner):
    """The recovery wait is over, and only this runner has the store."""
    runner.store_reached = False
    without_store = make_state('r2', active=True, can_run=False)
    runner.on_state(without_store, LATER)
    assert not runner.decide(LATER)
    runner.store_reached = True
    assert not runner.decide(LATER + 0.1)
    runner.on_state(without_store, LATER + RECOVERY_WAIT_S)
    assert runner.decide(LATER + RECOVERY_WAIT_S + 0.2)


def test_one_of_two_active_runners_becomes_inactive():
    """Two active runners that exchange reports agree on one."""
    first = Leadership(host='r1', now=0.0)
    second = Leadership(host='r2', now=0.0)
    for runner in (first, second):
        runner.store_reached = True
        runner.decide(LATER)
    first.on_state(second.state(), LATER)
    second.on_state(first.state(), LATER)
    assert first.decide(LATER) is not second.decide(LATER)


def test_active_runner_without_store_is_replaced(runner):
    """A runner that can reach the store takes precedence."""
    runner.on_state(
        make_state('r2', active=True, can_run=False),
        LATER,
    )
    assert runner.decide(LATER)


def test_active_runner_stays_while_the_store_is_down_for_all(runner):
    """Running items continue while no runner can reach the store."""
    runner.decide(LATER)
    runner.store_reached = False
    runner.on_state(make_state('r2', can_run=False), LATER)
    assert runner.decide(LATER)


def test_runner_reported_by_hosts_counts_as_active(runner):
    """Hosts report the active runner to one that can't reach it."""
    runner.on_active_reported('h1', make_state('r2', active=True), LATER)
    assert not runner.decide(LATER)
    assert runner.decide(LATER + REPORT_VALID_S + 0.1)


def test_reported_runner_without_store_is_no_contender(runner):
    """Hosts may still report a runner that has lost the store."""
    runner.on_active_reported(
        'h1',
        make_state('r2', active=True, can_run=False),
        LATER,
    )
    assert runner.decide(LATER)


def test_two_disconnected_active_runners_agree_through_hosts():
    """Hosts that reach both report each of them to the other."""
    first = Leadership(host='r1', now=0.0)
    second = Leadership(host='r2', now=0.0)
    for runner in (first, second):
        runner.store_reached = True
        runner.decide(LATER)
    first.on_active_reported('h1', second.state(), LATER)
    second.on_active_reported('h1', first.state(), LATER)
    assert first.decide(LATER) is not second.decide(LATER)


def test_runner_takes_over_once_no_host_reports_an_active_one(runner):
    """A reported runner counts until the last host withdraws its report."""
    for host in ('h1', 'h2'):
        runner.on_active_reported(host, make_state('r2', active=True), LATER)
    runner.on_active_reported('h1', None, LATER)
    assert not runner.decide(LATER)
    runner.on_active_reported('h2', None, LATER)
    assert runner.decide(LATER)


def test_restarted_runner_does_not_delay_others():
    """During its start wait another runner of any rank takes over.

    Otherwise there was no active runner for 0.8 s longer, and requests within
    their rate were refused.
    """
    restarted = Leadership(host='r1', now=LATER)
    restarted.store_reached = True
    other = Leadership(host='r2', now=0.0)
    other.store_reached = True
    first_of_rank = Leadership(host='r3', now=0.0)
    first_of_rank.store_reached = True
    for runner in (other, first_of_rank):
        restarted.decide(LATER)
        runner.on_state(restarted.state(), LATER)
        assert runner.decide(LATER)


def test_runners_that_start_together_agree():
    """After a loss of power, exactly one of the runners becomes active."""
    names = ('r1', 'r2', 'r3')
    runners = [Leadership(host=name, now=0.0) for name in names]
    now = 0.0
    for _ in range(20):
        now += 0.1
        for runner in runners:
            runner.store_reached = True
            runner.decide(now)
            for other in runners:
                if other is not runner:
                    other.on_state(runner.state(), now)
    assert sum(runner.active for runner in runners) == 1


def test_active_runner_is_a_contender_while_it_is_reported(runner):
    """It is reported by itself or by hosts; inactive ones do not count."""
    runner.on_state(make_state('r2'), LATER)
    assert not runner.has_contender(LATER)
    runner.on_state(make_state('r2', active=True), LATER)
    assert runner.has_contender(LATER)
    assert not runner.has_contender(LATER + RUNNER_LIVE_S + 0.1)
    runner.on_active_reported('h1', make_state('r3', active=True), LATER)
    assert runner.has_contender(LATER)


def test_runner_that_is_heard_again_may_have_been_active(runner):
    """It may have written until then, though it has stepped down meanwhile.

    Guards against fronts that showed an older state of a batch: the runner of
    a zone that had been cut off wrote results until it heard of its successor,
    which first heard of it as a standby.
    """
    runner.on_state(make_state('r2', active=True), LATER)
    runner.on_runner_unreachable('r2')
    assert not runner.may_share_logs(LATER + 6.0)
    runner.on_state(make_state('r2'), LATER + 6.0)
    assert runner.may_share_logs(LATER + 6.0)
    runner.on_state(make_state('r2'), LATER + 7.0)
    assert not runner.may_share_logs(LATER + 7.0)


def test_runner_does_not_take_over_before_it_verified_the_store(runner):
    """It needs a response from after the active runner lost the store.

    Otherwise, in an outage of 6 s that the active runner detected 1.9 s before
    the others, all running items were given up and none ran.
    """
    runner.on_state(make_state('r2', active=True), LATER)
    lost_at = LATER + 1
    runner.on_state(make_state('r2', active=True, can_run=False), lost_at)
    for later_s in (0.0, 0.1, 0.5):
        now = lost_at + later_s
        assert runner.note_store(reached=True, age_s=later_s + 3, now=now)
        assert not runner.decide(now)


def test_active_runner_without_store_stays_until_another_is_active(runner):
    """Others may report the store as reachable without having queried it."""
    runner.decide(LATER)
    runner.on_state(make_state('r2'), LATER)
    runner.note_store(reached=False, age_s=2, now=LATER + 0.1)
    assert runner.decide(LATER + 0.1)
    runner.on_state(make_state('r2', active=True), LATER + 0.3)
    assert not runner.decide(LATER + 0.3)


def test_active_runner_without_store_yields_to_a_reported_one(runner):
    """The runners are disconnected, and only the other has the store."""
    hosts = ('r2', 'r3', 'r4', 'r5')
    runner.decide(LATER)
    runner.note_store(reached=False, age_s=2, now=LATER)
    for host in hosts:
        runner.active = True
        runner.on_active_reported('h1', make_state(host, active=True), LATER)
        assert not runner.decide(LATER)


def test_runner_takes_over_once_it_verified_the_store(runner):
    """Only the active runner has lost the store."""
    lost = make_state('r2', active=True, can_run=False)
    runner.on_state(lost, LATER)
    runner.note_store(reached=True, age_s=3, now=LATER)
    assert not runner.decide(LATER)
    assert not runner.note_store(reached=True, age_s=0.1, now=LATER + 0.2)
    assert runner.decide(LATER + 0.2)


def test_unreachable_runner_is_replaced_without_a_query(runner):
    """An unreachable runner runs no items that a takeover could interrupt."""
    lost = make_state('r2', active=True, can_run=False)
    runner.on_state(lost, LATER)
    runner.on_runner_unreachable('r2')
    assert not runner.note_store(reached=True, age_s=3, now=LATER + 0.1)
    assert runner.decide(LATER + 0.1)


def test_items_stay_with_a_runner_without_endpoints(runner):
    """Another runner takes over, and this one leaves once it has."""
    assert runner.decide(LATER)
    runner.endpoints_reached = False
    runner.on_state(make_state('r2'), LATER)
    assert not runner.state().can_run
    assert runner.decide(LATER)
    runner.on_state(make_state('r2', active=True), LATER + 0.1)
    assert not runner.decide(LATER + 0.1)


def test_last_runner_gives_items_up_without_endpoints(runner):
    """It keeps them if no other runner reaches endpoints either."""
    runner.decide(LATER)
    runner.endpoints_reached = False
    runner.on_state(make_state('r2', can_run=False), LATER)
    assert runner.decide(LATER)
