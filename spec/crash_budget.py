"""Budget of a request that crashes endpoints, and the way back of a sound one.

Two hosts send the same request. News of a crash is late, lost or doubled; hosts
exchange their strikes; a record in the store is written, seen and counts the
trials; a host is restarted. The breaker is the production code.

A deadly request crashes each endpoint. A host in touch has merged all strikes
and seen the record: sends by such hosts after the third crash stay within the
budget. A sound request is only in flight at crashes of other causes: it has
trials left unless these crashes failed each of them.
"""

from functools import cache

from jacinthmount.crash_breaker import (
    MAX_TRIALS,
    MIN_CRASHES,
    TRIAL_PAUSE_S,
    BlockedRequest,
    CrashBreaker,
    RecordedRequest,
)
from jacinthmount.crash_strikes import CrashStrike, Suspect
from minicheck import Protocol

__all__ = ('ForgetsLateCrashes', 'Rules', 'build')

SERVICE = 's'
REQUEST = 'r'
SUSPECT = Suspect(request=REQUEST, parts=[])
HOSTS = (0, 1)
ALL_CURRENT = (True, True)
NONE_CURRENT = (False, False)
MAX_RETRIES = 3
# One more than the budget, and as many as lead to the last trial.
MAX_DEADLY_CRASHES = MIN_CRASHES + MAX_RETRIES + 1
MAX_OTHER_CRASHES = MIN_CRASHES + MAX_TRIALS - 1
# All crashes are observed at once; trials begin after their pause.
CRASH_AT = 0.0
TRIAL_AT = TRIAL_PAUSE_S
# A host knows the strikes as pairs of crash and cleared, the trials that the
# record counts (None without a record), and whether it saw an answer.
NEW_HOST = (frozenset(), None, False)

Known = tuple[frozenset, int | None, bool]


class ForgetsLateCrashes(CrashBreaker):
    """Broken variant: a crash after the answer went on is no evidence."""

    __slots__ = ()

    def note_crash(self, service, suspect, crash, now, *, has_progressed=False):
        """Records nothing: each answer had gone on."""
        return []


