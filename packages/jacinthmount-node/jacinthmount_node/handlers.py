"""Handlers for messages from other hosts, by message type."""

from functools import singledispatch

from jacinthmount.errors import MalformedRecord
from jacinthmount.records import Record

from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.engines.crash_watch import CrashWatch
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
    Strikes,
    Take,
    Withdraw,
)

__all__ = ('PeerHandlers', 'handle_message')


class PeerHandlers:
    """Components of a node that handle messages from other hosts."""

    __slots__ = ('admission', 'crashes', 'rooms', 'shares', 'sync')

    def __init__(
        self,
        *,
        sync: ConfigSync,
        shares: ShareTask,
        admission: Admission,
        rooms: EngineCapacity,
        crashes: CrashWatch,
    ) -> None:
        self.sync = sync
        self.shares = shares
        self.admission = admission
        self.rooms = rooms
        self.crashes = crashes

    async def handle(self, message: Record, hello: Hello) -> Record | None:
        """Handles one message and returns the reply."""
        return await handle_message(message, self)


@singledispatch
async def handle_message(
    message: Record,
    handlers: PeerHandlers,
) -> Record | None:
    """Handles a message and returns the reply.

    :raises MalformedRecord: the type is not a request between hosts.
    """
    raise MalformedRecord(detail=type(message).__name__)


@handle_message.register
async def _on_ping(message: Ping, handlers: PeerHandlers) -> Record | None:
    return handlers.shares.on_ping(message)


@handle_message.register
async def _on_push(message: Push, handlers: PeerHandlers) -> Record | None:
    await handlers.sync.apply_objects(message.objects, push=False)
    return Ack()


@handle_message.register
async def _on_digest(message: Digest, handlers: PeerHandlers) -> Record | None:
    return handlers.sync.answer_digest(message)


@handle_message.register
async def _on_fetch(message: Fetch, handlers: PeerHandlers) -> Record | None:
    return handlers.sync.answer_fetch(message)


@handle_message.register
async def _on_withdraw(
    message: Withdraw,
    handlers: PeerHandlers,
) -> Record | None:
    await handlers.sync.withdraw(message.key_ids)
    return Ack()


@handle_message.register
async def _on_take(message: Take, handlers: PeerHandlers) -> Record | None:
    return await handlers.admission.on_take(message)


@handle_message.register
async def _on_loan_ask(
    message: LoanAsk,
    handlers: PeerHandlers,
) -> Record | None:
    return handlers.admission.on_loan_request(message)


@handle_message.register
async def _on_give(message: Give, handlers: PeerHandlers) -> Record | None:
    handlers.shares.on_give(message.handover)
    return Ack()


@handle_message.register
async def _on_report(
    message: EngineReport,
    handlers: PeerHandlers,
) -> Record | None:
    return await handlers.rooms.on_report(message)


@handle_message.register
async def _on_closed(
    message: EngineClosed,
    handlers: PeerHandlers,
) -> Record | None:
    await handlers.rooms.on_closed(message)
    return Ack()


@handle_message.register
async def _on_silent(
    message: EngineSilent,
    handlers: PeerHandlers,
) -> Record | None:
    handlers.rooms.on_silent(message)
    return Ack()


@handle_message.register
async def _on_strikes(
    message: Strikes,
    handlers: PeerHandlers,
) -> Record | None:
    return await handlers.crashes.on_strikes(message)
