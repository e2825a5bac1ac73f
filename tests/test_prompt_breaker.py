"""Replays of crashes against the circuit breaker for prompt parts."""

import random

import pytest
from jacinthmount.prompt_breaker import (
    MAX_STRIKES,
    MIN_CRASHES,
    PROGRESS_VALID_S,
    STRIKE_VALID_S,
    BlockedParts,
    PromptBreaker,
)
from jacinthmount.records import parse_msgpack, serialize_msgpack

SERVICE = 'model-a'


@pytest.fixture
def breaker():
    """A breaker that knows nothing."""
    return PromptBreaker()


@pytest.fixture
def hosts():
    """The breakers of three hosts."""
    return [PromptBreaker() for _ in range(3)]


def crash(breaker, parts, name, now=100.0):
    """Records that an endpoint crashed on a request."""
    return breaker.note_crash(SERVICE, parts, name, now)


def block(breaker, parts, now=100.0):
    """Lets as many endpoints crash as it takes to block some parts."""
    for number in range(MIN_CRASHES):
        crash(breaker, parts, f'{parts}-{number}', now)


def is_refused(breaker, *parts):
    """Returns whether a request with these parts is refused."""
    return breaker.find_blocked(SERVICE, list(parts)) is not None


@pytest.mark.parametrize(
    'parts',
    [['bad', 'sound'], ['sound', 'bad'], ['sound', 'bad', 'other']],
)
def test_part_is_blocked_wherever_it_stands(breaker, parts):
    """Parts of requests that were answered stay in use."""
    for number in range(MIN_CRASHES):
        crash(breaker, parts, f'e{number}', 100.0 + number)
        breaker.note_progress(SERVICE, ['sound', 'other'], 100.5 + number)
    assert is_refused(breaker, *parts)
    assert is_refused(breaker, 'new', 'bad')
    assert not is_refused(breaker, 'sound', 'other')


def test_two_bad_parts_are_blocked_separately(breaker):
    """Their requests come in turn, with one part in common."""
    for number in range(MIN_CRASHES):
        crash(breaker, ['first', 'bad-1'], f'a{number}', 100.0 + number)
        crash(breaker, ['first', 'bad-2'], f'b{number}', 100.3 + number)
        breaker.note_progress(SERVICE, ['first'], 100.6 + number)
    assert is_refused(breaker, 'first', 'bad-1')
    assert is_refused(breaker, 'first', 'bad-2')
    assert not is_refused(breaker, 'first', 'new')


def test_sound_part_beside_the_bad_one_is_served_alone(breaker):
    """The two can't be told apart until one of them comes without the other."""
    block(breaker, ['bad', 'rider'])
    assert is_refused(breaker, 'bad', 'rider')
    assert not is_refused(breaker, 'rider')
    breaker.note_progress(SERVICE, ['rider'], 101.0)
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
    breaker.note_progress(SERVICE, ['first', 'rare'], 100.0)
    for number in range(8):
        crash(breaker, ['first', 'rare'], f'e{number}', 101.0)
    assert breaker.is_closed
    assert not breaker.has_suspects()


def test_crashes_of_other_causes_are_cleared_by_later_answers(breaker):
    """A rare part is a suspect at each crash, and answered in between."""
    for number in range(3 * MIN_CRASHES):
        now = 100.0 + number * 2 * PROGRESS_VALID_S
        crash(breaker, ['rare'], f'e{number}', now)
        breaker.note_progress(SERVICE, ['rare'], now + 1)
    assert breaker.is_closed


def test_part_that_turns_bad_is_blocked(breaker):
    """Earlier answers protect it for a few seconds only."""
    breaker.note_progress(SERVICE, ['part'], 100.0)
    block(breaker, ['part'], now=100.1 + PROGRESS_VALID_S)
    assert is_refused(breaker, 'part')


def test_requests_lost_in_one_crash_count_once(breaker):
    """Several hosts lose requests with the same part at one endpoint."""
    for _ in range(2 * MIN_CRASHES):
        crash(breaker, ['part'], 'e1')
    assert breaker.count_crashes(SERVICE, ['part', 'other']) == 1
    assert breaker.is_closed


def test_other_services_are_not_affected(breaker):
    """A part may crash the endpoints of one model only."""
    block(breaker, ['bad'])
    assert breaker.find_blocked('model-b', ['bad']) is None


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
    hosts[0].note_progress(SERVICE, ['first'], 100.5)
    exchange(hosts, 101.0)
    exchange(hosts, 101.1)
    for host in hosts:
        assert is_refused(host, 'bad', 'new')
        assert not is_refused(host, 'first', 'new')


def test_host_that_serves_a_part_clears_it_for_all(hosts):
    """A part that is rare elsewhere was answered there a moment ago."""
    block(hosts[0], ['rare'])
    hosts[1].note_progress(SERVICE, ['rare'], 100.5)
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
    hosts[1].note_progress(SERVICE, ['part'], 101.0)
    hosts[1].merge(old, 102.0)
    assert not hosts[1].has_suspects()


def test_strikes_expire_on_all_hosts(hosts):
    """Hosts that exchange them do not keep them for longer."""
    crash(hosts[0], ['part'], 'e1', 0.0)
    hosts[1].merge(hosts[0].strikes(STRIKE_VALID_S - 1), STRIKE_VALID_S - 1)
    assert hosts[1].has_suspects()
    assert not hosts[1].strikes(STRIKE_VALID_S + 1)


def test_table_is_bounded(breaker):
    """Prompts with thousands of parts do not fill it, nor drop the bad one."""
    for number in range(MAX_STRIKES):
        parts = [f'p{number}-{part}' for part in range(300)]
        crash(breaker, [*parts, 'bad'] if number else ['bad'], f'e{number}')
        breaker.note_progress(SERVICE, parts, 0.0)
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
    breaker.apply_recorded([record], 101.0)
    assert not breaker.unrecorded()
    assert is_refused(breaker, 'bad')
    breaker.apply_recorded([], 102.0)
    assert not is_refused(breaker, 'bad')


def test_record_blocks_at_a_host_without_strikes(breaker):
    """All hosts were restarted since the crashes."""
    record = BlockedParts(service=SERVICE, parts=['bad'], crashes=['e1'])
    breaker.apply_recorded([record], 101.0)
    assert is_refused(breaker, 'first', 'bad')
    assert not is_refused(breaker, 'first')
