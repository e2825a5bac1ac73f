"""Rate limits: tokens from the host that owns the account's bucket."""

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

LOAN_REQUEST_TIMEOUT_S = 1.0
# Time without further requests after all buckets of the region were empty.
REGION_EMPTY_PAUSE_S = 0.05
LOAN_REQUEST_PAUSE_S = 0.25
# Fraction of a bucket's rate, capacity and level that one loan takes.
LEND_FRACTION = 0.5
# Only buckets filled to at least this fraction lend.
LEND_MIN_LEVEL = 0.5
SHARE_RETRY_AFTER_S = 2.0
# Their sum is about SHARE_RETRY_AFTER_S, the delay that a refused caller gets.
OWNER_RETRY_PAUSES_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.4, 0.5)


class Admission:
    """Admits requests and serves token and loan requests of other hosts."""

    __slots__ = (
        '_links',
        '_loan_requested_at',
        '_node',
        '_region_empty_at',
    )

    def __init__(self, *, node: Node, links: PeerLinks) -> None:
        self._node = node
        self._links = links
        self._loan_requested_at: dict[str, float] = {}
        self._region_empty_at: dict[str, float] = {}

    async def admit(self, account: str) -> None:
        """Takes one token from an account's bucket or refuses the request.

        :raises RateExceeded: the account exceeds its rate and burst.
        :raises ShareUnconfirmed: no owner of a bucket replied in time.
        """
        for pause_s in OWNER_RETRY_PAUSES_S:
            reply = await self._request_from_owners(account)
            if reply is not None:
                break
            # A handover completes within moments, and an owner on a busy host
            # replies in time again.
            await curio.sleep(pause_s)
        else:
            raise ShareUnconfirmed(
                detail=f'no owner replied for the share of account {account}',
                retry_after_s=SHARE_RETRY_AFTER_S,
            )
        if not reply.granted:
            raise RateExceeded(
                detail=f'account {account} exceeds its rate',
                retry_after_s=reply.retry_after_s,
            )

    async def on_take(self, take: Take) -> TakeReply:
        """Takes tokens from the local bucket or from one in the region."""
        bucket = self._bucket(take.account)
        if bucket is None:
            return TakeReply(granted=False, owned=False, retry_after_s=0)
        now = self._node.now()
        granted = bucket.take(take.tokens, now)
        wait_s = bucket.wait_s(take.tokens, now)
        if not granted and not take.forwarded:
            granted = await self._take_in_region(take.account, now)
            await self._borrow(take.account, now)
        return TakeReply(granted=granted, owned=True, retry_after_s=wait_s)

    def on_loan_request(self, loan_request: LoanAsk) -> LoanReply:
        """Lends a part of the local bucket if most of it is unused."""
        bucket = self._bucket(loan_request.account)
        now = self._node.now()
        loan = None
        if bucket is not None:
            unused = bucket.own_level(now)
            if unused >= LEND_MIN_LEVEL * bucket.own_capacity():
                loan = bucket.lend(loan_request.loan_id, LEND_FRACTION, now)
        if loan is None:
            return LoanReply(
                loan_id=loan_request.loan_id,
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

    async def _request_from_owners(self, account: str) -> TakeReply | None:
        for record in self._iter_owners(account):
            sent_at = self._node.now()
            reply = await self._request(record, account)
            late = self._node.now() - sent_at >= TAKE_VALID_S
            if reply is not None and reply.owned and not late:
                return reply
        return None

    def _bucket(self, account: str):
        if not self._node.confirmed():
            return None
        return self._node.host_buckets.bucket(account, self._node.now())

    async def _request(
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

    async def _take_in_region(self, account: str, now: float) -> bool:
        if (
            now - self._region_empty_at.get(account, -REGION_EMPTY_PAUSE_S)
            < REGION_EMPTY_PAUSE_S
        ):
            return False
        for record in self._remote_owners(account, same_region=True):
            reply = await self._request(record, account, forwarded=True)
            if reply is not None and reply.granted:
                return True
        # No bucket of the region has a token, so an immediate retry would only
        # cost messages.
        self._region_empty_at[account] = now
        return False

    async def _borrow(self, account: str, now: float) -> None:
        # Owners in other regions reply too late for this request; their loans
        # serve later ones.
        if (
            now - self._loan_requested_at.get(account, -LOAN_REQUEST_PAUSE_S)
            < LOAN_REQUEST_PAUSE_S
        ):
            return
        self._loan_requested_at[account] = now
        for record in self._remote_owners(account, same_region=False):
            await curio.spawn(self._request_loan, record, account, daemon=True)

    async def _request_loan(self, record: HostRecord, account: str) -> None:
        sent_at = self._node.now()
        loan_request = LoanAsk(account=account, loan_id=uuid.uuid4().hex)
        try:
            reply = await self._links.request(
                record, loan_request, LOAN_REQUEST_TIMEOUT_S
            )
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
            bucket.borrow(loan, sent_at, self._node.now())

    def _iter_owners(self, account: str):
        # The owner in this data centre is tried first, and again if its reply
        # was late. Owners in other data centres follow for accounts without a
        # known owner or without a limit here.
        owner = self._node.host_buckets.owner(account)
        owner_record = self._node.members.get(owner or '')
        has_local_limit = self._node.data_centre in self._limits_of(account)
        if owner_record and has_local_limit:
            yield owner_record
            yield owner_record
        in_region = self._remote_owners(account, same_region=True)
        yield from in_region
        if not in_region and not has_local_limit:
            yield from self._remote_owners(account, same_region=False)

    def _limits_of(self, account: str) -> dict[str, AccountLimit]:
        return self._node.splits.get(account, {})

    def _remote_owners(
        self,
        account: str,
        *,
        same_region: bool,
    ) -> list[HostRecord]:
        limits = self._limits_of(account)
        owners = []
        for table in self._node.share_tables:
            hosts = [slot.host for slot in table.slots]
            elsewhere = table.data_centre != self._node.data_centre
            if table.data_centre not in limits or not hosts or not elsewhere:
                continue
            if self._is_same_region(table.data_centre) is same_region:
                record = self._node.members.get(rank_hosts(account, hosts)[0])
                owners.extend([record] if record else [])
        return owners

    def _is_same_region(self, data_centre: str) -> bool:
        node = self._node
        local = node.catalogue.find(DataCentre, node.data_centre)
        remote = node.catalogue.find(DataCentre, data_centre)
        return bool(local and remote) and local.region == remote.region