class Rules:
    """Rules that a broken variant replaces."""

    __slots__ = ('breaker', 'count_trials', 'is_deadly')

    def __init__(
        self,
        *,
        is_deadly: bool,
        breaker: type[CrashBreaker] = CrashBreaker,
        count_trials: bool = True,
    ) -> None:
        """Follows every rule by default.

        :param is_deadly: the request crashes each endpoint
        :param count_trials: the record counts the trials
        """
        self.is_deadly = is_deadly
        self.breaker = breaker
        self.count_trials = count_trials

    @property
    def max_crashes(self) -> int:
        """Crashes after which nothing is sent any more."""
        return MAX_DEADLY_CRASHES if self.is_deadly else MAX_OTHER_CRASHES


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    ``news`` is a host and the strikes that are on their way to it, ``behind``
    are the hosts that may lack some, ``trials`` those that the record in the
    store counts, or None. ``current`` tells for each host whether it has seen
    the record as it is. ``late`` counts the sends after the third crash by
    hosts in touch.
    """
    return Protocol(
        name='crash budget',
        candidate=False,
        fields=(
            'hosts',
            'news',
            'behind',
            'trials',
            'current',
            'crashes',
            'late',
        ),
        initial=(
            (NEW_HOST, NEW_HOST),
            None,
            frozenset(),
            None,
            ALL_CURRENT,
            0,
            0,
        ),
        transitions=lambda fields: _transitions(fields, rules),
        invariants=(
            {'within_budget': _is_within_budget}
            if rules.is_deadly
            else {'has_way_back': _has_way_back}
        ),
    )


def _is_within_budget(fields: dict) -> bool:
    return fields['late'] <= MAX_RETRIES


def _has_way_back(fields: dict) -> bool:
    trials = fields['trials']
    return trials is None or fields['crashes'] >= MIN_CRASHES + max(
        0, trials - 1
    )


def _thaw(host: Known, rules: Rules) -> CrashBreaker:
    strikes, trials, answered = host
    breaker = rules.breaker()
    breaker.merge(_make_strikes(strikes), CRASH_AT)
    if trials is not None:
        breaker.apply_recorded([], [_make_recorded(trials)], CRASH_AT)
    if answered:
        breaker.note_answer(SUSPECT, CRASH_AT)
    return breaker


def _freeze(breaker: CrashBreaker, *, answered: bool) -> Known:
    recorded = breaker.find_recorded(REQUEST)
    return (
        frozenset(
            (strike.crash, strike.is_cleared)
            for strike in breaker.strikes(CRASH_AT)
        ),
        recorded.blocked.trials if recorded else None,
        answered,
    )


def _make_strikes(strikes: frozenset) -> list[CrashStrike]:
    return [
        CrashStrike(
            service=SERVICE,
            request=REQUEST,
            parts=[],
            is_owed=False,
            crash=crash,
            is_cleared=is_cleared,
            age_s=0.0,
        )
        for crash, is_cleared in strikes
    ]


def _make_recorded(trials: int) -> RecordedRequest:
    blocked = BlockedRequest(request=REQUEST, crashes=[], trials=trials)
    return RecordedRequest(blocked=blocked, version=trials, seen_at=CRASH_AT)


# Few states of a host occur in many states of the protocol.
@cache
def _is_refused(host: Known, rules: Rules) -> bool:
    return _thaw(host, rules).find_blocked_request(REQUEST) is not None


@cache
def _may_try(host: Known, rules: Rules) -> bool:
    recorded = _thaw(host, rules).find_recorded(REQUEST)
    return recorded is not None and recorded.may_try(TRIAL_AT)


@cache
def _lacks_record(host: Known, rules: Rules) -> bool:
    return bool(_thaw(host, rules).unrecorded())


@cache
def _with_crash(host: Known, crash: str, rules: Rules) -> Known:
    breaker = _thaw(host, rules)
    breaker.note_crash(SERVICE, SUSPECT, crash, CRASH_AT, has_progressed=True)
    return _freeze(breaker, answered=host[2])


@cache
def _with_answer(host: Known, rules: Rules) -> Known:
    breaker = _thaw(host, rules)
    breaker.note_answer(SUSPECT, CRASH_AT)
    return _freeze(breaker, answered=True)


@cache
def _with_strikes(host: Known, strikes: frozenset, rules: Rules) -> Known:
    breaker = _thaw(host, rules)
    breaker.merge(_make_strikes(strikes), CRASH_AT)
    return _freeze(breaker, answered=host[2])


@cache
def _with_record(host: Known, trials: int | None, rules: Rules) -> Known:
    breaker = _thaw(host, rules)
    recorded = [] if trials is None else [_make_recorded(trials)]
    breaker.apply_recorded([], recorded, CRASH_AT)
    return _freeze(breaker, answered=host[2])


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    steps = []
    for host in HOSTS:
        steps.extend(_send(fields, host, rules))
        steps.extend(_see(fields, host, rules))
    steps.extend(_exchange(fields, rules))
    if rules.is_deadly:
        # The way back needs the record only, and single exchanges.
        steps.extend(_restart(fields))
        steps.extend(_deliver(fields, rules))
    steps.extend(_write(fields, rules))
    return steps


def _send(fields: tuple, host: int, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, trials, current, crashes, late = fields
    is_late = host not in behind and current[host] and crashes >= MIN_CRASHES
    if crashes >= rules.max_crashes:
        return []
    if _is_refused(hosts[host], rules):
        if not _may_try(hosts[host], rules):
            return []
        if rules.count_trials:
            # The conditional write fails unless the host knows the record.
            if not current[host]:
                return []
            trials, current = trials + 1, NONE_CURRENT
    if rules.is_deadly:
        late += is_late
    sent = (hosts, news, behind, trials, current, crashes, late)
    steps = [(f'h{host} sends, crash', _crash(sent, host, rules))]
    if not rules.is_deadly:
        steps.append((f'h{host} sends, answer', _answer(sent, host, rules)))
    return steps


def _crash(fields: tuple, host: int, rules: Rules) -> tuple:
    hosts, news, behind, trials, current, crashes, late = fields
    known = _with_crash(hosts[host], f'e{crashes}', rules)
    if rules.is_deadly:
        news = news or (1 - host, known[0])
    return (
        _with(hosts, host, known),
        news,
        behind | {1 - host},
        trials,
        current,
        crashes + 1,
        late,
    )


def _answer(fields: tuple, host: int, rules: Rules) -> tuple:
    hosts, news, behind, trials, current, *rest = fields
    return (
        _with(hosts, host, _with_answer(hosts[host], rules)),
        news,
        behind | {1 - host},
        None,
        current if trials is None else NONE_CURRENT,
        *rest,
    )


def _see(fields: tuple, host: int, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, trials, current, *rest = fields
    if current[host]:
        return []
    after = (
        _with(hosts, host, _with_record(hosts[host], trials, rules)),
        news,
        behind,
        trials,
        _with(current, host, changed=True),
        *rest,
    )
    return [(f'h{host} sees the record', after)]


def _exchange(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    (first, second), news, behind, *rest = fields
    if not behind:
        return []
    second = _with_strikes(second, first[0], rules)
    first = _with_strikes(first, second[0], rules)
    second = _with_strikes(second, first[0], rules)
    return [('hosts exchange', ((first, second), news, frozenset(), *rest))]


def _restart(fields: tuple) -> list[tuple[str, tuple]]:
    hosts, news, behind, trials, current, *rest = fields
    if behind:
        # The strikes that the other host lacks would be lost.
        return []
    known = _with(hosts, 1, NEW_HOST)
    current = _with(current, 1, changed=False)
    after = (known, news, frozenset((1,)), trials, current, *rest)
    return [('h1 restarts', after)]


def _deliver(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, *rest = fields
    if news is None:
        return []
    host, strikes = news
    merged = _with(hosts, host, _with_strikes(hosts[host], strikes, rules))
    return [
        ('news is lost', (hosts, None, *rest)),
        # It stays on its way, so it may come once more.
        ('news comes', (merged, news, *rest)),
    ]


def _write(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, trials, _, *rest = fields
    if trials is not None or not _lacks_record(hosts[0], rules):
        return []
    after = (hosts, news, behind, 0, NONE_CURRENT, *rest)
    return [('record is written', after)]


def _with(fields: tuple, index: int, changed) -> tuple:
    return (*fields[:index], changed, *fields[index + 1 :])
