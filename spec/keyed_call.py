"""Keyed calls that may not be repeated: at most once, and true answers.

A caller sends the same call through two hosts, any number of times. Each host
may crash between any two steps, writes may lose their answer, and the endpoint
may be out of reach. The verdicts and the answer to a failed attempt are the
project's own code.
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
    """What a broken variant leaves out."""

    __slots__ = ('create_blindly', 'retry_unknown', 'say_not_run_when_sent')

    def __init__(
        self,
        *,
        create_blindly: bool = False,
        retry_unknown: bool = False,
        say_not_run_when_sent: bool = False,
    ) -> None:
        """Keeps every rule by default."""
        self.create_blindly = create_blindly
        self.retry_unknown = retry_unknown
        self.say_not_run_when_sent = say_not_run_when_sent


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    A host is ``(phase, version read, run it caused)``. ``lies`` counts
    answers of "not run" for a call that ran.
    """
    idle = ('idle', 0, 0)
    return Protocol(
        name='keyed call',
        candidate=False,
        fields=('record', 'version', 'hosts', 'runs', 'lies', 'sends'),
        initial=('', 0, (idle, idle), 0, 0, 0),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={
            'at_most_once': lambda fields: fields['runs'] <= 1,
            'not_run_is_true': lambda fields: fields['lies'] == 0,
        },
    )


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    found = []
    for index in range(HOSTS):
        phase = fields[2][index][0]
        for label, after in _STEPS[phase](fields, index, rules):
            found.append((f'host {index} {label}', after))
        if phase != 'idle':
            found.append((
                f'host {index} crashes',
                _with(fields, index, ('idle', 0, 0)),
            ))
    return found


def _from_idle(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, lies, sends = fields
    if sends >= MAX_SENDS:
        return []
    verdict = decide_call(_as_record(record), 'hash')
    after = (record, version, hosts, runs, lies, sends + 1)
    run = verdict is CallDecision.RUN
    if verdict is CallDecision.UNKNOWN and rules.retry_unknown:
        run = True
    if not run:
        return [('answers from the record', after)]
    return [('reads', _with(after, index, ('read', version, 0)))]


def _from_read(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, lies, sends = fields
    expected = hosts[index][1]
    if expected != version and not rules.create_blindly:
        return [('conflicts', _with(fields, index, ('idle', 0, 0)))]
    if version >= MAX_VERSION:
        return []
    written = (CALL_STARTED, version + 1, hosts, runs, lies, sends)
    started = ('started', version + 1, 0)
    return [
        ('records the start', _with(written, index, started)),
        # The write took effect, its answer and every repeat were lost.
        ('is refused by an outage', _with(written, index, ('idle', 0, 0))),
        ('does not reach the store', _with(fields, index, ('idle', 0, 0))),
    ]


def _from_started(fields: tuple, index: int, rules: Rules) -> list:
    record, version, hosts, runs, lies, sends = fields
    read = hosts[index][1]
    ran = (record, version, hosts, runs + 1, lies, sends)
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
    record, version, hosts, runs, lies, sends = fields
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
    if sent and rules.say_not_run_when_sent:
        outcome = NextAction.NOT_RUN
    if outcome is not NextAction.NOT_RUN:
        return [('answers unknown', _with(fields, index, ('idle', 0, 0)))]
    after = (record, version, hosts, runs, lies + ran, sends)
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
    record, version, hosts, runs, lies, sends = fields
    if expected == version and version < MAX_VERSION:
        record = state
        version += 1
    return _with(
        (record, version, hosts, runs, lies, sends),
        index,
        ('idle', 0, 0),
    )


def _with(fields: tuple, index: int, host: tuple) -> tuple:
    record, version, hosts, runs, lies, sends = fields
    changed = list(hosts)
    changed[index] = host
    return (record, version, tuple(changed), runs, lies, sends)


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
