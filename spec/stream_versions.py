"""A stream goes on only at the software version that began it.

One stream begins at a host, breaks off, and is taken up at another host that
asks a runner. A second version is registered, the first one leaves; hosts and
the runner are killed; news of the stream is late or lost; the record in the
store is written late. The decision is the production code.

The stream is also taken up at a host that is out of step: it stands still or is
cut off while versions come and go, lists the registrations at any moment, and
has to infer the version, since nobody replies to it.

Assumed: hosts learn registrations from the runner. A version is registered for
longer than the record takes to be written, and for longer than a host may be
out of step without a restart of its history.
"""

from jacinthmount.stream_lookup import (
    StreamReply,
    find_known,
    find_only_version,
    is_settled,
)
from jacinthmount.stream_origins import StreamOrigin
from minicheck import Protocol

__all__ = ('Rules', 'build')

SERVICE = 's'
OLD, NEW = 'v1', 'v2'
NONE: frozenset[str] = frozenset()
NOT_TOLD, ON_ITS_WAY = 'not told', 'on its way'


class Rules:
    """Rules that a broken variant replaces."""

    __slots__ = (
        'forgets_at_once',
        'host_ahead',
        'keep_history',
        'keep_record',
        'tells',
        'trusts_old_list',
    )

    def __init__(
        self,
        *,
        tells: bool = True,
        host_ahead: bool = False,
        keep_record: bool = True,
        forgets_at_once: bool = False,
        trusts_old_list: bool = False,
        keep_history: bool = False,
    ) -> None:
        """Follows every rule by default.

        :param tells: hosts tell the runner of streams beside two versions
        :param host_ahead: a host may know a version before the runner does
        :param keep_record: a runner that starts reads the record
        :param forgets_at_once: the runner forgets a version that has left
        :param trusts_old_list: a host infers a version from a list that is
            older than the stream
        :param keep_history: a host that was out of step takes its history for
            complete once it has listed the registrations
        """
        self.tells = tells
        self.host_ahead = host_ahead
        self.keep_record = keep_record
        self.forgets_at_once = forgets_at_once
        self.trusts_old_list = trusts_old_list
        self.keep_history = keep_history


