"""Which host of a data centre holds the bucket of an account.

Each account has one bucket a data centre. The share table of the data centre
lists its hosts; the first by rendezvous rank owns the bucket. On a change of
the table every host hands over what it no longer owns and says that it keeps
nothing back. Where one can't say so, the new owner makes an empty bucket only
after every host has acknowledged the table and the one that is missing can no
longer be confirmed.
"""

from jacinthmount.buckets import Bucket
from jacinthmount.declarations import Account, DataCentre
from jacinthmount.members import rank_hosts
from jacinthmount.records import Record

__all__ = (
    'AccountLimit',
    'Handover',
    'HostBuckets',
    'ShareSlot',
    'ShareTable',
    'OutgoingHandover',
    'split_limits',
)

SHARE_PREFIX = 'fleet/shares/'
HANDOVER_WAIT_S = 12.0
MIN_SPLIT_TOKENS = 4.0


class ShareSlot(Record):
    """One host in a share table, with the start it is known by."""

    __slots__ = ('host', 'incarnation')

    host: str
    incarnation: str


class ShareTable(Record):
    """The hosts of one data centre that hold buckets.

    ``previous`` holds the slots of the table that this one replaced, and
    ``previous_version`` its version, 0 for the first table.
    """

    __slots__ = (
        'data_centre',
        'slots',
        'previous',
        'previous_version',
        'write_id',
    )

    data_centre: str
    slots: list[ShareSlot]
    previous: list[ShareSlot]
    previous_version: int
    write_id: str


class Handover(Record):
    """Buckets that change their owner under a version of the table.

    ``levels`` holds tokens by account. ``wait_s`` is the time after which
    every part lent by the old owner is back. ``settled`` tells that the old
    owner gives up whatever else it could have made under the table before.
    """

    __slots__ = (
        'sender',
        'version',
        'settled',
        'levels',
        'wait_s',
    )

    sender: ShareSlot
    version: int
    settled: bool
    levels: dict[str, float]
    wait_s: float


class OutgoingHandover(Record):
    """A handover on its way to a host."""

    __slots__ = ('host', 'handover')

    host: str
    handover: Handover


class AccountLimit(Record):
    """The part of an account's limits that one data centre holds."""

    __slots__ = ('rate_per_s', 'burst')

    rate_per_s: float
    burst: float


def split_limits(
    account: Account,
    data_centres: list[DataCentre],
) -> dict[str, AccountLimit]:
    """Splits the limits of an account over the data centres.

    A burst too small to split stays whole in one data centre, which the
    others ask.
    """
    shares = {one.name: one.share for one in data_centres if one.share > 0}
    if not shares:
        return {}
    if account.burst * min(shares.values()) < MIN_SPLIT_TOKENS:
        home = rank_hosts(account.name, list(shares))[0]
        shares = {home: sum(shares.values())}
    return {
        name: AccountLimit(
            rate_per_s=account.rate_per_s * share,
            burst=account.burst * share,
        )
        for name, share in shares.items()
    }


