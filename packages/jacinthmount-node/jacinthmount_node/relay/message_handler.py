"""Answers to the messages of other hosts, by message type."""

from functools import singledispatch

from jacinthmount.credit import CreditGrants, credit_of_host
from jacinthmount.errors import MalformedRecord, PeerUnavailable
from jacinthmount.fleet_config import AccountRule
from jacinthmount.ports import ObjectStore
from jacinthmount.rate_shares import (
    AccountPart,
    ShareAllocation,
    ShareReport,
)
from jacinthmount.records import Record

from jacinthmount_node.messages import Hello
from jacinthmount_node.relay.batch_runner import RelayBatchRunner
from jacinthmount_node.relay.fallback_store import answer_store_call
from jacinthmount_node.relay.messages import (
    BatchAdmission,
    CopyRead,
    CreditAsk,
    Forward,
    HostReport,
    HostReportReply,
    RunnerClaim,
    SegmentAsk,
    SegmentCount,
    SnapshotAsk,
    StoreFound,
    StoreRead,
    StoreWrite,
    TokenAsk,
    TokenGrant,
)
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('MessageHandler',)

PASS_ON_TIMEOUT_S = 0.2


class MessageHandler:
    """What this host does for others; runner parts are None elsewhere."""

    __slots__ = (
        'allocation',
        'credit',
        'reporter',
        'rooms',
        'runner',
        'runner_link',
        'state',
        'store',
        'sync',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        store: ObjectStore,
        sync: RelaySync,
        runner_link: RunnerLink,
        reporter: HostReporter,
        rooms: RunnerCapacity | None,
        runner: RelayBatchRunner | None,
    ) -> None:
        """Takes the tasks to hand messages to.

        :param store: the store as this host itself reaches it.
        """
        self.state = state
        self.store = store
        self.sync = sync
        self.runner_link = runner_link
        self.reporter = reporter
        self.rooms = rooms
        self.runner = runner
        self.allocation = ShareAllocation(slack=state.settings.rate_slack)
        self.credit = CreditGrants(
            slack=state.settings.rate_slack,
            window_s=state.settings.rate_window_s,
        )

    async def handle(self, body: Record, hello: Hello) -> Record | None:
        """Answers one message."""
        return await _answer(body, self)

    def may_allocate(self) -> bool:
        """Tells whether this host allocates rates.

        Only the active runner does, and only while it hears a majority. What
        it knew counts no more once that was not so.
        """
        allocates = (
            self.rooms is not None
            and self.state.leadership.active
            and self.rooms.reporting_hosts() * 2 >= len(self.state.hosts)
        )
        if not allocates:
            self.allocation.clear()
        return allocates

    def allocate(
        self,
        host: str,
        report: ShareReport,
    ) -> list[AccountPart]:
        """Allocates parts of rates to a host that reports its demand."""
        if not self.may_allocate() or not self.state.configured:
            return []
        self.allocation.keep_hosts(set(self.state.fronts()))
        if not self.allocation.on_report(host, report):
            return []
        return self.allocation.parts_of(
            host,
            report,
            self.state.config.bursts(),
        )

    async def place(self, asked: TokenAsk) -> str:
        """Chooses an endpoint for a request, from which batch gives way."""
        if self.rooms is None or self.runner is None or not asked.service:
            return ''
        endpoint_id = self.rooms.place(asked.host, asked.service)
        await self.runner.on_load_change()
        return endpoint_id

    def find_account(self, name: str) -> AccountRule | None:
        """Finds an account, or None before a configuration is known."""
        if not self.state.configured:
            return None
        return self.state.config.find_account(name)

    def grants_credit(self) -> bool:
        """Tells whether runners grant credit, as hosts can't by themselves."""
        fronts = len(self.state.fronts())
        if self.rooms is None or not fronts:
            return False
        return not credit_of_host(self.state.settings.rate_slack, fronts)


@singledispatch
async def _answer(body: Record, desk: MessageHandler) -> Record | None:
    raise MalformedRecord(detail=f'no answer to {type(body).__name__}')


@_answer.register
async def _(body: HostReport, desk: MessageHandler) -> Record | None:
    now = desk.state.now()
    leadership = desk.state.leadership
    if body.state is not None:
        leadership.on_state(body.state, now)
    leadership.on_active_reported(body.host, body.active, now)
    desk.state.add_leaving(body.leaving)
    reply = HostReportReply(
        state=leadership.state(),
        revisions=desk.sync.revisions() if desk.runner else {},
        leaving=desk.state.endpoints.announced_leaving(),
        views=None,
        parts=[],
    )
    if desk.rooms is None or desk.runner is None:
        return reply
    desk.rooms.record_report(body)
    if leadership.active and body.state is None:
        await desk.runner.on_load_change()
        reply.views = desk.rooms.views(body.host)
        if body.shares is not None:
            reply.parts = desk.allocate(body.host, body.shares)
    return reply


@_answer.register
async def _(body: SegmentAsk, desk: MessageHandler) -> Record | None:
    if desk.runner is None or not desk.state.leadership.active:
        return SegmentCount(count=None)
    return SegmentCount(count=desk.runner.open_segments().get(body.key))


@_answer.register
async def _(body: RunnerClaim, desk: MessageHandler) -> Record | None:
    await desk.reporter.take_claim(body)
    return body


@_answer.register
async def _(body: CopyRead, desk: MessageHandler) -> Record | None:
    stored = desk.runner.find_copy(body.name) if desk.runner else None
    return StoreFound(stored=stored)


@_answer.register(StoreRead)
@_answer.register(StoreWrite)
async def _(
    body: StoreRead | StoreWrite, desk: MessageHandler
) -> Record | None:
    return await answer_store_call(desk.store, body)


@_answer.register
async def _(body: Forward, desk: MessageHandler) -> Record | None:
    return await desk.runner_link.request_directly(body.body, PASS_ON_TIMEOUT_S)


@_answer.register
async def _(body: SnapshotAsk, desk: MessageHandler) -> Record | None:
    return desk.sync.make_snapshot(body)


@_answer.register
async def _(body: TokenAsk, desk: MessageHandler) -> Record | None:
    account = desk.find_account(body.account)
    if account is None or not desk.may_allocate():
        return TokenGrant(known=False, granted=0, wait_s=0, endpoint_id='')
    now = desk.state.now()
    granted = desk.allocation.grant(
        account.name,
        account.rate_per_s,
        account.burst,
        body.wanted,
        now,
    )
    return TokenGrant(
        known=True,
        granted=granted,
        wait_s=desk.allocation.wait_s(account.name, now),
        endpoint_id=await desk.place(body) if granted else '',
    )


@_answer.register
async def _(body: CreditAsk, desk: MessageHandler) -> Record | None:
    account = desk.find_account(body.account)
    granted = False
    if account is not None and desk.grants_credit():
        granted = desk.credit.grant(
            account.name,
            account.rate_per_s,
            account.burst,
            len(desk.state.runners()) + 1,
            desk.state.now(),
        )
    return TokenGrant(
        known=granted,
        granted=int(granted),
        wait_s=0,
        endpoint_id='',
    )


@_answer.register
async def _(body: BatchAdmission, desk: MessageHandler) -> Record | None:
    runner = desk.runner
    active = desk.state.leadership.active
    if runner is None or not active or not runner.has_all_manifests:
        raise PeerUnavailable(detail='not the active runner')
    return runner.admit(body)
