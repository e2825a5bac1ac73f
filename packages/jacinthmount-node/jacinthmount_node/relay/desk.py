"""Answers to the messages of other hosts, by message type."""

from functools import singledispatch

from jacinthmount.credits import GrantBook
from jacinthmount.errors import MalformedRecord, PeerUnavailable
from jacinthmount.records import Record

from jacinthmount_node.messages import Hello
from jacinthmount_node.relay.batch_runner import RelayBatchRunner
from jacinthmount_node.relay.messages import (
    BatchAdmission,
    HostReport,
    HostReportReply,
    SnapshotAsk,
    TokenAsk,
    TokenGrant,
)
from jacinthmount_node.relay.runner_rooms import RunnerRooms
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('RelayDesk',)


class RelayDesk:
    """What this host does for others; runner parts are None elsewhere."""

    __slots__ = ('grants', 'rooms', 'runner', 'state', 'sync')

    def __init__(
        self,
        *,
        state: RelayState,
        sync: RelaySync,
        rooms: RunnerRooms | None,
        runner: RelayBatchRunner | None,
    ) -> None:
        """Takes the tasks to hand messages to."""
        self.state = state
        self.sync = sync
        self.rooms = rooms
        self.runner = runner
        self.grants = GrantBook()

    async def handle(self, body: Record, hello: Hello) -> Record | None:
        """Answers one message."""
        return await _answer(body, self)

    def may_grant(self) -> bool:
        """Tells whether this host grants tokens.

        Only the active runner does, and only while it hears a majority.
        """
        if self.rooms is None or not self.state.leadership.active:
            return False
        return self.rooms.heard_hosts() * 2 >= len(self.state.hosts)


@singledispatch
async def _answer(body: Record, desk: RelayDesk) -> Record | None:
    raise MalformedRecord(detail=f'no answer to {type(body).__name__}')


@_answer.register
async def _(body: HostReport, desk: RelayDesk) -> Record | None:
    now = desk.state.now()
    if body.state is not None:
        desk.state.leadership.on_state(body.state, now)
    views = []
    if desk.rooms is not None and desk.runner is not None:
        desk.rooms.take_report(body)
        await desk.runner.on_load_change()
        if desk.state.leadership.active:
            views = desk.rooms.views(body.host)
    return HostReportReply(
        state=desk.state.leadership.state(),
        config_revision=desk.state.config_revision,
        views=views,
    )


@_answer.register
async def _(body: SnapshotAsk, desk: RelayDesk) -> Record | None:
    return desk.sync.make_snapshot()


@_answer.register
async def _(body: TokenAsk, desk: RelayDesk) -> Record | None:
    account = None
    if desk.may_grant() and desk.state.configured:
        account = desk.state.config.find_account(body.account)
    if account is None:
        return TokenGrant(granted=0, wait_s=0.5)
    now = desk.state.now()
    granted = desk.grants.grant(
        account.name,
        account.rate_per_s,
        account.burst,
        body.wanted,
        now,
    )
    return TokenGrant(
        granted=granted,
        wait_s=desk.grants.wait_s(account.name, now),
    )


@_answer.register
async def _(body: BatchAdmission, desk: RelayDesk) -> Record | None:
    runner = desk.runner
    active = desk.state.leadership.active
    if runner is None or not active or not runner.knows_batches:
        raise PeerUnavailable(detail='not the active runner')
    return runner.admit(body)
