"""Replays of crashes against the circuit breaker."""

import itertools
import random

import pytest
from jacinthmount.crash_breaker import (
    MAX_RERUN_PAUSE_S,
    MAX_TRIALS,
    MIN_CRASHES,
    PARTS_TRIAL_PAUSE_S,
    TRIAL_PAUSE_S,
    BlockedParts,
    BlockedRequest,
    CrashBreaker,
    RecordedRequest,
    digest_parts,
)
from jacinthmount.crash_strikes import (
    ANSWER_VALID_S,
    MAX_STRIKES,
    STRIKE_VALID_S,
    Suspect,
)
from jacinthmount.records import parse_msgpack, serialize_msgpack

SERVICE = 'model-a'
NUMBERS = itertools.count()


@pytest.fixture
def breaker():
    """A breaker that knows nothing."""
    return CrashBreaker()


@pytest.fixture
def hosts():
    """The breakers of three hosts."""
    return [CrashBreaker() for _ in range(3)]


def crash(breaker, parts, name, now=100.0, request=''):
    """Records that an endpoint crashed on a request.

    :param request: its digest; by default no two requests are alike.
    """
    suspect = Suspect(request=request or f'r{next(NUMBERS)}', parts=parts)
    return breaker.note_crash(SERVICE, suspect, name, now)


def progress(breaker, parts, now):
    """Records that an answer went on."""
    suspect = Suspect(request=f'r{next(NUMBERS)}', parts=parts)
    return breaker.note_progress(SERVICE, suspect, now)


def count(breaker, *parts):
    """Counts the crashes in which a part is a suspect."""
    return breaker.count_crashes(
        SERVICE, Suspect(request='', parts=list(parts))
    )


def block(breaker, parts, now=100.0):
    """Lets as many endpoints crash as it takes to block some parts."""
    for number in range(MIN_CRASHES):
        crash(breaker, parts, f'{parts}-{number}', now)


def is_refused(breaker, *parts):
    """Returns whether a request with these parts is refused."""
    return breaker.find_blocked_parts(SERVICE, list(parts)) is not None


@pytest.mark.parametrize(
    'parts',
    [['bad', 'sound'], ['sound', 'bad'], ['sound', 'bad', 'other']],
)
def test_part_is_blocked_wherever_it_stands(breaker, parts):
    """Parts of requests that were answered stay in use."""
    for number in range(MIN_CRASHES):
        crash(breaker, parts, f'e{number}', 100.0 + number)
        progress(breaker, ['sound', 'other'], 100.5 + number)
    assert is_refused(breaker, *parts)
    assert is_refused(breaker, 'new', 'bad')
    assert not is_refused(breaker, 'sound', 'other')


def test_two_bad_parts_are_blocked_separately(breaker):
    """Their requests come in turn, with one part in common."""
    for number in range(MIN_CRASHES):
        crash(breaker, ['first', 'bad-1'], f'a{number}', 100.0 + number)
        crash(breaker, ['first', 'bad-2'], f'b{number}', 100.3 + number)
        progress(breaker, ['first'], 100.6 + number)
    assert is_refused(breaker, 'first', 'bad-1')
    assert is_refused(breaker, 'first', 'bad-2')
    assert not is_refused(breaker, 'first', 'new')


def test_sound_part_beside_the_bad_one_is_served_alone(breaker):
    """The two can't be told apart until one of them comes without the other."""
    block(breaker, ['bad', 'rider'])
    assert is_refused(breaker, 'bad', 'rider')
    assert not is_refused(breaker, 'rider')
    progress(breaker, ['rider'], 101.0)
    assert is_refused(breaker, 'bad')
    assert not is_refused(breaker, 'rider')


def test_bad_part_without_its_companion_costs_one_more_endpoint(breaker):
    """One crash tells which of two parts is the cause."""
    block(breaker, ['bad', 'rider'])
    assert not is_refused(breaker, 'bad', 'other')
    crash(breaker, ['bad', 'other'], 'one-more')
    assert is_refused(breaker, 'bad', 'third')
    assert not is_refused(breaker, 'rider', 'third')


