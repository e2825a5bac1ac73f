"""Which runner is active, under cuts and restarts."""

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


def make_state(host, *, active=False, store_reached=True):
    """Builds what another runner says of itself."""
    return RunnerState(host=host, active=active, store_reached=store_reached)


@pytest.fixture
def runner():
    """A runner that reaches the store, started at 0 s."""
    found = Leadership(host='r1', now=0.0)
    found.store_reached = True
    return found


def test_alone_it_becomes_active_after_listening(runner):
    """A new runner first hears whether another one is active."""
    assert not runner.decide(START_WAIT_S / 2)
    assert runner.decide(LATER)


def test_active_one_stays(runner):
    """A runner that joins does not displace the active one."""
    for host in ('r2', 'r3', 'r4', 'r5'):
        runner.on_state(make_state(host, active=True), LATER)
        assert not runner.decide(LATER)
        runner.on_runner_unreachable(host)
    runner.decide(LATER)
    assert runner.active
    runner.on_state(make_state('r2'), LATER)
    assert runner.decide(LATER)


def test_silent_runner_is_replaced(runner):
    """After its time a runner that was not heard counts no more."""
    runner.on_state(make_state('r2', active=True), LATER)
    assert not runner.decide(LATER)
    assert runner.decide(LATER + RUNNER_LIVE_S + 0.1)


def test_first_to_find_the_store_back_does_not_take_over(runner):
    """The active runner finds it a moment later, as all had lost it.

    Seen as an item that two runners ran, each for some 30 ms the active one.
    """
    runner.store_reached = False
    away = make_state('r2', active=True, store_reached=False)
    runner.on_state(away, LATER)
    assert not runner.decide(LATER)
    runner.store_reached = True
    assert not runner.decide(LATER + 0.1)
    runner.on_state(make_state('r2', active=True), LATER + 0.5)
    assert not runner.decide(LATER + RECOVERY_WAIT_S + 0.2)


def test_runner_that_stays_turned_away_is_replaced_after_an_outage(runner):
    """It had its time to find the store back."""
    runner.store_reached = False
    away = make_state('r2', active=True, store_reached=False)
    runner.on_state(away, LATER)
    assert not runner.decide(LATER)
    runner.store_reached = True
    assert not runner.decide(LATER + 0.1)
    runner.on_state(away, LATER + RECOVERY_WAIT_S)
    assert runner.decide(LATER + RECOVERY_WAIT_S + 0.2)


def test_one_of_two_active_ones_yields():
    """Two active runners that hear each other agree who goes on."""
    first = Leadership(host='r1', now=0.0)
    second = Leadership(host='r2', now=0.0)
    for runner in (first, second):
        runner.store_reached = True
        runner.decide(LATER)
    first.on_state(second.state(), LATER)
    second.on_state(first.state(), LATER)
    assert first.decide(LATER) is not second.decide(LATER)


def test_runner_without_store_gives_way(runner):
    """A runner that reaches the store goes before an active one without."""
    runner.on_state(
        make_state('r2', active=True, store_reached=False),
        LATER,
    )
    assert runner.decide(LATER)


def test_without_any_store_the_active_one_goes_on(runner):
    """While the store is down for all, what runs goes on."""
    runner.decide(LATER)
    runner.store_reached = False
    runner.on_state(make_state('r2', store_reached=False), LATER)
    assert runner.decide(LATER)


def test_runner_named_by_hosts_counts_as_active(runner):
    """A runner cut off from the active one hears of it from hosts."""
    runner.on_active_reported('h1', make_state('r2', active=True), LATER)
    assert not runner.decide(LATER)
    assert runner.decide(LATER + REPORT_VALID_S + 0.1)


def test_named_runner_without_store_is_no_rival(runner):
    """Hosts may still know a runner that has lost the store."""
    runner.on_active_reported(
        'h1',
        make_state('r2', active=True, store_reached=False),
        LATER,
    )
    assert runner.decide(LATER)


def test_two_active_ones_that_are_cut_off_agree_through_hosts():
    """Hosts that reach both tell each of the other."""
    first = Leadership(host='r1', now=0.0)
    second = Leadership(host='r2', now=0.0)
    for runner in (first, second):
        runner.store_reached = True
        runner.decide(LATER)
    first.on_active_reported('h1', second.state(), LATER)
    second.on_active_reported('h1', first.state(), LATER)
    assert first.decide(LATER) is not second.decide(LATER)