class HostBuckets:
    """Buckets held by this host and the table they follow from."""

    __slots__ = (
        '_acked',
        '_buckets',
        '_early',
        '_limits',
        '_ready_at',
        '_released',
        '_settles_at',
        '_slot',
        '_table',
        'version',
    )

    def __init__(self, *, host: str, incarnation: str) -> None:
        """Starts without a table."""
        self._slot = ShareSlot(host=host, incarnation=incarnation)
        self._table: ShareTable | None = None
        self._buckets: dict[str, Bucket] = {}
        self._limits: dict[str, AccountLimit] = {}
        self._acked: dict[str, int] = {}
        self._early: list[Handover] = []
        self._released: set[ShareSlot] = set()
        self._ready_at: dict[str, float] = {}
        self._settles_at: float | None = None
        self.version = 0

    def slots(self) -> list[str]:
        """Lists the hosts of the table."""
        table = self._table
        return [slot.host for slot in table.slots] if table else []

    def listed(self) -> bool:
        """Tells whether the table names this start of this host."""
        return self._table is not None and self._slot in self._table.slots

    def owner(self, account: str) -> str | None:
        """Names the host that owns the bucket of an account."""
        ranked = rank_hosts(account, self.slots())
        return ranked[0] if ranked else None

    def apply_limits(
        self,
        limits: dict[str, AccountLimit],
        now: float,
    ) -> None:
        """Takes the limits of all accounts from the configuration."""
        self._limits = limits
        for account in set(self._buckets) - set(limits):
            self._buckets.pop(account)
        for account, bucket in self._buckets.items():
            limit = limits[account]
            bucket.resize(limit.rate_per_s, limit.burst, now)

    def on_table(
        self,
        table: ShareTable,
        version: int,
        now: float,
        *,
        confirmed: bool,
    ) -> list[OutgoingHandover]:
        """Takes a newer table.

        :param confirmed: whether the slot of this host is confirmed. If not,
            another host may have replaced it, and it hands nothing over.
        :returns: handovers to send; their buckets are no longer held here.
        """
        if version <= self.version:
            return []
        settled = self._settled(now) and self.version == table.previous_version
        self._table = table
        self.version = version
        self._acked = {}
        self._released = set()
        self._settles_at = now if table.previous_version == 0 else None
        if settled and confirmed:
            self._released.add(self._slot)
        moving = self._give_up(now, settled=settled)
        self._note_releases(now)
        self._note_acks(now)
        self._take_early(now)
        return moving if confirmed else []

    def on_ack(self, host: str, version: int, now: float) -> None:
        """Notes the table version that a host reported."""
        self._acked[host] = max(version, self._acked.get(host, 0))
        self._note_acks(now)

    def on_handover(self, handover: Handover, now: float) -> None:
        """Takes buckets from their old owner.

        Only a handover under the table in force counts. One that comes late
        costs tokens, as this host may make empty buckets instead.
        """
        if handover.version > self.version:
            self._early.append(handover)
        if handover.version != self.version:
            return
        if handover.settled:
            self._released.add(handover.sender)
        for account, level in handover.levels.items():
            if self.owner(account) == self._slot.host:
                self._accept(account, level, handover.wait_s, now)
        self._note_releases(now)

    def bucket(self, account: str, now: float) -> Bucket | None:
        """Finds the bucket of an account if this host may use it.

        The caller has checked that the slot of this host is confirmed.
        """
        if not self.listed() or self.owner(account) != self._slot.host:
            return None
        if account not in self._limits:
            return None
        if account not in self._buckets:
            if not self._settled(now):
                return None
            self._make(account)
        if now < self._ready_at.get(account, 0.0):
            return None
        return self._buckets[account]

    def _settled(self, now: float) -> bool:
        # Nobody else can hold a bucket that belongs to this host.
        return self._settles_at is not None and now >= self._settles_at

    def _note_releases(self, now: float) -> None:
        table = self._table
        if table and table.previous and set(table.previous) <= self._released:
            self._settles_at = min(now, self._settles_at or now)

    def _note_acks(self, now: float) -> None:
        # Counts from the last acknowledgement: until then a replaced host may
        # have been confirmed by the host that acknowledged last.
        others = [host for host in self.slots() if host != self._slot.host]
        acked = all(self._acked.get(host, 0) >= self.version for host in others)
        if acked and self._settles_at is None:
            self._settles_at = now + HANDOVER_WAIT_S

    def _take_early(self, now: float) -> None:
        early = self._early
        self._early = []
        for handover in early:
            self.on_handover(handover, now)

    def _make(self, account: str) -> None:
        # Empty when this host became the only possible holder, and nobody has
        # used it since.
        limit = self._limits[account]
        self._buckets[account] = Bucket(
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            now=self._settles_at or 0.0,
        )

    def _accept(
        self,
        account: str,
        level: float,
        wait_s: float,
        now: float,
    ) -> None:
        limit = self._limits.get(account)
        if account in self._buckets or limit is None:
            return
        self._ready_at[account] = now + wait_s
        self._buckets[account] = Bucket(
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            now=now + wait_s,
            level=level,
        )

    def _give_up(self, now: float, *, settled: bool) -> list[OutgoingHandover]:
        moving: dict[str, Handover] = {}
        for host in self.slots() if settled else ():
            if host != self._slot.host:
                moving[host] = self._handover(settled=True)
        for account in list(self._buckets):
            owner = self.owner(account)
            if owner == self._slot.host and self.listed():
                continue
            bucket = self._buckets.pop(account)
            pending = max(0.0, self._ready_at.pop(account, now) - now)
            wait_s = max(pending, bucket.lent_for_s(now))
            if owner is not None:
                handover = moving.setdefault(
                    owner,
                    self._handover(settled=False),
                )
                handover.levels[account] = bucket.own_level(now)
                handover.wait_s = max(handover.wait_s, wait_s)
        return _transfers(moving)

    def _handover(self, *, settled: bool) -> Handover:
        return Handover(
            sender=self._slot,
            version=self.version,
            settled=settled,
            levels={},
            wait_s=0.0,
        )


def _transfers(moving: dict[str, Handover]) -> list[OutgoingHandover]:
    return [
        OutgoingHandover(host=host, handover=handover)
        for host, handover in sorted(moving.items())
    ]
