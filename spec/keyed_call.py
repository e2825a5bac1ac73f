"""Keyed calls that are not idempotent: run at most once, correct answers.

A caller sends the same call through two hosts, up to ``MAX_SENDS`` times. Each
host may crash between any two steps, the answer to a write may be lost, and
the endpoint may be unreachable. The decision about a repeated call and the
action after a failed attempt are the production code.
"""

from jacinthmount.dispatch import Attempt, NextAction, Stage, next_action
from jacinthmount.idempotency import (
    CALL_ANSWERED,
    CALL_NOT_RUN,
    CALL_STARTED,
    CallDecision,
    CallRecord,
    decide_call,
)
from minicheck import Protocol

__all__ = ('Rules', 'build')

HOSTS = 2
MAX_VERSION = 4
MAX_SENDS = 3


class Rules:
    """Rules that a broken variant omits; none by default."""

    __slots__ = (
        'create_unconditionally',
        'retry_unknown',
        'treat_sent_as_not_run',
    )

    def __init__(
        self,
        *,
        create_unconditionally: bool = False,
        retry_unknown: bool = False,
        treat_sent_as_not_run: bool = False,
    ) -> None:
        self.create_unconditionally = create_unconditionally
        self.retry_unknown = retry_unknown
        self.treat_sent_as_not_run = treat_sent_as_not_run


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    A host is ``(phase, version read, runs it caused)``. ``false_not_run``
    counts answers of "not run" for a call that ran.
    """
    idle = ('idle', 0, 0)
    return Protocol(
        name='keyed call',
        candidate=False,
        fields=('record', 'version', 'hosts', 'runs', 'false_not_run', 'sends'),
        initial=('', 0, (idle, idle), 0, 0, 0),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={
            'at_most_once': lambda fields: fields['runs'] <= 1,
            'not_run_is_true': lambda fields: fields['false_not_run'] == 0,
        },
    )


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    successors = []
    for index in range(HOSTS):
        phase = fields[2][index][0]
        for label, after in _STEPS[phase](fields, index, rules):
            successors.append((f'host {index} {label}', after))
        if phase != 'idle':
            successors.append((
                f'host {index} crashes',
                _with(fields, index, ('idle', 0, 0)),
            ))
    return successors


def _from_idle(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, false_not_run, sends = fields
    if sends >= MAX_SENDS:
        return []
    decision = decide_call(_as_record(record), 'hash')
    after = (record, version, hosts, runs, false_not_run, sends + 1)
    run = decision is CallDecision.RUN
    if decision is CallDecision.UNKNOWN and rules.retry_unknown:
        run = True
    if not run:
        return [('answers from the record', after)]
    return [('reads', _with(after, index, ('read', version, 0)))]


def _from_read(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, false_not_run, sends = fields
    expected = hosts[index][1]
    if expected != version and not rules.create_unconditionally:
        return [('conflicts', _with(fields, index, ('idle', 0, 0)))]
    if version >= MAX_VERSION:
        return []
    written = (CALL_STARTED, version + 1, hosts, runs, false_not_run, sends)
    started = ('started', version + 1, 0)
    return [
        ('records the start', _with(written, index, started)),
        # The write took effect, but its answer and all retries were lost.
        (
            'is refused by an outage',
            _with(written, index, ('idle', 0, 0)),
        ),
        ('cannot reach the store', _with(fields, index, ('idle', 0, 0))),
    ]


def _from_started(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, false_not_run, sends = fields
    read = hosts[index][1]
    ran = (record, version, hosts, runs + 1, false_not_run, sends)
    return [
        (
            'fails to connect',
            _with(
                fields,
                index,
                ('failed connecting', read, 0),
            ),
        ),
        ('sends and is answered', _with(ran, index, ('answered', read, 1))),
        ('sends and is cut', _with(ran, index, ('failed sent', read, 1))),
        (
            'is cut while sending',
            _with(fields, index, ('failed sent', read, 0)),
        ),
    ]


def _from_failed(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, false_not_run, sends = fields
    phase, read, ran = hosts[index]
    sent = phase == 'failed sent'
    outcome = next_action(
        Attempt(
            stage=Stage.SENT if sent else Stage.CONNECTING,
            idempotent=False,
            relayed=False,
            resumable=False,
            may_retry=False,
            time_left=True,
        )
    )
    if sent and rules.treat_sent_as_not_run:
        outcome = NextAction.NOT_RUN
    if outcome is not NextAction.NOT_RUN:
        return [('answers unknown', _with(fields, index, ('idle', 0, 0)))]
    after = (record, version, hosts, runs, false_not_run + ran, sends)
    return [
        ('answers not run', _record_end(after, index, read, CALL_NOT_RUN)),
        ('answers not run, record lost', _with(after, index, ('idle', 0, 0))),
    ]


def _from_answered(fields: tuple, index: int, rules: Rules) -> list:
    read = fields[2][index][1]
    return [
        (
            'records the answer',
            _record_end(
                fields,
                index,
                read,
                CALL_ANSWERED,
            ),
        ),
        ('loses the record', _with(fields, index, ('idle', 0, 0))),
    ]


_STEPS = {
    'idle': _from_idle,
    'read': _from_read,
    'started': _from_started,
    'failed connecting': _from_failed,
    'failed sent': _from_failed,
    'answered': _from_answered,
}


def _record_end(
    fields: tuple,
    index: int,
    expected: int,
    state: str,
) -> tuple:
    record, version, hosts, runs, false_not_run, sends = fields
    if expected == version and version < MAX_VERSION:
        record = state
        version += 1
    return _with(
        (record, version, hosts, runs, false_not_run, sends),
        index,
        ('idle', 0, 0),
    )


def _with(fields: tuple, index: int, host: tuple) -> tuple:
    record, version, hosts, runs, false_not_run, sends = fields
    changed = list(hosts)
    changed[index] = host
    return (record, version, tuple(changed), runs, false_not_run, sends)


def _as_record(state: str) -> CallRecord | None:
    if not state:
        return None
    return CallRecord(
        request_hash='hash',
        state=state,
        status=0,
        content_type='',
        body='',
        kept=True,
        holder='',
        write_id='',
    )
