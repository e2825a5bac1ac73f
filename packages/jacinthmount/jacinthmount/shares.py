"""Which host of a data centre holds the bucket of an account.

Each account has one bucket a data centre. The share table of the data centre
lists its hosts; the first by rendezvous rank owns the bucket. On a change of
the table the old owner hands the bucket over. Where it can't, the new owner
makes an empty one only after every host that could hold it has acknowledged
the table or can no longer be confirmed.
"""

from jacinthmount.buckets import Bucket
from jacinthmount.members import rank_hosts
from jacinthmount.records import Record

__all__ = ('Handover', 'ShareKeeper', 'ShareSlot', 'ShareTable', 'Transfer')

SHARE_PREFIX = 'fleet/shares/'
HANDOVER_WAIT_S = 12.0


class ShareSlot(Record):
    """One host in a share table, with the start it is known by."""

    __slots__ = ('host', 'incarnation')

    host: str
    incarnation: str


class ShareTable(Record):
    """The hosts of one data centre that hold buckets."""

    __slots__ = ('data_centre', 'slots', 'write_id')

    data_centre: str
    slots: list[ShareSlot]
    write_id: str


class Handover(Record):
    """Buckets that change their owner.

    ``levels`` holds tokens by account. ``wait_s`` is the time after which
    every part lent by the old owner is back.
    """

    __slots__ = ('data_centre', 'version', 'levels', 'wait_s')

    data_centre: str
    version: int
    levels: dict[str, float]
    wait_s: float


class Transfer(Record):
    """A handover on its way to a host."""

    __slots__ = ('host', 'handover')

    host: str
    handover: Handover


class AccountLimit(Record):
    """The part of an account's limits that one data centre holds."""

    __slots__ = ('rate_per_s', 'burst')

    rate_per_s: float
    burst: float


