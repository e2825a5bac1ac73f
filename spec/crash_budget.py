"""Budget of a request that crashes endpoints, and the way back of a sound one.

Two hosts send the same request. News of a crash is late, lost or doubled; hosts
exchange their strikes; a record in the store is written, seen and counts the
trials; a host is restarted. The breaker is the production code.

A deadly request crashes each endpoint. A host in touch has merged all strikes
and seen the record: sends by such hosts after the third crash stay within the
budget. A sound request is only in flight at crashes of other causes: it has
trials left unless these crashes failed each of them.
"""

from jacinthmount.crash_breaker import (
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
MAX_RETRIES = 3
MAX_CRASHES = 7
# All crashes are observed at once; trials begin after their pause.
CRASH_AT = 0.0
TRIAL_AT = TRIAL_PAUSE_S
# A host knows the strikes as pairs of crash and cleared, the trials that the
# record counts (None without a record), and whether it saw an answer.
NEW_HOST = (frozenset(), None, False)


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


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    ``news`` is a host and the strikes that are on their way to it, ``behind``
    are the hosts that may lack some, ``record`` holds the trials of the record
    in the store, or None, and its version. ``seen`` is the version that each
    host knows. ``late`` counts the sends after the third crash by hosts in
    touch.
    """
    return Protocol(
        name='crash budget',
        candidate=False,
        fields=(
            'hosts',
            'news',
            'behind',
            'record',
            'seen',
            'crashes',
            'late',
        ),
        initial=(
            (NEW_HOST, NEW_HOST),
            None,
            frozenset(),
            (None, 0),
            (0, 0),
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
    trials, _ = fields['record']
    return trials is None or fields['crashes'] >= MIN_CRASHES + max(
        0, trials - 1
    )


def _thaw(host: tuple, rules: Rules) -> CrashBreaker:
    strikes, trials, answered = host
    breaker = rules.breaker()
    breaker.merge(
        [
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
        ],
        CRASH_AT,
    )
    if trials is not None:
        breaker.apply_recorded([], [_make_recorded(trials)], CRASH_AT)
    if answered:
        breaker.note_answer(SUSPECT, CRASH_AT)
    return breaker


def _freeze(breaker: CrashBreaker, host: tuple) -> tuple:
    recorded = breaker.find_recorded(REQUEST)
    return (
        frozenset(
            (strike.crash, strike.is_cleared)
            for strike in breaker.strikes(CRASH_AT)
        ),
        recorded.blocked.trials if recorded else None,
        host[2],
    )


def _make_recorded(trials: int) -> RecordedRequest:
    blocked = BlockedRequest(request=REQUEST, crashes=[], trials=trials)
    return RecordedRequest(blocked=blocked, version=trials, seen_at=CRASH_AT)


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    steps = []
    for host in HOSTS:
        steps.extend(_send(fields, host, rules))
        steps.extend(_see(fields, host, rules))
    steps.extend(_exchange(fields, rules))
    steps.extend(_restart(fields))
    steps.extend(_deliver(fields, rules))
    steps.extend(_write(fields, rules))
    return steps


def _send(fields: tuple, host: int, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, (trials, version), seen, crashes, late = fields
    if crashes >= MAX_CRASHES:
        return []
    is_current = seen[host] == version
    breaker = _thaw(hosts[host], rules)
    if breaker.find_blocked_request(REQUEST) is not None:
        recorded = breaker.find_recorded(REQUEST)
        if recorded is None or not recorded.may_try(TRIAL_AT):
            return []
        if rules.count_trials:
            if not is_current:
                return []
            trials, version = trials + 1, version + 1
    is_late = host not in behind and is_current and crashes >= MIN_CRASHES
    sent = (
        hosts,
        news,
        behind,
        (trials, version),
        seen,
        crashes,
        late + is_late,
    )
    steps = [(f'h{host} sends, crash', _crash(sent, host, rules))]
    if not rules.is_deadly:
        steps.append((f'h{host} sends, answer', _answer(sent, host, rules)))
    return steps


def _crash(fields: tuple, host: int, rules: Rules) -> tuple:
    hosts, news, behind, record, seen, crashes, late = fields
    breaker = _thaw(hosts[host], rules)
    crash = f'e{crashes}'
    breaker.note_crash(SERVICE, SUSPECT, crash, CRASH_AT, has_progressed=True)
    known = _freeze(breaker, hosts[host])
    return (
        _with(hosts, host, known),
        news or (1 - host, known[0]),
        behind | {1 - host},
        record,
        seen,
        crashes + 1,
        late,
    )


def _answer(fields: tuple, host: int, rules: Rules) -> tuple:
    hosts, news, behind, (trials, version), *rest = fields
    breaker = _thaw(hosts[host], rules)
    breaker.note_answer(SUSPECT, CRASH_AT)
    strikes, known_trials, _ = _freeze(breaker, hosts[host])
    removed = version if trials is None else version + 1
    return (
        _with(hosts, host, (strikes, known_trials, True)),
        news,
        behind | {1 - host},
        (None, removed),
        *rest,
    )


def _see(fields: tuple, host: int, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, (trials, version), seen, *rest = fields
    if seen[host] == version:
        return []
    breaker = _thaw(hosts[host], rules)
    recorded = [] if trials is None else [_make_recorded(trials)]
    breaker.apply_recorded([], recorded, CRASH_AT)
    after = (
        _with(hosts, host, _freeze(breaker, hosts[host])),
        news,
        behind,
        (trials, version),
        _with(seen, host, version),
        *rest,
    )
    return [(f'h{host} sees version {version}', after)]


def _exchange(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, *rest = fields
    if not behind:
        return []
    breakers = [_thaw(host, rules) for host in hosts]
    for sender in (0, 1, 0):
        strikes = breakers[sender].strikes(CRASH_AT)
        breakers[1 - sender].merge(strikes, CRASH_AT)
    merged = tuple(map(_freeze, breakers, hosts))
    return [('hosts exchange', (merged, news, frozenset(), *rest))]


def _restart(fields: tuple) -> list[tuple[str, tuple]]:
    hosts, news, behind, record, seen, *rest = fields
    if behind:
        # The strikes that the other host lacks would be lost.
        return []
    known = _with(hosts, 1, NEW_HOST)
    after = (known, news, frozenset((1,)), record, _with(seen, 1, 0), *rest)
    return [('h1 restarts', after)]


def _deliver(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, *rest = fields
    if news is None:
        return []
    host, strikes = news
    breaker = _thaw((hosts[host][0] | strikes, *hosts[host][1:]), rules)
    merged = _with(hosts, host, _freeze(breaker, hosts[host]))
    return [
        ('news is lost', (hosts, None, *rest)),
        # It stays on its way, so it may come once more.
        ('news comes', (merged, news, *rest)),
    ]


def _write(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    hosts, news, behind, (trials, version), *rest = fields
    if trials is not None or not _thaw(hosts[0], rules).unrecorded():
        return []
    after = (hosts, news, behind, (0, version + 1), *rest)
    return [('record is written', after)]


def _with(fields: tuple, index: int, changed) -> tuple:
    return (*fields[:index], changed, *fields[index + 1 :])
