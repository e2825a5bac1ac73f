"""Tests of fairness, permits, dispatch, retries and suspects."""

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
    CallRecord,
    CallVerdict,
    judge,
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
    """One that asks seldom waits for one slot, not for a turn of others."""
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
    """A caller that went away leaves the queue."""
    queue = FairQueue()
    entry = object()
    queue.push('a', 1, 1, entry)
    assert queue.remove('a', entry)
    assert not queue.remove('a', entry)
    assert queue.pop() is None


def test_room_yields_to_online_and_keeps_one_slot():
    """Batch fills what online leaves, less one slot for its next request."""
    capacity = EngineSlots(slots=8, batch_share=1, now=0)
    assert capacity.capacity(SETTLE_S) == 8
    capacity.on_report('a', 2, SETTLE_S, waiting=False)
    capacity.on_report('b', 1, SETTLE_S, waiting=False)
    assert capacity.capacity(SETTLE_S) == 4
    assert capacity.elsewhere('a', SETTLE_S) == 1


def test_room_opens_only_after_reports_can_have_come():
    """A host that takes an engine over hears all hosts first."""
    assert not EngineSlots(slots=8, batch_share=1, now=10).capacity(10.1)


def test_room_forgets_hosts_that_are_gone():
    """What a lost host had in flight keeps no batch item out."""
    capacity = EngineSlots(slots=8, batch_share=1, now=0)
    capacity.on_report('a', 2, SETTLE_S, waiting=False)
    capacity.on_report('b', 3, SETTLE_S, waiting=True)
    capacity.keep_only({'a'})
    assert capacity.online(SETTLE_S) == 2
    assert capacity.contenders(SETTLE_S) == 1


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
    """Not run is said only before the first byte could have left."""
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
    """No combination of the other facts allows it."""
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
    """With every request failing, retries stay a part of requests."""
    budget = RetryBudget(reserve=5)
    retries = 0
    for _ in range(1000):
        budget.on_request()
        retries += budget.spend(0)
    assert retries <= 205


def test_calls_that_are_never_repeated_cost_no_retries():
    """Unknown outcomes of some callers don't use up the retries of others."""
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


def test_poison_item_fails_and_innocent_ones_do_not():
    """Only the item that kills endpoints alone is blamed."""
    tracker = SuspectTracker()
    endpoints = ['e1', 'e2']
    for item in ('poison', 'good-1', 'good-2'):
        tracker.on_start(item, 'e1')
    assert not tracker.on_endpoint_lost('e1')
    assert tracker.may_start('poison', 'e1', endpoints)
    tracker.on_start('poison', 'e1')
    assert not tracker.may_start('good-1', 'e1', endpoints)
    tracker.on_start('fresh', 'e1')
    assert not tracker.on_endpoint_lost('e1')
    assert not tracker.may_start('poison', 'e1', endpoints)
    tracker.on_start('poison', 'e2')
    assert tracker.on_endpoint_lost('e2') == ['poison']
    assert not tracker.on_endpoint_lost('e2')


def test_single_endpoint_still_tries_a_suspect_again():
    """Without another endpoint, a charged suspect is not stuck."""
    tracker = SuspectTracker()
    tracker.on_start('item', 'e1')
    tracker.on_endpoint_lost('e1')
    tracker.on_start('item', 'e1')
    assert not tracker.on_endpoint_lost('e1')
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
        (None, CallVerdict.RUN),
        (make_call(CALL_STARTED), CallVerdict.UNKNOWN),
        (make_call(CALL_ANSWERED), CallVerdict.REPLAY),
        (make_call(CALL_NOT_RUN), CallVerdict.RUN),
    ],
)
def test_keyed_call_verdicts(found, expected):
    """Only a call that surely did not run may run."""
    assert judge(found, 'hash') is expected


def test_same_key_with_another_body_is_a_mismatch():
    """The key names one request."""
    found = make_call(CALL_NOT_RUN)
    assert judge(found, 'other') is CallVerdict.MISMATCH


@pytest.fixture
def router():
    """Three endpoints with four slots each."""
    made = Router(rng=random.Random(7))
    made.set_endpoints([make_endpoint(f'e{number}') for number in range(3)])
    return made


def test_slot_is_found_wherever_it_is():
    """An endpoint with a slot is chosen before any full one."""
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
    """A full endpoint does not attract its prefix."""
    first = router.choose('prefix', set(), 0)
    first.online = first.endpoint.slots
    assert router.choose('prefix', set(), 0) is not first


def test_leaving_endpoint_gets_nothing(router):
    """An endpoint that leaves is not chosen, also not as the last one."""
    router.set_endpoints([make_endpoint('e0', leaving=True)])
    assert router.choose('prefix', set(), 0) is None


def test_failing_endpoint_is_avoided_and_comes_back(router):
    """Failures keep work away for a growing, bounded time."""
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
    """One death of an endpoint keeps work away for the first pause only."""
    state = router.states()[0]
    for _ in range(8):
        state.on_failure(0)
    assert state.available(0.5)


def test_endpoints_that_all_failed_are_tried_again(router):
    """A failure of the last endpoint does not refuse the next request."""
    for state in router.states():
        state.on_failure(0)
    assert router.choose('prefix', set(), 0.1) is not None
    assert router.capacity_left(0.1)


def test_silent_endpoint_gets_nothing_while_others_answer(router):
    """An endpoint that answers no load report is left out."""
    router.states()[0].silent = True
    chosen = {
        router.choose(str(number), set(), 0).endpoint.name
        for number in range(50)
    }
    assert chosen == {'e1', 'e2'}


def test_unreachable_endpoints_are_not_asked_again_at_once(router):
    """Retries go to endpoints that were not tried, or nowhere."""
    tried = {'e0', 'e1'}
    assert router.worth_retry(Stage.CONNECTING, tried, 0)
    tried.add('e2')
    assert not router.worth_retry(Stage.CONNECTING, tried, 0)
    assert router.worth_retry(Stage.SENT, tried, 0)


def test_no_host_is_kept_out_of_a_full_endpoint(router):
    """Each host that wants an endpoint may use an equal part of it."""
    state = router.states()[0]
    state.elsewhere = 4
    assert state.free_slots() == 0
    state.contenders = 2
    assert state.free_slots() == 2
    state.online = 4
    state.elsewhere = 2
    assert state.free_slots() == -2


def test_waiting_host_counts_as_contender():
    """A host that only waits is known where the engine is decided on."""
    capacity = EngineSlots(slots=4, batch_share=1, now=0)
    capacity.on_report('a', 4, 1, waiting=True)
    assert capacity.contenders(1) == 1
    capacity.on_report('b', 0, 1, waiting=True)
    assert capacity.contenders(1) == 2
    capacity.on_report('b', 0, 2, waiting=False)
    assert capacity.contenders(2) == 1


def test_small_account_waits_for_few_of_a_large_one():
    """A turn is about one short request long."""
    queue = FairQueue()
    for number in range(100):
        queue.push('large', 1, 30, ('large', number))
    queue.pop()
    queue.push('small', 1, 30, ('small', 0))
    served = [queue.pop()[0] for _ in range(4)]
    assert 'small' in served


def test_old_report_is_not_trusted(router):
    """A lagging report counts only while it is fresh."""
    state = router.states()[0]
    state.reported = EngineLoad(running=4, waiting=4, slots=4, age_s=1)
    state.reported_at = 0
    assert state.load(1) == 2
    assert not state.load(10)
