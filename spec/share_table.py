"""Buckets that change hosts: never two hosts that may use one bucket.

Two hosts of one data centre; the account belongs to the first while it is in
the table and to the second otherwise. Any step may be left out, which stands
for cut links and a paused host; answers are read late, handovers get lost.
Keepers and hearing are the project's own code; time moves in steps of six
seconds.
"""

import functools
from collections.abc import Callable

from jacinthmount.members import PeerContacts, rank_hosts, replacement_quorum
from jacinthmount.shares import (
    AccountLimit,
    HostBuckets,
    ShareSlot,
    ShareTable,
)
from minicheck import Protocol

from spec.checking import freeze, thaw

__all__ = ('Rules', 'build')

STEP_S = 6.0
LAST_STEP = 5
MAX_VERSION = 3
ACCOUNT = 'account-b'
MAX_CACHED = 400_000
HOSTS = tuple(rank_hosts(ACCOUNT, ['a', 'b']))
OWNER, OTHER = HOSTS


class MintsAtOnce(HostBuckets):
    """Broken variant: a new owner does not wait for the old one."""

    __slots__ = ()

    def _settled(self, now: float) -> bool:
        return True


class Rules:
    """What a broken variant leaves out."""

    __slots__ = (
        'answers_count_when_read',
        'host_buckets',
        'newer_table_confirms',
    )

    def __init__(
        self,
        *,
        host_buckets: type[HostBuckets] = HostBuckets,
        answers_count_when_read: bool = False,
        newer_table_confirms: bool = False,
    ) -> None:
        """Keeps every rule by default."""
        self.host_buckets = host_buckets
        self.answers_count_when_read = answers_count_when_read
        self.newer_table_confirms = newer_table_confirms


class _Host:
    __slots__ = ('contacts', 'host_buckets')

    def __init__(self, *, name: str, rules: Rules) -> None:
        self.host_buckets = rules.host_buckets(host=name, incarnation='1')
        self.contacts = PeerContacts(now=0.0)

    def usable(self, name: str, now: float) -> bool:
        """Tells whether the host would admit a request now."""
        slots = self.host_buckets.slots()
        if not self.contacts.confirmed(name, slots, now):
            return False
        return self.host_buckets.bucket(ACCOUNT, now) is not None


class _Hosts:
    """Hosts of one state, in their frozen form until a step uses them."""

    __slots__ = ('_frozen', '_thawed')

    def __init__(self, frozen: tuple) -> None:
        self._frozen = dict(zip(HOSTS, frozen, strict=True))
        self._thawed: dict[str, _Host] = {}

    def __getitem__(self, name: str) -> _Host:
        if name not in self._thawed:
            self._thawed[name] = thaw(self._frozen[name])
        return self._thawed[name]

    def peek(self, name: str) -> _Host:
        """Reads a host that the step does not change."""
        return _peek(self._frozen[name])

    def change(self, name: str, func: Callable, *args: object) -> None:
        """Changes one host; the same change is computed once."""
        self._frozen[name] = _changed(self._frozen[name], func, *args)

    def freeze(self) -> tuple:
        """Freezes the hosts that were used, and keeps the others."""
        return tuple(
            freeze(self._thawed[name])
            if name in self._thawed
            else self._frozen[name]
            for name in HOSTS
        )


@functools.lru_cache(maxsize=MAX_CACHED)
def _peek(frozen: bytes) -> _Host:
    return thaw(frozen)


@functools.lru_cache(maxsize=MAX_CACHED)
def _changed(frozen: bytes, func: Callable, *args: object) -> bytes:
    host = thaw(frozen)
    func(host, *args)
    return freeze(host)


def _hear_question(
    host: _Host,
    other: str,
    version: int,
    now: float,
) -> None:
    host.contacts.on_peer_request(other, now)
    host.host_buckets.on_ack(other, version, now)


def _hear_ack(host: _Host, other: str, version: int, now: float) -> None:
    host.host_buckets.on_ack(other, version, now)


def _hear_answer(host: _Host, other: str, asked_at: float) -> None:
    host.contacts.on_peer_reply(other, asked_at)


def _hear_platform(host: _Host, now: float) -> None:
    host.contacts.on_platform_confirmation(now)


@functools.lru_cache(maxsize=MAX_CACHED)
def _usable(frozen: bytes, name: str, now: float) -> bool:
    return thaw(frozen).usable(name, now)


class _State:
    __slots__ = ('hosts', 'pong', 'step', 'table', 'version')

    def __init__(self, fields: tuple) -> None:
        self.step, self.version, self.table, frozen, self.pong = fields
        self.hosts = _Hosts(frozen)

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self.step * STEP_S

    def key(self) -> tuple:
        """Makes the fields again."""
        return (
            self.step,
            self.version,
            self.table,
            self.hosts.freeze(),
            self.pong,
        )

    def learn(self, name: str, *, keep: bool) -> None:
        """Brings the newest table to a host; handovers go through or not."""
        host = self.hosts[name]
        confirmed = host.contacts.confirmed(
            name, host.host_buckets.slots(), self.now
        )
        transfers = host.host_buckets.on_table(
            _table(self.version),
            self.version,
            self.now,
            confirmed=confirmed,
        )
        for transfer in transfers if keep else ():
            receiver = self.hosts[transfer.host]
            receiver.host_buckets.on_handover(transfer.handover, self.now)


