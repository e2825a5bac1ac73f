"""Handling of messages from other hosts, dispatched on the message type."""

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
from jacinthmount_node.relay.crash_evidence import CrashNews
from jacinthmount_node.relay.endpoint_limits import LimitNews
from jacinthmount_node.relay.endpoint_notices import EndpointNotices
from jacinthmount_node.relay.fallback_store import (
    answer_copy_read,
    answer_store_call,
)
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
    StoreFailed,
    StoreFound,
    StoreRead,
    StoreWrite,
    TokenAsk,
    TokenGrant,
)
from jacinthmount_node.relay.new_messages import (
    FrontAddress,
    FrontAsk,
    StreamAsk,
    StreamNews,
)
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('MessageHandler',)

FORWARD_TIMEOUT_S = 0.2


class MessageHandler:
    """Handles peer messages; ``rooms`` and ``runner`` are None on fronts."""

    __slots__ = (
        'allocation',
        'credit',
        'notices',
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
        notices: EndpointNotices,
        rooms: RunnerCapacity | None,
        runner: RelayBatchRunner | None,
    ) -> None:
        """Takes the components that handle messages.

        :param store: direct access to the store, without fallback to peers.
        """
        self.state = state
        self.store = store
        self.sync = sync
        self.runner_link = runner_link
        self.reporter = reporter
        self.notices = notices
        self.rooms = rooms
        self.runner = runner
        self.allocation = ShareAllocation(slack=state.settings.rate_slack)
        self.credit = CreditGrants(
            slack=state.settings.rate_slack,
            window_s=state.settings.rate_window_s,
        )

    async def handle(self, body: Record, hello: Hello) -> Record | None:
        """Handles one message and returns the reply."""
        return await _answer(body, self)

    def may_allocate(self) -> bool:
        """Checks whether this host allocates rates.

        Only the active runner does, and only while a majority of hosts reports
        to it. Otherwise earlier allocations become invalid and are dropped.
        """
        is_allocator = (
            self.rooms is not None
            and self.state.leadership.active
            and self.rooms.reporting_hosts() * 2 >= len(self.state.hosts)
        )
        if not is_allocator:
            self.allocation.clear()
        return is_allocator

    def allocate(
        self,
        host: str,
        report: ShareReport,
    ) -> list[AccountPart]:
        """Allocates parts of account rates to a host reporting its demand."""
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

    async def choose_endpoint(self, request: TokenAsk) -> str:
        """Chooses an endpoint and preempts batch items there for a request.

        :returns: the id of the endpoint, or empty if none has capacity.
        """
        if self.rooms is None or self.runner is None or not request.service:
            return ''
        endpoint_id = self.rooms.place(request.host, request.service)
        await self.runner.on_load_change()
        return endpoint_id

    def find_account(self, name: str) -> AccountRule | None:
        """Finds an account; None if it is unknown or nothing is configured."""
        if not self.state.configured:
            return None
        return self.state.config.find_account(name)

    def grants_credit(self) -> bool:
        """Checks whether runners grant credit, as fronts can't on their own."""
        fronts = len(self.state.fronts())
        if self.rooms is None or not fronts:
            return False
        return not credit_of_host(self.state.settings.rate_slack, fronts)


@singledispatch
async def _answer(body: Record, handler: MessageHandler) -> Record | None:
    raise MalformedRecord(detail=f'no handler for {type(body).__name__}')


@_answer.register
async def _(body: HostReport, handler: MessageHandler) -> Record | None:
    now = handler.state.now()
    leadership = handler.state.leadership
    if body.state is not None:
        leadership.on_state(body.state, now)
    leadership.on_active_reported(body.host, body.active, now)
    handler.state.add_leaving(body.leaving)
    reply = HostReportReply(
        state=leadership.state(),
        revisions=handler.sync.runner_revisions() if handler.runner else {},
        leaving=handler.state.endpoints.announced_leaving(),
        views=None,
        parts=[],
    )
    if handler.rooms is None or handler.runner is None:
        return reply
    handler.rooms.record_report(body)
    if leadership.active and body.state is None:
        await handler.runner.on_load_change()
        reply.views = handler.rooms.views(body.host)
        if body.shares is not None:
            reply.parts = handler.allocate(body.host, body.shares)
    return reply


