"""Rate and burst: tokens from the host that owns the account's bucket."""

import uuid

import curio
from jacinthmount.buckets import TAKE_VALID_S, Loan
from jacinthmount.declarations import DataCentre
from jacinthmount.errors import (
    PeerUnavailable,
    RateExceeded,
    ShareUnconfirmed,
)
from jacinthmount.members import HostRecord, rank_hosts
from jacinthmount.shares import AccountLimit

from jacinthmount_node.messages import LoanAsk, LoanReply, Take, TakeReply
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('Admission',)

LOAN_ASK_TIMEOUT_S = 1.0
SHORT_PAUSE_S = 0.05
LOAN_PAUSE_S = 0.25
LEND_FRACTION = 0.5
LEND_MIN_LEVEL = 0.5
SHARE_RETRY_AFTER_S = 2.0
# Together about as long as a refused caller would be told to stay away.
HANDOVER_PAUSES_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.4, 0.5)


class Admission:
    """Admits requests of accounts and answers other hosts that ask."""

    __slots__ = ('_asked_loans', '_links', '_node', '_short_at')

    def __init__(self, *, node: Node, links: PeerLinks) -> None:
        """Takes the shares that this host holds."""
        self._node = node
        self._links = links
        self._asked_loans: dict[str, float] = {}
        self._short_at: dict[str, float] = {}

    async def admit(self, account: str) -> None:
        """Takes one token of an account or refuses its request.

        :raises RateExceeded: the account is over its rate and burst.
        :raises ShareUnconfirmed: nobody can say at this moment.
        """
        for pause_s in HANDOVER_PAUSES_S:
            reply = await self._ask_owners(account)
            if reply is not None:
                break
            # A bucket on its way to another host arrives within moments, and
            # an owner on a busy machine answers in time again.
            await curio.sleep(pause_s)
        else:
            raise ShareUnconfirmed(
                detail=f'nobody answers for the share of account {account}',
                retry_after_s=SHARE_RETRY_AFTER_S,
            )
        if not reply.granted:
            raise RateExceeded(
                detail=f'account {account} is over its rate',
                retry_after_s=reply.retry_after_s,
            )

    async def on_take(self, take: Take) -> TakeReply:
        """Takes tokens from a bucket held here, or from one nearby."""
        bucket = self._bucket(take.account)
        if bucket is None:
            return TakeReply(granted=False, owned=False, retry_after_s=0)
        now = self._node.now()
        granted = bucket.take(take.tokens, now)
        wait_s = bucket.wait_s(take.tokens, now)
        if not granted and not take.forwarded:
            granted = await self._take_nearby(take.account, now)
            await self._borrow(take.account, now)
        return TakeReply(granted=granted, owned=True, retry_after_s=wait_s)

    def on_loan_ask(self, ask: LoanAsk) -> LoanReply:
        """Lends a part of a bucket that is mostly unused."""
        bucket = self._bucket(ask.account)
        now = self._node.now()
        loan = None
        if bucket is not None:
            unused = bucket.own_level(now)
            if unused >= LEND_MIN_LEVEL * bucket.own_capacity():
                loan = bucket.lend(ask.loan_id, LEND_FRACTION, now)
        if loan is None:
            return LoanReply(
                loan_id=ask.loan_id,
                rate_per_s=0,
                capacity=0,
                level=0,
                valid_s=0,
            )
        return LoanReply(
            loan_id=loan.loan_id,
            rate_per_s=loan.rate_per_s,
            capacity=loan.capacity,
            level=loan.level,
            valid_s=loan.valid_s,
        )

    async def _ask_owners(self, account: str) -> TakeReply | None:
        for record in self._iter_owners(account):
            asked_at = self._node.now()
            reply = await self._ask(record, account)
            late = self._node.now() - asked_at >= TAKE_VALID_S
            if reply is not None and reply.owned and not late:
                return reply
        return None

    def _bucket(self, account: str):
        if not self._node.confirmed():
            return None
        return self._node.host_buckets.bucket(account, self._node.now())

    async def _ask(
        self,
        record: HostRecord,
        account: str,
        *,
        forwarded: bool = False,
    ) -> TakeReply | None:
        take = Take(account=account, tokens=1, forwarded=forwarded)
        if record.host == self._node.host:
            return await self.on_take(take)
        try:
            reply = await self._links.request(record, take, TAKE_VALID_S)
        except PeerUnavailable:
            return None
        return reply if isinstance(reply, TakeReply) else None

    async def _take_nearby(self, account: str, now: float) -> bool:
        if now - self._short_at.get(account, -SHORT_PAUSE_S) < SHORT_PAUSE_S:
            return False
        for record in self._remote_owners(account, near=True):
            reply = await self._ask(record, account, forwarded=True)
            if reply is not None and reply.granted:
                return True
        # Nobody had a token, so asking again at once would only cost messages.
        self._short_at[account] = now
        return False

    async def _borrow(self, account: str, now: float) -> None:
        # Far owners answer too late for one request; their loan serves others.
        if now - self._asked_loans.get(account, -LOAN_PAUSE_S) < LOAN_PAUSE_S:
            return
        self._asked_loans[account] = now
        for record in self._remote_owners(account, near=False):
            await curio.spawn(self._ask_loan, record, account, daemon=True)

    async def _ask_loan(self, record: HostRecord, account: str) -> None:
        asked_at = self._node.now()
        ask = LoanAsk(account=account, loan_id=uuid.uuid4().hex)
        try:
            reply = await self._links.request(record, ask, LOAN_ASK_TIMEOUT_S)
        except PeerUnavailable:
            return
        bucket = self._bucket(account)
        if bucket is None or not isinstance(reply, LoanReply):
            return
        if reply.capacity > 0:
            loan = Loan(
                loan_id=reply.loan_id,
                rate_per_s=reply.rate_per_s,
                capacity=reply.capacity,
                level=reply.level,
                valid_s=reply.valid_s,
            )
            bucket.borrow(loan, asked_at, self._node.now())

    def _iter_owners(self, account: str):
        # The owner here comes first, and again if its answer came late;
        # others stand in while it is unknown or the account lives elsewhere.
        owner = self._node.host_buckets.owner(account)
        own = self._node.members.get(owner or '')
        lives_here = self._node.data_centre in self._split(account)
        if own and lives_here:
            yield own
            yield own
        near = self._remote_owners(account, near=True)
        yield from near
        if not near and not lives_here:
            yield from self._remote_owners(account, near=False)

    def _split(self, account: str) -> dict[str, AccountLimit]:
        return self._node.splits.get(account, {})

    def _remote_owners(self, account: str, *, near: bool) -> list[HostRecord]:
        split = self._split(account)
        owners = []
        for table in self._node.share_tables:
            hosts = [slot.host for slot in table.slots]
            elsewhere = table.data_centre != self._node.data_centre
            if table.data_centre not in split or not hosts or not elsewhere:
                continue
            if self._is_near(table.data_centre) is near:
                record = self._node.members.get(rank_hosts(account, hosts)[0])
                owners.extend([record] if record else [])
        return owners

    def _is_near(self, data_centre: str) -> bool:
        node = self._node
        here = node.catalogue.find(DataCentre, node.data_centre)
        there = node.catalogue.find(DataCentre, data_centre)
        return bool(here and there) and here.region == there.region
