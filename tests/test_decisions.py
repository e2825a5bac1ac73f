"""Tests of fair queues, engine slots, dispatch, retries and suspects."""

import itertools
import random

import pytest
from jacinthmount.dispatch import (
    Attempt,
    NextAction,
    Stage,
    next_action,
    next_action_within,
)
from jacinthmount.engine_slots import SETTLE_S, EngineSlots
from jacinthmount.fairness import FairQueue
from jacinthmount.idempotency import (
    CALL_ANSWERED,
    CALL_NOT_RUN,
    CALL_STARTED,
    CallDecision,
    CallRecord,
    decide_call,
)
from jacinthmount.ports import EngineLoad
from jacinthmount.records import replaced
from jacinthmount.retries import RetryBudget
from jacinthmount.routing import Router
from jacinthmount.suspects import SuspectTracker

from tests.builders import make_endpoint


def test_fair_queue_shares_tokens_by_weight():
    """An account with ten times the entries gets no more than its weight."""
    queue = FairQueue()
    for number in range(1000):
        queue.push('large', 1, 100, ('large', number))
    for number in range(100):
        queue.push('small', 1, 100, ('small', number))
    served = [queue.pop()[0] for _ in range(200)]
    assert 90 <= served.count('small') <= 110


def test_account_with_the_fewest_running_is_next():
    """An account with few requests waits for one slot only."""
    queue = FairQueue()
    for number in range(4):
        queue.push('large', 1, 10, f'large {number}')
    queue.begin('large')
    queue.push('small', 1, 1000, 'small')
    assert queue.pop() == 'small'
    queue.begin('small')
    assert queue.pop() == 'large 0'


def test_running_entries_count_by_weight():
    """An account of twice the weight may run twice as many."""
    queue = FairQueue()
    for account, weight in (('heavy', 2), ('light', 1)):
        for number in range(6):
            queue.push(account, weight, 10, account)
    started = []
    for _ in range(6):
        account = queue.pop()
        queue.begin(account)
        started.append(account)
    assert started.count('heavy') == 4
    queue.end('light')
    assert queue.pop() == 'light'


def test_fair_queue_counts_tokens_not_entries():
    """Few very long requests get the same tokens as many short ones."""
    queue = FairQueue()
    for number in range(50):
        queue.push('long', 1, 2000, ('long', number))
    for number in range(1000):
        queue.push('short', 1, 100, ('short', number))
    served = [queue.pop()[0] for _ in range(210)]
    assert 8 <= served.count('long') <= 12


def test_fair_queue_removes_a_waiting_entry():
    """The entry of a caller that disconnected is removed."""
    queue = FairQueue()
    entry = object()
    queue.push('a', 1, 1, entry)
    assert queue.remove('a', entry)
    assert not queue.remove('a', entry)
    assert queue.pop() is None


def test_batch_capacity_excludes_online_and_one_slot():
    """Batch uses the free slots but one, kept for the next online request."""
    engine = EngineSlots(slots=8, batch_share=1, now=0)
    assert engine.capacity(SETTLE_S) == 8
    engine.on_report('a', 2, SETTLE_S, waiting=False)
    engine.on_report('b', 1, SETTLE_S, waiting=False)
    assert engine.capacity(SETTLE_S) == 4
    assert engine.elsewhere('a', SETTLE_S) == 1


def test_batch_capacity_is_zero_until_all_hosts_can_report():
    """A host that takes over an engine waits for reports of all hosts."""
    assert not EngineSlots(slots=8, batch_share=1, now=10).capacity(10.1)


def test_engine_slots_drop_reports_of_removed_hosts():
    """Requests of a removed host no longer reduce the batch capacity."""
    engine = EngineSlots(slots=8, batch_share=1, now=0)
    engine.on_report('a', 2, SETTLE_S, waiting=False)
    engine.on_report('b', 3, SETTLE_S, waiting=True)
    engine.keep_only({'a'})
    assert engine.online(SETTLE_S) == 2
    assert engine.contenders(SETTLE_S) == 1


@pytest.mark.parametrize(
    ('stage', 'idempotent', 'relayed', 'expected'),
    [
        (Stage.QUEUED, False, False, NextAction.NOT_RUN),
        (Stage.CONNECTING, False, False, NextAction.NOT_RUN),
        (Stage.SENT, False, False, NextAction.UNKNOWN),
        (Stage.ANSWERING, False, False, NextAction.UNKNOWN),
        (Stage.SENT, True, False, NextAction.FAILED),
        (Stage.ANSWERING, True, True, NextAction.FAILED),
    ],
)
def test_failed_attempt_without_retries(stage, idempotent, relayed, expected):
    """NOT_RUN is returned only if no byte can have been sent."""
    assert (
        next_action(
            Attempt(
                stage=stage,
                idempotent=idempotent,
                relayed=relayed,
                resumable=True,
                may_retry=False,
                time_left=True,
            )
        )
        is expected
    )