def test_many_endpoints_that_fail_together_block_nothing_in_use(breaker):
    """Guards against a verdict on a rack that loses its power."""
    progress(breaker, ['first', 'rare'], 100.0)
    for number in range(8):
        crash(breaker, ['first', 'rare'], f'e{number}', 101.0)
    assert breaker.is_closed
    assert not count(breaker, 'first', 'rare')


def test_crashes_of_other_causes_are_cleared_by_later_answers(breaker):
    """A rare part is a suspect at each crash, and answered in between."""
    for number in range(3 * MIN_CRASHES):
        now = 100.0 + number * 2 * ANSWER_VALID_S
        crash(breaker, ['rare'], f'e{number}', now)
        progress(breaker, ['rare'], now + 1)
    assert breaker.is_closed


def test_part_that_turns_bad_is_blocked(breaker):
    """Earlier answers protect it for a few seconds only."""
    progress(breaker, ['part'], 100.0)
    block(breaker, ['part'], now=100.1 + ANSWER_VALID_S)
    assert is_refused(breaker, 'part')


def test_requests_lost_in_one_crash_count_once(breaker):
    """Several hosts lose requests with the same part at one endpoint."""
    for _ in range(2 * MIN_CRASHES):
        crash(breaker, ['part'], 'e1')
    assert count(breaker, 'part', 'other') == 1
    assert breaker.is_closed


def test_other_services_are_not_affected(breaker):
    """A part may crash the endpoints of one model only."""
    block(breaker, ['bad'])
    assert breaker.find_blocked_parts('model-b', ['bad']) is None


def exchange(hosts, now):
    """Delivers the strikes of each host to all others, in random order."""
    rng = random.Random(3)
    news = [
        (sender, strike) for sender in hosts for strike in sender.strikes(now)
    ]
    rng.shuffle(news)
    for sender, strike in news:
        packed = parse_msgpack(serialize_msgpack(strike))
        for host in hosts:
            if host is not sender:
                host.merge([packed], now)


def test_hosts_agree_on_crashes_that_each_saw_once(hosts):
    """The verdict is one of all hosts, whatever the order of the messages."""
    for number, host in enumerate(hosts):
        crash(host, ['first', 'bad'], f'e{number}')
    progress(hosts[0], ['first'], 100.5)
    exchange(hosts, 101.0)
    exchange(hosts, 101.1)
    for host in hosts:
        assert is_refused(host, 'bad', 'new')
        assert not is_refused(host, 'first', 'new')


def test_host_that_serves_a_part_clears_it_for_all(hosts):
    """A part that is rare elsewhere was answered there a moment ago."""
    block(hosts[0], ['rare'])
    progress(hosts[1], ['rare'], 100.5)
    cleared = hosts[1].merge(hosts[0].strikes(101.0), 101.0)
    assert len(cleared) == MIN_CRASHES
    hosts[0].merge(cleared, 101.0)
    assert hosts[0].is_closed
    assert hosts[1].is_closed


def test_cleared_strike_does_not_come_back(hosts):
    """A host that was cut off still sends it."""
    crash(hosts[0], ['part'], 'e1')
    old = hosts[0].strikes(100.0)
    hosts[1].merge(old, 100.0)
    progress(hosts[1], ['part'], 101.0)
    hosts[1].merge(old, 102.0)
    assert not count(hosts[1], 'part')


def test_strikes_expire_on_all_hosts(hosts):
    """Hosts that exchange them do not keep them for longer."""
    crash(hosts[0], ['part'], 'e1', 0.0)
    crash(hosts[0], ['part'], 'e2', 0.0)
    hosts[1].merge(hosts[0].strikes(STRIKE_VALID_S - 1), STRIKE_VALID_S - 1)
    assert hosts[1].has_suspects()
    assert not hosts[1].strikes(STRIKE_VALID_S + 1)


