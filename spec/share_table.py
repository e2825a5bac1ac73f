"""Bucket handover between hosts: two hosts never use one bucket at once.

Of two hosts of one data centre, the first owns the account while it is in the
share table, otherwise the second does. Any step may be omitted, which
models broken links and a paused host; replies are read late, handovers are
lost. Buckets and peer contacts are the production code; time moves in steps
of ``STEP_S`` (six seconds).
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


class SkipsOwnerWait(HostBuckets):
    """Broken variant: a new owner does not wait for the previous one."""

    __slots__ = ()

    def _settled(self, now: float) -> bool:
        return True


class Rules:
    """Rules that a broken variant omits or replaces."""

    __slots__ = (
        'count_replies_from_read',
        'host_buckets',
        'newer_table_confirms',
    )

    def __init__(
        self,
        *,
        host_buckets: type[HostBuckets] = HostBuckets,
        count_replies_from_read: bool = False,
        newer_table_confirms: bool = False,
    ) -> None:
        """Follows every rule by default.

        :param count_replies_from_read: a reply confirms from when it was read,
            not from when its request was sent
        :param newer_table_confirms: a reply with a newer table version than
            the receiver's confirms too
        """
        self.host_buckets = host_buckets
        self.count_replies_from_read = count_replies_from_read
        self.newer_table_confirms = newer_table_confirms


class _Host:
    __slots__ = ('contacts', 'host_buckets')

    def __init__(self, *, name: str, rules: Rules) -> None:
        self.host_buckets = rules.host_buckets(host=name, incarnation='1')
        self.contacts = PeerContacts(now=0.0)

    def usable(self, name: str, now: float) -> bool:
        """Returns whether the host would admit a request at ``now``."""
        slots = self.host_buckets.slots()
        if not self.contacts.confirmed(name, slots, now):
            return False
        return self.host_buckets.bucket(ACCOUNT, now) is not None


class _Hosts:
    """Hosts of one state, which are thawed when a step first uses them."""

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
        """Changes one host; results are cached by state and arguments."""
        self._frozen[name] = _changed(self._frozen[name], func, *args)

    def freeze(self) -> tuple:
        """Freezes the hosts that were thawed, and returns the others as is."""
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


def _receive_request(
    host: _Host,
    other: str,
    version: int,
    now: float,
) -> None:
    host.contacts.on_peer_request(other, now)
    host.host_buckets.on_ack(other, version, now)


def _receive_ack(host: _Host, other: str, version: int, now: float) -> None:
    host.host_buckets.on_ack(other, version, now)


def _receive_reply(host: _Host, other: str, requested_at: float) -> None:
    host.contacts.on_peer_reply(other, requested_at)


def _receive_platform_confirmation(host: _Host, now: float) -> None:
    host.contacts.on_platform_confirmation(now)


@functools.lru_cache(maxsize=MAX_CACHED)
def _usable(frozen: bytes, name: str, now: float) -> bool:
    return thaw(frozen).usable(name, now)


class _State:
    __slots__ = ('hosts', 'pending_reply', 'step', 'table', 'version')

    def __init__(self, fields: tuple) -> None:
        self.step, self.version, self.table, frozen, self.pending_reply = fields
        self.hosts = _Hosts(frozen)

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self.step * STEP_S

    def key(self) -> tuple:
        """Returns the fields of the state."""
        return (
            self.step,
            self.version,
            self.table,
            self.hosts.freeze(),
            self.pending_reply,
        )

    def deliver_table(self, name: str, *, deliver_handovers: bool) -> None:
        """Delivers the newest table to a host.

        :param deliver_handovers: whether its handovers arrive or are lost
        """
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
        for transfer in transfers if deliver_handovers else ():
            receiver = self.hosts[transfer.host]
            receiver.host_buckets.on_handover(transfer.handover, self.now)


def build(rules: Rules) -> Protocol:
    """Builds the specification.

    ``version`` and ``table`` are those of the stored share table.
    ``pending_reply`` is ``(request sent at, table version)`` of a reply that
    the owner has not read yet, or None.
    """
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
        fields=('step', 'version', 'table', 'hosts', 'pending_reply'),
        initial=(0, 1, (OWNER, OTHER), tuple(map(freeze, hosts)), None),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={'single_user': _single_user},
    )


def _single_user(fields: dict) -> bool:
    now = fields['step'] * STEP_S
    usable = [
        _usable(frozen, name, now)
        for name, frozen in zip(HOSTS, fields['hosts'], strict=True)
    ]
    return usable.count(True) <= 1


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    successors = []
    for step in _STEPS:
        state = _State(fields)
        if step(state, rules):
            successors.append((step.__name__.strip('_'), state.key()))
    return successors


def _time_passes(state: _State, rules: Rules) -> bool:
    state.step += 1
    return state.step <= LAST_STEP


def _owner_sends_request(state: _State, rules: Rules) -> bool:
    # The reply stays in the socket buffer until the owner reads it.
    if state.pending_reply is not None:
        return False
    version = state.hosts.peek(OWNER).host_buckets.version
    state.hosts.change(OTHER, _receive_request, OWNER, version, state.now)
    state.pending_reply = (
        state.now,
        state.hosts.peek(OTHER).host_buckets.version,
    )
    return True


def _owner_reads_reply(state: _State, rules: Rules) -> bool:
    if state.pending_reply is None:
        return False
    requested_at, version = state.pending_reply
    state.pending_reply = None
    state.hosts.change(OWNER, _receive_ack, OTHER, version, state.now)
    own_version = state.hosts.peek(OWNER).host_buckets.version
    if version <= own_version or rules.newer_table_confirms:
        read_at = state.now if rules.count_replies_from_read else requested_at
        state.hosts.change(OWNER, _receive_reply, OTHER, read_at)
    return True


def _other_completes_request(state: _State, rules: Rules) -> bool:
    owner_version = state.hosts.peek(OWNER).host_buckets.version
    other_version = state.hosts.peek(OTHER).host_buckets.version
    state.hosts.change(OWNER, _receive_ack, OTHER, other_version, state.now)
    state.hosts.change(OTHER, _receive_ack, OWNER, owner_version, state.now)
    if owner_version <= other_version:
        state.hosts.change(OTHER, _receive_reply, OWNER, state.now)
    return True


def _other_removes_owner(state: _State, rules: Rules) -> bool:
    other = state.hosts.peek(OTHER)
    owner_unresponsive = other.contacts.unresponsive([OWNER], state.now)
    quorum_is_one = replacement_quorum(len(state.table)) == 1
    if (
        not (owner_unresponsive and quorum_is_one)
        or state.version >= MAX_VERSION
    ):
        return False
    if OWNER not in state.table:
        return False
    state.version += 1
    state.table = (OTHER,)
    state.deliver_table(OTHER, deliver_handovers=False)
    return True


def _owner_joins(state: _State, rules: Rules) -> bool:
    listed = state.hosts.peek(OWNER).host_buckets.listed()
    if listed or state.version >= MAX_VERSION:
        return False
    if OWNER in state.table:
        return False
    state.version += 1
    state.table = (OWNER, OTHER)
    state.deliver_table(OWNER, deliver_handovers=True)
    return True


def _owner_receives_table(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OWNER).host_buckets.version == state.version:
        return False
    state.deliver_table(OWNER, deliver_handovers=True)
    return True


def _owner_receives_table_handover_lost(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OWNER).host_buckets.version == state.version:
        return False
    state.deliver_table(OWNER, deliver_handovers=False)
    return True


def _other_receives_table(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OTHER).host_buckets.version == state.version:
        return False
    state.deliver_table(OTHER, deliver_handovers=True)
    return True


def _other_receives_table_handover_lost(state: _State, rules: Rules) -> bool:
    if state.hosts.peek(OTHER).host_buckets.version == state.version:
        return False
    state.deliver_table(OTHER, deliver_handovers=False)
    return True


def _platform_confirms(state: _State, rules: Rules) -> bool:
    # The platform is reachable from the other host, not from the owner.
    if OTHER not in state.table:
        return False
    state.hosts.change(OTHER, _receive_platform_confirmation, state.now)
    return True


_STEPS = (
    _time_passes,
    _owner_sends_request,
    _owner_reads_reply,
    _other_completes_request,
    _other_removes_owner,
    _owner_joins,
    _owner_receives_table,
    _owner_receives_table_handover_lost,
    _other_receives_table,
    _other_receives_table_handover_lost,
    _platform_confirms,
)


def _table(version: int) -> ShareTable:
    # Tables alternate: the owner is only in those of odd versions.
    slots = [ShareSlot(host=host, incarnation='1') for host in HOSTS]
    with_owner = version % 2 == 1
    return ShareTable(
        data_centre='dc',
        slots=slots if with_owner else slots[1:],
        previous=slots[1:] if with_owner else slots,
        previous_version=version - 1,
        write_id='',
    )