def test_sent_call_is_never_retried_unless_idempotent():
    """No combination of the other conditions allows a retry."""
    for stage, relayed, resumable, may_retry, time_left in itertools.product(
        (Stage.SENT, Stage.ANSWERING),
        *itertools.repeat((False, True), 4),
    ):
        outcome = next_action(
            Attempt(
                stage=stage,
                idempotent=False,
                relayed=relayed,
                resumable=resumable,
                may_retry=may_retry,
                time_left=time_left,
            )
        )
        assert outcome is NextAction.UNKNOWN


def test_retry_budget_bounds_retries():
    """If all requests fail, retries stay a fraction of the requests."""
    budget = RetryBudget(reserve=5)
    retries = 0
    for _ in range(1000):
        budget.on_request()
        retries += budget.spend(0)
    assert retries <= 205


def test_calls_that_are_never_repeated_use_no_retries():
    """Unknown outcomes do not use up the retries of other calls."""
    budget = RetryBudget(reserve=1)
    attempt = Attempt(
        stage=Stage.SENT,
        idempotent=False,
        relayed=False,
        resumable=False,
        may_retry=True,
        time_left=True,
    )
    for _ in range(10):
        assert next_action_within(attempt, budget, 0) is NextAction.UNKNOWN
    retried = replaced(attempt, idempotent=True)
    assert next_action_within(retried, budget, 0) is NextAction.RETRY
    assert next_action_within(retried, budget, 0) is NextAction.FAILED


def test_only_the_item_that_crashes_endpoints_fails():
    """A failure of an endpoint counts against its only suspect."""
    tracker = SuspectTracker()
    endpoints = ['e1', 'e2']
    for item in ('poison', 'good-1', 'good-2'):
        tracker.on_start(item, 'e1')
    assert not tracker.on_endpoint_lost('e1', crashed=False)
    assert tracker.may_start('poison', 'e1', endpoints)
    tracker.on_start('poison', 'e1')
    assert not tracker.may_start('good-1', 'e1', endpoints)
    tracker.on_start('fresh', 'e1')
    assert not tracker.on_endpoint_lost('e1', crashed=False)
    assert not tracker.may_start('poison', 'e1', endpoints)
    tracker.on_start('poison', 'e2')
    assert tracker.on_endpoint_lost('e2', crashed=False) == ['poison']
    assert not tracker.on_endpoint_lost('e2', crashed=False)


def test_item_under_which_endpoints_crash_is_owed():
    """It never fails, but runs alone on its endpoint, later each time."""
    tracker = SuspectTracker()
    pauses = []
    for number in range(8):
        endpoint = f'e{number % 2}'
        tracker.on_start('poison', endpoint)
        tracker.on_start(f'good-{number}', endpoint)
        assert not tracker.on_endpoint_lost(endpoint, crashed=True)
        assert not tracker.rerun_pause_s(f'good-{number}')
        pauses.append(tracker.rerun_pause_s('poison'))
    assert pauses == [0, 1, 2, 4, 8, 8, 8, 8]
    tracker.on_end('poison', 'e1')
    assert not tracker.rerun_pause_s('poison')


def test_suspect_may_run_again_on_a_single_endpoint():
    """Without another endpoint, a suspect may run on the same one again."""
    tracker = SuspectTracker()
    tracker.on_start('item', 'e1')
    tracker.on_endpoint_lost('e1', crashed=False)
    tracker.on_start('item', 'e1')
    assert not tracker.on_endpoint_lost('e1', crashed=False)
    assert tracker.may_start('item', 'e1', ['e1'])


def make_call(state):
    """Builds a call record."""
    return CallRecord(
        request_hash='hash',
        state=state,
        status=200,
        content_type='',
        body='',
        kept=True,
        holder='',
        write_id='',
    )


@pytest.mark.parametrize(
    ('found', 'expected'),
    [
        (None, CallDecision.RUN),
        (make_call(CALL_STARTED), CallDecision.UNKNOWN),
        (make_call(CALL_ANSWERED), CallDecision.REPLAY),
        (make_call(CALL_NOT_RUN), CallDecision.RUN),
    ],
)
def test_keyed_call_verdicts(found, expected):
    """A call runs only if it certainly has not run before."""
    assert decide_call(found, 'hash') is expected


def test_same_key_with_another_body_is_a_mismatch():
    """A key identifies one request."""
    found = make_call(CALL_NOT_RUN)
    assert decide_call(found, 'other') is CallDecision.MISMATCH


