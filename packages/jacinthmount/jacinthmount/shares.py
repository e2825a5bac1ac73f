"""Ownership of token buckets within a data centre.

Each account has one bucket per data centre. The share table of the data centre
lists its hosts, and the first by rendezvous rank owns the bucket. After a
change of the table each host hands over the buckets that it no longer owns, and
reports that it holds no others. If a host can't report that, the new owner
creates an empty bucket, but only after all hosts have acknowledged the table
and the slot of the missing host can no longer be confirmed.
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
# Time after the last acknowledgement until a missing host can't be confirmed.
HANDOVER_WAIT_S = 12.0
MIN_SPLIT_TOKENS = 4.0


class ShareSlot(Record):
    """A host in a share table, with its incarnation."""

    __slots__ = ('host', 'incarnation')

    host: str
    incarnation: str


class ShareTable(Record):
    """The hosts of one data centre that hold buckets.

    ``previous`` holds the slots of the table that this one replaced, and
    ``previous_version`` is its version, 0 for the first table.
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

    ``levels`` holds tokens by account. ``wait_s`` is the time after which all
    loans of the old owner have ended. ``settled`` is true if the old owner
    gives up all other buckets that it could create under the previous table.
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
    """A handover to send to a host."""

    __slots__ = ('host', 'handover')

    host: str
    handover: Handover


class AccountLimit(Record):
    """Limits of an account in one data centre."""

    __slots__ = ('rate_per_s', 'burst')

    rate_per_s: float
    burst: float


def split_limits(
    account: Account,
    data_centres: list[DataCentre],
) -> dict[str, AccountLimit]:
    """Splits the limits of an account over the data centres.

    A burst that is too small to split is assigned to one data centre, to which
    the others send their requests for tokens.
    """
    shares = {
        data_centre.name: data_centre.share
        for data_centre in data_centres
        if data_centre.share > 0
    }
    if not shares:
        return {}
    if account.burst * min(shares.values()) < MIN_SPLIT_TOKENS:
        owner = rank_hosts(account.name, list(shares))[0]
        shares = {owner: sum(shares.values())}
    return {
        name: AccountLimit(
            rate_per_s=account.rate_per_s * share,
            burst=account.burst * share,
        )
        for name, share in shares.items()
    }