def test_table_is_bounded(breaker):
    """Prompts with thousands of parts do not fill it, nor drop the bad one."""
    for number in range(MAX_STRIKES):
        parts = [f'p{number}-{part}' for part in range(300)]
        crash(breaker, [*parts, 'bad'] if number else ['bad'], f'e{number}')
        progress(breaker, parts, 0.0)
        if number == MIN_CRASHES:
            break
    assert is_refused(breaker, 'bad')
    for number in range(MAX_STRIKES):
        crash(breaker, [f'q{number}-{part}' for part in range(4)], 'f')
    assert len(breaker.strikes(100.0)) <= MAX_STRIKES


def test_removed_record_unblocks_the_part(breaker):
    """The operator removes it after the engines were mended."""
    block(breaker, ['bad'])
    record = BlockedParts(service=SERVICE, parts=['bad'], crashes=['e1'])
    assert breaker.unrecorded()
    breaker.apply_recorded([record], [], 101.0)
    assert [one.request for one in breaker.unrecorded()] == [
        digest_parts(record)
    ]
    assert is_refused(breaker, 'bad')
    breaker.apply_recorded([], [], 102.0)
    assert not is_refused(breaker, 'bad')


def test_record_blocks_at_a_host_without_strikes(breaker):
    """All hosts were restarted since the crashes."""
    record = BlockedParts(service=SERVICE, parts=['bad'], crashes=['e1'])
    breaker.apply_recorded([record], [], 101.0)
    assert is_refused(breaker, 'first', 'bad')
    assert not is_refused(breaker, 'first')


def test_record_stays_after_answers_refute_it(breaker):
    """Endpoints crashed together, and the others answer a moment later.

    Guards against a sound part that is blocked until an operator clears it.
    """
    block(breaker, ['a', 'b'])
    record = BlockedParts(service=SERVICE, parts=['a', 'b'], crashes=['e1'])
    breaker.apply_recorded([record], [], 101.0)
    progress(breaker, ['a'], 102.0)
    assert not breaker.refuted_parts()
    progress(breaker, ['b', 'own'], 103.0)
    assert breaker.refuted_parts() == [record]
    breaker.apply_recorded([], [], 104.0)
    assert not breaker.refuted_parts()
    assert not is_refused(breaker, 'a', 'b')
    assert not breaker.unrecorded()


def test_record_that_comes_after_the_answers_stays(breaker):
    """The host that wrote it had not heard of them yet."""
    progress(breaker, ['a'], 100.0)
    record = BlockedParts(service=SERVICE, parts=['a'], crashes=['e1'])
    breaker.apply_recorded([record], [], 100.0 + ANSWER_VALID_S / 2)
    assert breaker.refuted_parts() == [record]


def test_old_answer_refutes_a_record(breaker):
    """The part may have turned bad since, so the record stays."""
    progress(breaker, ['a'], 100.0)
    record = BlockedParts(service=SERVICE, parts=['a'], crashes=['e1'])
    breaker.apply_recorded([record], [], 100.0 + ANSWER_VALID_S)
    assert not breaker.refuted_parts()
    breaker.apply_recorded([], [], 110.0)
    progress(breaker, ['a'], 111.0)
    breaker.apply_recorded([record], [], 130.0)
    assert not breaker.refuted_parts()


def record_trials(breaker, now, trials=0, version=1):
    """Records blocked parts with the trials that were counted for them."""
    parts = BlockedParts(service=SERVICE, parts=['a'], crashes=['e1'])
    trial = RecordedRequest(
        blocked=BlockedRequest(
            request=digest_parts(parts), crashes=['e1'], trials=trials
        ),
        version=version,
        seen_at=now,
    )
    breaker.apply_recorded([parts], [trial], now)
    return trial.blocked.request