def build(rules: Rules) -> Protocol:
    """Builds the specification."""
    hosts = [_Host(name=name, rules=rules) for name in HOSTS]
    limits = {ACCOUNT: AccountLimit(rate_per_s=1.0, burst=4.0)}
    for host in hosts:
        host.host_buckets.apply_limits(limits, 0.0)
        host.host_buckets.on_table(_table(1), 1, 0.0, confirmed=False)
    for host, other in zip(hosts, reversed(HOSTS), strict=True):
        host.contacts.on_peer_reply(other, 0.0)
        host.contacts.on_peer_request(other, 0.0)
        host.host_buckets.on_ack(other, 1, 0.0)
    return Protocol(
        name='share table',
        candidate=False,
        fields=('step', 'version', 'table', 'hosts', 'pong'),
        initial=(0, 1, (OWNER, OTHER), tuple(map(freeze, hosts)), None),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={'one_user': _one_user},
    )


def _one_user(named: dict) -> bool:
    now = named['step'] * STEP_S
    usable = [
        _usable(frozen, name, now)
        for name, frozen in zip(HOSTS, named['hosts'], strict=True)
    ]
    return usable.count(True) <= 1


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    found = []
    for step in _STEPS:
        state = _State(fields)
        if step(state, rules):
            found.append((step.__name__.strip('_'), state.key()))
    return found


def _time_passes(state: _State, rules: Rules) -> bool:
    state.step += 1
    return state.step <= LAST_STEP


def _owner_asks(state: _State, rules: Rules) -> bool:
    # The answer waits in a socket until the owner reads it.
    if state.pong is not None:
        return False
    version = state.hosts.peek(OWNER).host_buckets.version
    state.hosts.change(OTHER, _hear_question, OWNER, version, state.now)
    state.pong = (state.now, state.hosts.peek(OTHER).host_buckets.version)
    return True


def _owner_reads_answer(state: _State, rules: Rules) -> bool:
    if state.pong is None:
        return False
    asked_at, version = state.pong
    state.pong = None
    state.hosts.change(OWNER, _hear_ack, OTHER, version, state.now)
    own_version = state.hosts.peek(OWNER).host_buckets.version
    if version <= own_version or rules.newer_table_confirms:
        read_at = state.now if rules.answers_count_when_read else asked_at
        state.hosts.change(OWNER, _hear_answer, OTHER, read_at)
    return True


def _other_asks(state: _State, rules: Rules) -> bool:
    owner_version = state.hosts.peek(OWNER).host_buckets.version
    other_version = state.hosts.peek(OTHER).host_buckets.version
    state.hosts.change(OWNER, _hear_ack, OTHER, other_version, state.now)
    state.hosts.change(OTHER, _hear_ack, OWNER, owner_version, state.now)
    if owner_version <= other_version:
        state.hosts.change(OTHER, _hear_answer, OWNER, state.now)
    return True


def _other_removes_owner(state: _State, rules: Rules) -> bool:
    other = state.hosts.peek(OTHER)
    missed = other.contacts.unresponsive([OWNER], state.now)
    alone = replacement_quorum(len(state.table)) == 1
    if not (missed and alone) or state.version >= MAX_VERSION:
        return False
    if OWNER not in state.table:
        return False
    state.version += 1
    state.table = (OTHER,)
    state.learn(OTHER, keep=False)
    return True


def _owner_joins(state: _State, rules: Rules) -> bool:
    listed = state.hosts.peek(OWNER).host_buckets.listed()
    if listed or state.version >= MAX_VERSION:
        return False
    if OWNER in state.table:
        return False
    state.version += 1
    state.table = (OWNER, OTHER)
    state.learn(OWNER, keep=True)
    return True


def _owner_learns(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OWNER).host_buckets.version == state.version:
        return False
    state.learn(OWNER, keep=True)
    return True


def _owner_learns_handover_lost(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OWNER).host_buckets.version == state.version:
        return False
    state.learn(OWNER, keep=False)
    return True


def _other_learns(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OTHER).host_buckets.version == state.version:
        return False
    state.learn(OTHER, keep=True)
    return True


def _other_learns_handover_lost(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OTHER).host_buckets.version == state.version:
        return False
    state.learn(OTHER, keep=False)
    return True


def _platform_confirms(state: _State, rules: Rules) -> bool:
    # The other host reads the platform, which is out of the owner's reach.
    if OTHER not in state.table:
        return False
    state.hosts.change(OTHER, _hear_platform, state.now)
    return True


_STEPS = (
    _time_passes,
    _owner_asks,
    _owner_reads_answer,
    _other_asks,
    _other_removes_owner,
    _owner_joins,
    _owner_learns,
    _owner_learns_handover_lost,
    _other_learns,
    _other_learns_handover_lost,
    _platform_confirms,
)


def _table(version: int) -> ShareTable:
    # Tables alternate: the owner is in the odd ones only.
    slots = [ShareSlot(host=host, incarnation='1') for host in HOSTS]
    with_owner = version % 2 == 1
    return ShareTable(
        data_centre='dc',
        slots=slots if with_owner else slots[1:],
        previous=slots[1:] if with_owner else slots,
        previous_version=version - 1,
        write_id='',
    )
