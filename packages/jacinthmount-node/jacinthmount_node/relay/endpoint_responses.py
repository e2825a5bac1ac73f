"""Response heads, event streams and connection reuse of endpoints."""

from http import HTTPStatus

from jacinthmount.errors import EndlessAnswer, EndpointFailed
from jacinthmount.event_stream import EventChecker, ServerEvent

from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.http_client import Exchange
from jacinthmount_node.relay.protocols import EndpointProtocol, EndpointResponse

__all__ = ('count_endless', 'idle_limit', 'iter_events', 'read_response_head')

# Part of the announced idle time after which a connection is not used again.
IDLE_FRACTION = 0.5
DEFAULT_IDLE_S = 1.0


async def read_response_head(
    protocol: EndpointProtocol,
    request_id: str,
    exchange: Exchange,
) -> EndpointResponse:
    """Reads the head of the response to a request.

    Late extra responses to earlier requests of the connection are skipped.

    :raises EndpointFailed: the response belongs to another request.
    """
    while True:
        await exchange.read_head(framed=False)
        answer = protocol.parse_response(
            request_id,
            exchange.status,
            exchange.headers,
        )
        if answer.own:
            return answer
        await exchange.skip_answer(answer.request_id)


def idle_limit(answer: EndpointResponse) -> float:
    """Returns for how many seconds an idle connection may be used again."""
    if not answer.request_id:
        # An extra response without an id could not be told from others.
        return 0.0
    if answer.idle_s is None:
        return DEFAULT_IDLE_S
    return answer.idle_s * IDLE_FRACTION


async def iter_events(exchange: Exchange, checker: EventChecker):
    """Yields the events that each received chunk completes, possibly none.

    :returns: an iterator over lists of events.
    :raises EndpointFailed: the stream is incomplete or out of order, or its
        status is not that of a whole answer.
    """
    if exchange.status != HTTPStatus.OK:
        raise EndpointFailed(detail=f'stream with status {exchange.status}')
    has_events = False
    async for received in exchange.iter_body():
        events: list[ServerEvent] = checker.feed(received)
        has_events = has_events or bool(events)
        exchange.track_event_bytes(checker.pending_bytes)
        yield events
    if not checker.is_between_events:
        raise EndpointFailed(detail='stream ended inside an event')
    if not exchange.framed and not has_events:
        # An endpoint that crashes may end its answer in the same way.
        raise EndpointFailed(detail='stream without framing has no event')


def count_endless(metrics: Metrics, exc: BaseException) -> None:
    """Counts a failed attempt if the response exceeded a limit."""
    if isinstance(exc, EndlessAnswer):
        metrics.endless_answers.labels(exc.kind.value).inc()