def test_part_without_requests_in_flight_stays_blocked(breaker):
    """One request at a time may be sent again, twice at most.

    Guards against a sound part whose requests all ended in the crash.
    """
    suspect = Suspect(request='r', parts=['a', 'own'])
    digest = record_trials(breaker, 100.0)
    assert not breaker.find_trial(SERVICE, suspect, 100.0)
    after = 100.0 + PARTS_TRIAL_PAUSE_S
    assert breaker.find_trial(SERVICE, suspect, after) == digest
    record_trials(breaker, after, trials=MAX_TRIALS, version=2)
    assert not breaker.find_trial(SERVICE, suspect, after + PARTS_TRIAL_PAUSE_S)


def test_trial_is_counted_for_one_of_two_reasons(breaker):
    """A prompt with a second blocked part would prove nothing of the first."""
    block(breaker, ['bad'])
    record_trials(breaker, 100.0)
    suspect = Suspect(request='r', parts=['a', 'bad'])
    after = 100.0 + PARTS_TRIAL_PAUSE_S
    assert not breaker.find_trial(SERVICE, suspect, after)


def test_trials_of_parts_are_not_counted(breaker):
    """The record that counts them is written beside that of the parts."""
    parts = BlockedParts(service=SERVICE, parts=['a'], crashes=['e1'])
    breaker.apply_recorded([parts], [], 100.0)
    found = breaker.unrecorded()
    assert [one.request for one in found] == [digest_parts(parts)]
    record_trials(breaker, 101.0)
    assert not breaker.unrecorded()


def block_request(breaker, request, parts=(), now=100.0):
    """Lets as many endpoints crash as it takes to block a request."""
    for number in range(MIN_CRASHES):
        crash(breaker, list(parts), f'{request}-{number}', now, request)


def make_suspect(request, *, is_owed=False):
    """Makes a suspect without prompt parts."""
    return Suspect(request=request, parts=[], is_owed=is_owed)


@pytest.mark.parametrize('events', ['none', 'some'])
def test_repeated_request_is_blocked_whatever_it_had_answered(breaker, events):
    """Events of an answer that ends in a crash do not clear the request."""
    suspect = Suspect(request='deadly', parts=['first'])
    for number in range(MIN_CRASHES):
        assert breaker.find_blocked_request('deadly') is None
        if events == 'some':
            breaker.note_progress(SERVICE, suspect, 100.0 + number)
        breaker.note_crash(
            SERVICE,
            suspect,
            f'e{number}',
            100.1 + number,
            has_progressed=events == 'some',
        )
    assert breaker.find_blocked_request('deadly') is not None
    assert breaker.find_blocked_request('sound') is None


def test_parts_of_one_repeated_request_are_not_blocked(breaker):
    """Guards sound requests that share its parts."""
    for number in range(5 * MIN_CRASHES):
        crash(breaker, ['first', 'second'], f'e{number}', request='deadly')
    assert not is_refused(breaker, 'first', 'second')


def test_parts_of_two_repeated_requests_are_not_blocked(breaker):
    """Sound requests ride along at each crash, others at each one."""
    for number in range(3 * MIN_CRASHES):
        request = f'deadly-{number % 2}'
        crash(breaker, ['first'], f'e{number}', request=request)
        crash(breaker, ['first'], f'e{number}', request=f'sound-{number}')
    assert not is_refused(breaker, 'first')
    assert breaker.find_blocked_request('deadly-0') is not None
    assert breaker.find_blocked_request('deadly-1') is not None


def test_bad_part_is_found_although_its_requests_are_repeated(breaker):
    """Each of them ends two endpoints, and none is like the others."""
    for number in range(MIN_CRASHES):
        assert not is_refused(breaker, 'bad', 'own')
        for attempt in range(2):
            name = f'e{number}-{attempt}'
            crash(breaker, ['bad'], name, request=f'r-{number}')
    assert is_refused(breaker, 'bad', 'own')