@pytest.fixture
def router():
    """Three endpoints with four slots each."""
    made = Router(rng=random.Random(7))
    made.set_endpoints([make_endpoint(f'e{number}') for number in range(3)])
    return made


def test_free_slot_is_found():
    """An endpoint with a free slot is chosen before any full one."""
    router = Router(rng=random.Random(3))
    router.set_endpoints([make_endpoint(f'e{number}') for number in range(9)])
    for state in router.states():
        state.online = 0 if state.endpoint.name == 'e7' else 4
    chosen = {
        router.choose(f'p{number}', set(), 0).endpoint.name
        for number in range(50)
    }
    assert chosen == {'e7'}


def test_prefix_sticks_while_load_is_even(router):
    """The same prefix goes to the same endpoint."""
    chosen = {router.choose('prefix', set(), 0).endpoint.name for _ in range(9)}
    assert len(chosen) == 1


def test_prefix_yields_to_load(router):
    """A full endpoint is not chosen for its prefix."""
    first = router.choose('prefix', set(), 0)
    first.online = first.endpoint.slots
    assert router.choose('prefix', set(), 0) is not first


def test_leaving_endpoint_gets_no_request(router):
    """A leaving endpoint is not chosen, even if it is the only one."""
    router.set_endpoints([make_endpoint('e0', leaving=True)])
    assert router.choose('prefix', set(), 0) is None


def test_failing_endpoint_is_avoided_for_a_time(router):
    """An endpoint is ejected for a bounded time after a failure."""
    for state in router.states()[1:]:
        state.on_failure(0)
    chosen = {
        router.choose(str(number), set(), 0).endpoint.name
        for number in range(20)
    }
    assert len(chosen) == 1
    chosen = {
        router.choose(str(number), set(), 1).endpoint.name
        for number in range(50)
    }
    assert len(chosen) == 3


def test_requests_that_fail_together_count_once(router):
    """One loss of an endpoint ejects it for the first pause only."""
    state = router.states()[0]
    for _ in range(8):
        state.on_failure(0)
    assert state.available(0.5)


def test_endpoints_that_all_failed_are_tried_again(router):
    """If all endpoints failed, the next request is still tried."""
    for state in router.states():
        state.on_failure(0)
    assert router.choose('prefix', set(), 0.1) is not None
    assert router.capacity_left(0.1)


def test_unresponsive_endpoint_gets_no_request_while_others_respond(router):
    """An endpoint that does not respond to load requests is left out."""
    router.states()[0].silent = True
    chosen = {
        router.choose(str(number), set(), 0).endpoint.name
        for number in range(50)
    }
    assert chosen == {'e1', 'e2'}


def test_unreachable_endpoints_are_not_tried_again_at_once(router):
    """A request that was not sent is retried only on other endpoints."""
    tried = {'e0', 'e1'}
    assert router.worth_retry(Stage.CONNECTING, tried, 0)
    tried.add('e2')
    assert not router.worth_retry(Stage.CONNECTING, tried, 0)
    assert router.worth_retry(Stage.SENT, tried, 0)


def test_each_host_may_use_a_part_of_a_full_endpoint(router):
    """Hosts that contend for an endpoint may use equal parts of it."""
    state = router.states()[0]
    state.elsewhere = 4
    assert state.free_slots() == 0
    state.contenders = 2
    assert state.free_slots() == 2
    state.online = 4
    state.elsewhere = 2
    assert state.free_slots() == -2


def test_waiting_host_counts_as_contender():
    """A host with only waiting requests counts as well."""
    engine = EngineSlots(slots=4, batch_share=1, now=0)
    engine.on_report('a', 4, 1, waiting=True)
    assert engine.contenders(1) == 1
    engine.on_report('b', 0, 1, waiting=True)
    assert engine.contenders(1) == 2
    engine.on_report('b', 0, 2, waiting=False)
    assert engine.contenders(2) == 1


def test_small_account_waits_for_few_requests_of_a_large_one():
    """The turn of an account is about one short request."""
    queue = FairQueue()
    for number in range(100):
        queue.push('large', 1, 30, ('large', number))
    queue.pop()
    queue.push('small', 1, 30, ('small', 0))
    served = [queue.pop()[0] for _ in range(4)]
    assert 'small' in served


def test_stale_report_is_ignored(router):
    """A delayed report counts only until it is too old."""
    state = router.states()[0]
    state.reported = EngineLoad(running=4, waiting=4, slots=4, age_s=1)
    state.reported_at = 0
    assert state.load(1) == 2
    assert not state.load(10)
