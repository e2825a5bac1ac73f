"""Answers to the messages of other hosts, by message type."""

from functools import singledispatch

from jacinthmount.errors import MalformedRecord
from jacinthmount.records import Record

from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.members.share_task import ShareTask
from jacinthmount_node.messages import (
    Ack,
    Digest,
    EngineClosed,
    EngineReport,
    EngineSilent,
    Fetch,
    Give,
    Hello,
    LoanAsk,
    Ping,
    Push,
    Take,
    Withdraw,
)

__all__ = ('PeerDesk', 'answer')


class PeerDesk:
    """The parts of a node that answer other hosts."""

    __slots__ = ('admission', 'rooms', 'shares', 'sync')

    def __init__(
        self,
        *,
        sync: ConfigSync,
        shares: ShareTask,
        admission: Admission,
        rooms: EngineCapacity,
    ) -> None:
        """Takes the parts."""
        self.sync = sync
        self.shares = shares
        self.admission = admission
        self.rooms = rooms

    async def handle(self, message: Record, hello: Hello) -> Record | None:
        """Answers one message."""
        return await answer(message, self)


@singledispatch
async def answer(message: Record, desk: PeerDesk) -> Record | None:
    """Answers a message.

    :raises MalformedRecord: hosts don't ask with this type.
    """
    raise MalformedRecord(detail=type(message).__name__)


@answer.register
async def _answer_ping(message: Ping, desk: PeerDesk) -> Record | None:
    return desk.shares.on_ping(message)


@answer.register
async def _answer_push(message: Push, desk: PeerDesk) -> Record | None:
    await desk.sync.apply_objects(message.objects, push=False)
    return Ack()


@answer.register
async def _answer_digest(message: Digest, desk: PeerDesk) -> Record | None:
    return desk.sync.answer_digest(message)


@answer.register
async def _answer_fetch(message: Fetch, desk: PeerDesk) -> Record | None:
    return desk.sync.answer_fetch(message)


@answer.register
async def _answer_withdraw(message: Withdraw, desk: PeerDesk) -> Record | None:
    await desk.sync.withdraw(message.key_ids)
    return Ack()


@answer.register
async def _answer_take(message: Take, desk: PeerDesk) -> Record | None:
    return await desk.admission.on_take(message)


@answer.register
async def _answer_loan(message: LoanAsk, desk: PeerDesk) -> Record | None:
    return desk.admission.on_loan_ask(message)


@answer.register
async def _answer_give(message: Give, desk: PeerDesk) -> Record | None:
    desk.shares.on_give(message.handover)
    return Ack()


@answer.register
async def _answer_report(
    message: EngineReport,
    desk: PeerDesk,
) -> Record | None:
    return await desk.rooms.on_report(message)


@answer.register
async def _answer_closed(
    message: EngineClosed,
    desk: PeerDesk,
) -> Record | None:
    await desk.rooms.on_closed(message)
    return Ack()


@answer.register
async def _answer_silent(
    message: EngineSilent,
    desk: PeerDesk,
) -> Record | None:
    desk.rooms.on_silent(message)
    return Ack()