def test_request_answered_elsewhere_is_no_suspect(breaker):
    """Callers repeat a sound request while a rack loses its power."""
    breaker.note_answer(make_suspect('poll'), 100.0)
    block_request(breaker, 'poll', now=101.0)
    assert breaker.is_closed
    assert not breaker.has_suspects()


def test_complete_answer_clears_a_request(breaker):
    """It was in flight at crashes of other causes."""
    block_request(breaker, 'rider')
    cleared = breaker.note_answer(make_suspect('rider'), 101.0)
    assert len(cleared) == MIN_CRASHES
    assert breaker.is_closed


def test_work_that_is_owed_is_never_blocked(breaker):
    """An item under which endpoints crashed runs again, later each time."""
    item = make_suspect('item', is_owed=True)
    waits = []
    for number in range(2 * MIN_CRASHES):
        breaker.note_crash(SERVICE, item, f'e{number}', 100.0)
        waits.append(breaker.rerun_wait_s('item', 100.0))
    assert breaker.is_closed
    assert waits[0] == 0
    assert waits == sorted(waits)
    assert waits[-1] == MAX_RERUN_PAUSE_S
    assert breaker.rerun_wait_s('item', 100.0 + MAX_RERUN_PAUSE_S) == 0


def test_hosts_agree_on_a_request_that_each_saw_once(hosts):
    """Each host lost it at another endpoint."""
    for number, host in enumerate(hosts):
        crash(host, [], f'e{number}', request='deadly')
    exchange(hosts, 101.0)
    for host in hosts:
        assert host.find_blocked_request('deadly') is not None


def test_host_that_answered_a_request_clears_it_for_all(hosts):
    """The others only saw it at crashes."""
    block_request(hosts[0], 'rider')
    hosts[1].note_answer(make_suspect('rider'), 100.5)
    cleared = hosts[1].merge(hosts[0].strikes(101.0), 101.0)
    assert len(cleared) == MIN_CRASHES
    hosts[0].merge(cleared, 101.0)
    assert hosts[0].is_closed
    assert not hosts[0].merge(cleared, 101.0)


def make_record(trials=0, version=1, seen_at=100.0):
    """Makes a recorded request."""
    return RecordedRequest(
        blocked=BlockedRequest(request='deadly', crashes=['e1'], trials=trials),
        version=version,
        seen_at=seen_at,
    )


def test_recorded_request_is_tried_twice_at_most(breaker):
    """The trials are counted by the record, not by the hosts."""
    for trials in range(MAX_TRIALS):
        now = 100.0 + trials * 2 * TRIAL_PAUSE_S
        record = make_record(trials, version=1 + trials, seen_at=now)
        breaker.apply_recorded([], [record], now)
        found = breaker.find_recorded('deadly')
        assert not found.may_try(now + TRIAL_PAUSE_S / 2)
        assert found.may_try(now + TRIAL_PAUSE_S)
    breaker.apply_recorded([], [make_record(MAX_TRIALS, version=9)], 100.0)
    found = breaker.find_recorded('deadly')
    assert not found.may_try(100.0 + 100 * TRIAL_PAUSE_S)


def test_other_records_do_not_delay_a_trial(breaker):
    """A record counts from when this version of it was seen first."""
    breaker.apply_recorded([], [make_record()], 100.0)
    later = 100.0 + TRIAL_PAUSE_S
    breaker.apply_recorded([], [make_record(seen_at=later)], later)
    assert breaker.find_recorded('deadly').may_try(later)


def test_removed_record_unblocks_the_request(breaker):
    """An endpoint answered it, or an operator removed it."""
    block_request(breaker, 'deadly')
    assert breaker.unrecorded()
    breaker.apply_recorded([], [make_record()], 101.0)
    assert not breaker.unrecorded()
    breaker.apply_recorded([], [], 102.0)
    assert breaker.is_closed