@_answer.register
async def _(body: SegmentAsk, handler: MessageHandler) -> Record | None:
    if handler.runner is None or not handler.state.leadership.active:
        return SegmentCount(count=None)
    return SegmentCount(count=handler.runner.open_segments().get(body.key))


@_answer.register
async def _(body: RunnerClaim, handler: MessageHandler) -> Record | None:
    await handler.reporter.on_claim(body)
    return body


@_answer.register
async def _(body: CopyRead, handler: MessageHandler) -> Record | None:
    if handler.runner is None:
        return StoreFound(stored=None)
    stored = handler.runner.find_copy(body.name)
    if stored is None:
        return await answer_copy_read(handler.state.store, body)
    return StoreFound(stored=stored)


@_answer.register(StoreRead)
@_answer.register(StoreWrite)
async def _(
    body: StoreRead | StoreWrite, handler: MessageHandler
) -> Record | None:
    if handler.sync.in_outage:
        return StoreFailed(refused=True)
    return await answer_store_call(handler.store, body)


@_answer.register
async def _(body: Forward, handler: MessageHandler) -> Record | None:
    return await handler.runner_link.request_directly(
        body.body, FORWARD_TIMEOUT_S
    )


@_answer.register
async def _(body: SnapshotAsk, handler: MessageHandler) -> Record | None:
    return handler.sync.make_snapshot(body)


@_answer.register
async def _(body: TokenAsk, handler: MessageHandler) -> Record | None:
    account = handler.find_account(body.account)
    if account is None or not handler.may_allocate():
        return TokenGrant(known=False, granted=0, wait_s=0, endpoint_id='')
    now = handler.state.now()
    granted = handler.allocation.grant(
        account.name,
        account.rate_per_s,
        account.burst,
        body.wanted,
        now,
    )
    return TokenGrant(
        known=True,
        granted=granted,
        wait_s=handler.allocation.wait_s(account.name, now),
        endpoint_id=(
            await handler.choose_endpoint(body)
            if granted or not body.wanted
            else ''
        ),
    )


@_answer.register
async def _(body: CrashNews, handler: MessageHandler) -> Record | None:
    return await handler.notices.crashes.on_news(body)


@_answer.register
async def _(body: LimitNews, handler: MessageHandler) -> Record | None:
    return handler.notices.limits.on_news(body)


@_answer.register
async def _(body: FrontAsk, handler: MessageHandler) -> Record | None:
    return FrontAddress(address=handler.state.settings.front_listen)


@_answer.register
async def _(body: StreamNews, handler: MessageHandler) -> Record | None:
    return handler.notices.streams.on_news(body)


@_answer.register
async def _(body: StreamAsk, handler: MessageHandler) -> Record | None:
    return await handler.notices.streams.on_ask(body)


@_answer.register
async def _(body: CreditAsk, handler: MessageHandler) -> Record | None:
    account = handler.find_account(body.account)
    granted = False
    if account is not None and handler.grants_credit():
        granted = handler.credit.grant(
            account.name,
            account.rate_per_s,
            account.burst,
            len(handler.state.runners()) + 1,
            handler.state.now(),
        )
    return TokenGrant(
        known=granted,
        granted=int(granted),
        wait_s=0,
        endpoint_id='',
    )


@_answer.register
async def _(body: BatchAdmission, handler: MessageHandler) -> Record | None:
    runner = handler.runner
    active = handler.state.leadership.active
    if runner is None or not active or not runner.has_all_manifests:
        raise PeerUnavailable(detail='not the active runner')
    return runner.admit(body)