NAMES = (
    'registered',
    'recorded',
    'recorded_stream',
    'runner',
    'runner_stream',
    'host',
    'stream',
    'news',
    'kills',
    'stale_host',
    'has_listed',
    'has_history',
)
MAX_KILLS = 2


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    The runner is None while it is down, else the versions that it takes for
    possible; the host and the stale host likewise. The stale host may have
    listed the registrations since the stream began, and has its history unless
    a version came and left unseen.
    """
    first = frozenset((OLD,))
    return Protocol(
        name='stream versions',
        candidate=False,
        fields=NAMES,
        initial=(
            first,
            first,
            '',
            first,
            '',
            first,
            '',
            NOT_TOLD,
            0,
            first,
            False,
            True,
        ),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={
            'never_joined': _never_joined,
            'never_joined_when_stale': lambda fields: (
                _infer_when_stale(fields, rules) in {'', fields['stream']}
            ),
            'goes_on': _goes_on if rules.tells else _is_any,
        },
    )


def _never_joined(fields: dict) -> bool:
    return _decide(fields) in {'', fields['stream']}


def _goes_on(fields: dict) -> bool:
    """What the runner was told is found."""
    is_told = fields['stream'] and fields['runner_stream'] == fields['stream']
    if not is_told or fields['runner'] is None:
        return True
    return _decide(fields) == fields['stream']


def _is_any(fields: dict) -> bool:
    return True


def _decide(fields: dict) -> str:
    """Returns the version at which the stream is taken up, or nothing."""
    if not fields['stream'] or fields['runner'] is None:
        return ''
    reply = StreamReply(
        origin=_make_origin(fields['runner_stream']),
        is_settled=True,
        versions={SERVICE: sorted(fields['runner'])},
    )
    known = find_known([reply])
    if known is None and is_settled([reply]):
        known = find_only_version([SERVICE], [reply.versions])
    return known.version if known else ''


def _infer_when_stale(fields: dict, rules: Rules) -> str:
    """Returns the version that a host infers alone, or nothing."""
    is_proven = fields['has_listed'] or rules.trusts_old_list
    if not fields['stream'] or not is_proven or not fields['has_history']:
        return ''
    only = find_only_version(
        [SERVICE], [{SERVICE: sorted(fields['stale_host'])}]
    )
    return only.version if only else ''


def _make_origin(version: str) -> StreamOrigin | None:
    if not version:
        return None
    return StreamOrigin(
        service=SERVICE, endpoint_id='e', started_at_ms=1, version=version
    )


def _with(fields: tuple, **changes: object) -> tuple:
    state = dict(zip(NAMES, fields, strict=True))
    state.update(changes)
    return tuple(state.values())


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    state = dict(zip(NAMES, fields, strict=True))
    return [
        *_registrations(fields, state, rules),
        *_stale_host_steps(fields, state),
        *_runner_steps(fields, state, rules),
        *_host_steps(fields, state, rules),
        *_kills(fields, state, rules),
    ]


def _registrations(
    fields: tuple, state: dict, rules: Rules
) -> list[tuple[str, tuple]]:
    registered = state['registered']
    steps = []
    if registered == {OLD}:
        both = registered | {NEW}
        steps.append(('v2 comes', _with(fields, registered=both)))
    if len(registered) > 1 and registered <= state['recorded']:
        for version in sorted(registered):
            left = registered - {version}
            has_seen = version in state['stale_host'] or rules.keep_history
            steps.append((
                f'{version} leaves',
                _with(
                    fields,
                    registered=left,
                    has_history=state['has_history'] and has_seen,
                ),
            ))
    return steps


def _stale_host_steps(fields: tuple, state: dict) -> list[tuple[str, tuple]]:
    known = state['stale_host'] | state['registered']
    return [
        (
            'stale host lists the registrations',
            _with(fields, stale_host=known, has_listed=bool(state['stream'])),
        )
    ]


def _runner_steps(
    fields: tuple, state: dict, rules: Rules
) -> list[tuple[str, tuple]]:
    runner = state['runner']
    if runner is None:
        return []
    seen = runner | state['registered']
    if rules.forgets_at_once:
        seen = state['registered']
    steps = [('runner reads registrations', _with(fields, runner=seen))]
    recorded_stream = state['runner_stream'] if len(runner) > 1 else ''
    steps.append((
        'record is written',
        _with(fields, recorded=runner, recorded_stream=recorded_stream),
    ))
    if state['news'] == ON_ITS_WAY:
        steps.append((
            'news arrives',
            _with(fields, runner_stream=state['stream'], news=NOT_TOLD),
        ))
    return steps


def _host_steps(
    fields: tuple, state: dict, rules: Rules
) -> list[tuple[str, tuple]]:
    host = state['host']
    steps = []
    known = state['registered']
    if not rules.host_ahead:
        known &= state['runner'] or NONE
    steps.append((
        'host reads registrations',
        _with(
            fields,
            host=host | known,
            news=_tell(rules, host | known, begun=bool(state['stream'])),
        ),
    ))
    if not state['stream']:
        steps.extend(
            (
                f'stream begins at {version}',
                _with(
                    fields, stream=version, news=_tell(rules, host, begun=True)
                ),
            )
            for version in sorted(host & state['registered'])
        )
    if state['news'] == ON_ITS_WAY:
        steps.append(('news is lost', _with(fields, news=NOT_TOLD)))
    return steps


def _tell(rules: Rules, host: frozenset[str], *, begun: bool) -> str:
    return ON_ITS_WAY if rules.tells and begun and len(host) > 1 else NOT_TOLD


def _kills(fields: tuple, state: dict, rules: Rules) -> list[tuple[str, tuple]]:
    if state['runner'] is None:
        kept = state['recorded'] if rules.keep_record else NONE
        stream = state['recorded_stream'] if rules.keep_record else ''
        versions = kept | state['registered']
        return [
            (
                'runner starts',
                _with(fields, runner=versions, runner_stream=stream),
            )
        ]
    if state['kills'] == MAX_KILLS:
        return []
    kills = state['kills'] + 1
    return [
        (
            'runner is killed',
            _with(fields, runner=None, runner_stream='', kills=kills),
        ),
        (
            'host is killed',
            _with(fields, host=state['runner'], news=NOT_TOLD, kills=kills),
        ),
    ]