class HostBuckets:
    """Buckets held by this host, according to the share table."""

    __slots__ = (
        '_acked',
        '_buckets',
        '_early_handovers',
        '_limits',
        '_ready_at',
        '_released',
        '_settled_at',
        '_slot',
        '_table',
        'version',
    )

    def __init__(self, *, host: str, incarnation: str) -> None:
        self._slot = ShareSlot(host=host, incarnation=incarnation)
        self._table: ShareTable | None = None
        self._buckets: dict[str, Bucket] = {}
        self._limits: dict[str, AccountLimit] = {}
        self._acked: dict[str, int] = {}
        self._early_handovers: list[Handover] = []
        self._released: set[ShareSlot] = set()
        self._ready_at: dict[str, float] = {}
        self._settled_at: float | None = None
        self.version = 0

    @property
    def incarnation(self) -> str:
        """Incarnation of the host whose buckets these are."""
        return self._slot.incarnation

    def slots(self) -> list[str]:
        """Lists the hosts of the table."""
        table = self._table
        return [slot.host for slot in table.slots] if table else []

    def listed(self) -> bool:
        """Returns whether the table lists this incarnation of this host."""
        return self._table is not None and self._slot in self._table.slots

    def owner(self, account: str) -> str | None:
        """Returns the host that owns the bucket of an account."""
        ranked = rank_hosts(account, self.slots())
        return ranked[0] if ranked else None

    def apply_limits(
        self,
        limits: dict[str, AccountLimit],
        now: float,
    ) -> None:
        """Applies the configured limits of all accounts."""
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
        """Applies a newer table.

        :param confirmed: whether the slot of this host is confirmed. If not,
            another host may have replaced it, and it hands nothing over.
        :returns: handovers to send; this host no longer holds their buckets.
        """
        if version <= self.version:
            return []
        settled = self._settled(now) and self.version == table.previous_version
        self._table = table
        self.version = version
        self._acked = {}
        self._released = set()
        self._settled_at = now if table.previous_version == 0 else None
        if settled and confirmed:
            self._released.add(self._slot)
        handovers = self._release_buckets(now, settled=settled)
        self._note_releases(now)
        self._note_acks(now)
        self._apply_early(now)
        return handovers if confirmed else []

    def on_ack(self, host: str, version: int, now: float) -> None:
        """Records the table version that a host acknowledged."""
        self._acked[host] = max(version, self._acked.get(host, 0))
        self._note_acks(now)

    def on_handover(self, handover: Handover, now: float) -> None:
        """Applies a handover from the old owner of buckets.

        Only a handover for the current table is applied, and one for a newer
        table is kept until then. A late one costs tokens, as this host may have
        created empty buckets instead.
        """
        if handover.version > self.version:
            self._early_handovers.append(handover)
        if handover.version != self.version:
            return
        if handover.settled:
            self._released.add(handover.sender)
        for account, level in handover.levels.items():
            if self.owner(account) == self._slot.host:
                self._accept_bucket(account, level, handover.wait_s, now)
        self._note_releases(now)

    def bucket(self, account: str, now: float) -> Bucket | None:
        """Finds the bucket of an account if this host may use it.

        The caller must have checked that the slot of this host is confirmed.
        """
        if not self.listed() or self.owner(account) != self._slot.host:
            return None
        if account not in self._limits:
            return None
        if account not in self._buckets:
            if not self._settled(now):
                return None
            self._make_bucket(account)
        if now < self._ready_at.get(account, 0.0):
            return None
        return self._buckets[account]

    def _settled(self, now: float) -> bool:
        # No other host can hold a bucket that this host owns.
        return self._settled_at is not None and now >= self._settled_at

    def _note_releases(self, now: float) -> None:
        table = self._table
        if table and table.previous and set(table.previous) <= self._released:
            self._settled_at = min(now, self._settled_at or now)

    def _note_acks(self, now: float) -> None:
        # The wait starts with the last acknowledgement: until then the host
        # that sent it may have confirmed a replaced host.
        others = [host for host in self.slots() if host != self._slot.host]
        acked = all(self._acked.get(host, 0) >= self.version for host in others)
        if acked and self._settled_at is None:
            self._settled_at = now + HANDOVER_WAIT_S

    def _apply_early(self, now: float) -> None:
        early = self._early_handovers
        self._early_handovers = []
        for handover in early:
            self.on_handover(handover, now)

    def _make_bucket(self, account: str) -> None:
        # The bucket was empty when this host became the only possible holder,
        # and was not used since, so it fills from that time.
        limit = self._limits[account]
        self._buckets[account] = Bucket(
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            now=self._settled_at or 0.0,
        )

    def _accept_bucket(
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

    def _release_buckets(
        self, now: float, *, settled: bool
    ) -> list[OutgoingHandover]:
        handovers: dict[str, Handover] = {}
        for host in self.slots() if settled else ():
            if host != self._slot.host:
                handovers[host] = self._make_handover(settled=True)
        for account in list(self._buckets):
            owner = self.owner(account)
            if owner == self._slot.host and self.listed():
                continue
            bucket = self._buckets.pop(account)
            pending = max(0.0, self._ready_at.pop(account, now) - now)
            wait_s = max(pending, bucket.lent_for_s(now))
            if owner is not None:
                handover = handovers.setdefault(
                    owner,
                    self._make_handover(settled=False),
                )
                handover.levels[account] = bucket.own_level(now)
                handover.wait_s = max(handover.wait_s, wait_s)
        return _outgoing(handovers)

    def _make_handover(self, *, settled: bool) -> Handover:
        return Handover(
            sender=self._slot,
            version=self.version,
            settled=settled,
            levels={},
            wait_s=0.0,
        )


def _outgoing(handovers: dict[str, Handover]) -> list[OutgoingHandover]:
    return [
        OutgoingHandover(host=host, handover=handover)
        for host, handover in sorted(handovers.items())
    ]
