"""What follows an attempt at a request that has failed, for all services."""

from jacinthmount.dispatch import Stage
from jacinthmount.ports import BackendExchange
from jacinthmount.routing import EndpointState

from jacinthmount_node.callers.gate import OnlineCall
from jacinthmount_node.callers.plain_calls import PlainCall
from jacinthmount_node.engines.crash_watch import CrashWatch, InFlight
from jacinthmount_node.node import Node

__all__ = ('close_exchange', 'end_failed_attempt')


async def end_failed_attempt(
    node: Node,
    crashes: CrashWatch,
    call: OnlineCall | PlainCall,
    state: EndpointState,
    exchange: BackendExchange | None,
    started_at: float,
) -> Stage:
    """Closes a failed attempt and records what it shows of its endpoint.

    :param exchange: None if no connection was made.
    :param started_at: start of the attempt, in monotonic seconds.
    :returns: the stage that it has reached.
    """
    now = node.now()
    if now >= call.deadline:
        node.stop.note_run(call.service, now - started_at)
    if exchange is None:
        return Stage.CONNECTING
    await exchange.close()
    if exchange.stage >= Stage.SENT:
        call.runs += 1
        await crashes.on_lost(
            InFlight(
                endpoint=state.endpoint,
                request_id=call.request_id,
                suspect=call.suspect,
                sent_at=started_at,
            )
        )
    return exchange.stage


async def close_exchange(exchange: BackendExchange | None) -> None:
    """Closes the exchange of an attempt, if there is one."""
    if exchange is not None:
        await exchange.close()