class ShareKeeper:
    """Buckets held by this host and the table they follow from."""

    __slots__ = (
        '_acked',
        '_buckets',
        '_host',
        '_incarnation',
        '_limits',
        '_ready_at',
        '_settles_at',
        '_sole',
        '_table',
        'version',
    )

    def __init__(self, *, host: str, incarnation: str) -> None:
        """Starts without a table."""
        self._host = host
        self._incarnation = incarnation
        self._table: ShareTable | None = None
        self._buckets: dict[str, Bucket] = {}
        self._limits: dict[str, AccountLimit] = {}
        self._acked: dict[str, int] = {}
        self._ready_at: dict[str, float] = {}
        self._settles_at: float | None = None
        self._sole = False
        self.version = 0

    def slots(self) -> list[str]:
        """Lists the hosts of the table."""
        table = self._table
        return [slot.host for slot in table.slots] if table else []

    def listed(self) -> bool:
        """Tells whether the table names this start of this host."""
        own = ShareSlot(host=self._host, incarnation=self._incarnation)
        return self._table is not None and own in self._table.slots

    def owner(self, account: str) -> str | None:
        """Names the host that owns the bucket of an account."""
        ranked = rank_hosts(account, self.slots())
        return ranked[0] if ranked else None

    def apply_limits(self, limits: dict[str, AccountLimit], now: float) -> None:
        """Takes the limits of all accounts from the configuration."""
        self._limits = limits
        for account in set(self._buckets) - set(limits):
            self._buckets.pop(account)
        for account, bucket in self._buckets.items():
            limit = limits[account]
            bucket.resize(limit.rate_per_s, limit.burst, now)

    def on_created(self, table: ShareTable, version: int, now: float) -> None:
        """Takes the first table of the data centre, made by this host."""
        self.on_table(table, version, now, confirmed=True)
        self._sole = True

    def on_table(
        self,
        table: ShareTable,
        version: int,
        now: float,
        *,
        confirmed: bool,
    ) -> list[Transfer]:
        """Takes a newer table.

        :param confirmed: whether the slot of this host is confirmed. If not,
            another host may have replaced it, and it hands nothing over.
        :returns: handovers to send; their buckets are no longer held here.
        """
        if version <= self.version:
            return []
        before = self._entitled(now)
        self._table = table
        self.version = version
        self._acked = {}
        self._settles_at = None
        self._note_acks(now)
        kept = [name for name in before if self.owner(name) == self._host]
        if self.listed():
            for account in kept:
                self._ensure(account, now)
        moving = [name for name in before if name not in kept]
        transfers = self._give_up(moving, now)
        return transfers if confirmed else []

    def on_ack(self, host: str, version: int, now: float) -> None:
        """Notes the table version that a host reported."""
        self._acked[host] = max(version, self._acked.get(host, 0))
        self._note_acks(now)

    def on_handover(
        self,
        handover: Handover,
        now: float,
    ) -> list[Transfer]:
        """Takes buckets from their old owner.

        :returns: transfers of those that belong to yet another host.
        """
        onward: dict[str, Handover] = {}
        for account, level in handover.levels.items():
            owner = self.owner(account)
            if owner == self._host:
                self._accept(account, level, handover.wait_s, now)
            elif owner is not None:
                to_owner = onward.setdefault(
                    owner,
                    Handover(
                        data_centre=handover.data_centre,
                        version=self.version,
                        levels={},
                        wait_s=handover.wait_s,
                    ),
                )
                to_owner.levels[account] = level
        return _transfers(onward)

    def bucket(self, account: str, now: float) -> Bucket | None:
        """Finds the bucket of an account if this host may use it.

        The caller has checked that the slot of this host is confirmed.
        """
        if not self.listed() or self.owner(account) != self._host:
            return None
        if account not in self._limits:
            return None
        if account not in self._buckets:
            if not self._settled(now):
                return None
            self._ensure(account, now)
        if now < self._ready_at.get(account, 0.0):
            return None
        return self._buckets[account]

    def _entitled(self, now: float) -> list[str]:
        if not self.listed():
            return list(self._buckets)
        if not self._settled(now):
            return list(self._buckets)
        return [name for name in self._limits if self.owner(name) == self._host]

    def _settled(self, now: float) -> bool:
        if self._sole:
            return True
        return self._settles_at is not None and now >= self._settles_at

    def _note_acks(self, now: float) -> None:
        # Counts from the last acknowledgement: until then a replaced host may
        # have been confirmed by the host that acknowledged last.
        others = [host for host in self.slots() if host != self._host]
        acked = all(self._acked.get(host, 0) >= self.version for host in others)
        if acked and self._settles_at is None:
            self._settles_at = now + HANDOVER_WAIT_S

    def _ensure(self, account: str, now: float) -> None:
        if account in self._limits and account not in self._buckets:
            limit = self._limits[account]
            self._buckets[account] = Bucket(
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                now=now,
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

    def _give_up(self, accounts: list[str], now: float) -> list[Transfer]:
        # A table made by this host alone is settled only until it changes.
        self._sole = False
        moving: dict[str, Handover] = {}
        for account in accounts:
            bucket = self._buckets.pop(account, None)
            owner = self.owner(account)
            if owner is None:
                continue
            handover = moving.setdefault(
                owner,
                Handover(
                    data_centre=self._table.data_centre if self._table else '',
                    version=self.version,
                    levels={},
                    wait_s=0.0,
                ),
            )
            pending = max(0.0, self._ready_at.pop(account, now) - now)
            lent = bucket.lent_for_s(now) if bucket else 0.0
            handover.wait_s = max(handover.wait_s, lent, pending)
            handover.levels[account] = bucket.own_level(now) if bucket else 0.0
        return _transfers(moving)


def _transfers(moving: dict[str, Handover]) -> list[Transfer]:
    return [
        Transfer(host=host, handover=handover)
        for host, handover in sorted(moving.items())
    ]