def test_hosts_that_lost_the_active_runner_clear_the_way(runner):
    """Once no host names it any more, nobody waits for it."""
    for host in ('h1', 'h2'):
        runner.on_active_reported(host, make_state('r2', active=True), LATER)
    runner.on_active_reported('h1', None, LATER)
    assert not runner.decide(LATER)
    runner.on_active_reported('h2', None, LATER)
    assert runner.decide(LATER)


def test_runner_that_starts_again_does_not_hold_others_up():
    """While it listens after its start, another one of any rank takes over.

    Seen as 0.8 s more without an active runner, in which requests within
    their rate were refused.
    """
    again = Leadership(host='r1', now=LATER)
    again.store_reached = True
    other = Leadership(host='r2', now=0.0)
    other.store_reached = True
    first_of_rank = Leadership(host='r3', now=0.0)
    first_of_rank.store_reached = True
    for runner in (other, first_of_rank):
        again.decide(LATER)
        runner.on_state(again.state(), LATER)
        assert runner.decide(LATER)


def test_runners_that_start_together_agree():
    """After a loss of power nobody is active until all have listened."""
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


def test_another_active_runner_is_a_rival_while_it_is_heard_of(runner):
    """From itself or from hosts; one that is not active is none."""
    runner.on_state(make_state('r2'), LATER)
    assert not runner.has_contender(LATER)
    runner.on_state(make_state('r2', active=True), LATER)
    assert runner.has_contender(LATER)
    assert not runner.has_contender(LATER + RUNNER_LIVE_S + 0.1)
    runner.on_active_reported('h1', make_state('r3', active=True), LATER)
    assert runner.has_contender(LATER)


def test_runner_that_noticed_no_outage_leaves_items_where_they_run(runner):
    """It must have an answer from after the active one lost the store.

    Seen as an outage of 6 s, noticed by the active runner 1.9 s before the
    others, in which all running items were given up and none ran.
    """
    runner.on_state(make_state('r2', active=True), LATER)
    lost_at = LATER + 1
    runner.on_state(make_state('r2', active=True, store_reached=False), lost_at)
    for later_s in (0.0, 0.1, 0.5):
        now = lost_at + later_s
        assert runner.note_store(reached=True, age_s=later_s + 3, now=now)
        assert not runner.decide(now)


def test_active_one_that_loses_the_store_stays_until_another_is_active(runner):
    """That others claim to reach the store shows only that they don't ask."""
    runner.decide(LATER)
    runner.on_state(make_state('r2'), LATER)
    runner.note_store(reached=False, age_s=2, now=LATER + 0.1)
    assert runner.decide(LATER + 0.1)
    runner.on_state(make_state('r2', active=True), LATER + 0.3)
    assert not runner.decide(LATER + 0.3)


def test_active_one_without_store_yields_to_one_that_hosts_name(runner):
    """They are cut off from each other, and only the other has the store."""
    named = ('r2', 'r3', 'r4', 'r5')
    runner.decide(LATER)
    runner.note_store(reached=False, age_s=2, now=LATER)
    for host in named:
        runner.active = True
        runner.on_active_reported('h1', make_state(host, active=True), LATER)
        assert not runner.decide(LATER)


def test_runner_that_the_store_answers_takes_over(runner):
    """The store turns only the active runner away."""
    lost = make_state('r2', active=True, store_reached=False)
    runner.on_state(lost, LATER)
    runner.note_store(reached=True, age_s=3, now=LATER)
    assert not runner.decide(LATER)
    assert not runner.note_store(reached=True, age_s=0.1, now=LATER + 0.2)
    assert runner.decide(LATER + 0.2)


def test_runner_that_is_lost_altogether_is_replaced_unasked(runner):
    """Nobody holds items any more, so nothing is lost by taking over."""
    lost = make_state('r2', active=True, store_reached=False)
    runner.on_state(lost, LATER)
    runner.on_runner_unreachable('r2')
    assert not runner.note_store(reached=True, age_s=3, now=LATER + 0.1)
    assert runner.decide(LATER + 0.1)
