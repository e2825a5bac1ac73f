"""Answers of endpoints: whose they are, their events, the connection's use."""

from jacinthmount.errors import EndlessAnswer, EndpointFailed
from jacinthmount.event_stream import EventChecker, ServerEvent

from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.http_client import Exchange
from jacinthmount_node.relay.protocols import EndpointProtocol, EndpointResponse

__all__ = ('count_endless', 'idle_limit', 'iter_events', 'parse_response_head')

IDLE_PART = 0.5
IDLE_UNKNOWN_S = 1.0


def parse_response_head(
    protocol: EndpointProtocol,
    request_id: str,
    exchange: Exchange,
) -> EndpointResponse:
    """Parses the head of the answer to a request.

    :raises EndpointFailed: it answers another request.
    """
    answer = protocol.parse_response(
        request_id,
        exchange.status,
        exchange.headers,
    )
    if not answer.own:
        raise EndpointFailed(detail='answer to another request')
    return answer


def idle_limit(answer: EndpointResponse) -> float:
    """Tells how long a connection may stay idle and be used again."""
    if answer.idle_s is None:
        return IDLE_UNKNOWN_S
    return answer.idle_s * IDLE_PART


async def iter_events(exchange: Exchange, checker: EventChecker):
    """Yields the events that each received piece completes, maybe none.

    :returns: an iterator over lists of events.
    :raises EndpointFailed: the stream is not whole, or out of order.
    """
    async for received in exchange.iter_body():
        events: list[ServerEvent] = checker.feed(received)
        exchange.track_event_bytes(checker.pending_bytes)
        yield events
    if not checker.is_between_events:
        raise EndpointFailed(detail='stream ended inside an event')


def count_endless(metrics: Metrics, exc: BaseException) -> None:
    """Counts a failed attempt if the endpoint sent without end."""
    if isinstance(exc, EndlessAnswer):
        metrics.endless_answers.labels(exc.kind.value).inc()
