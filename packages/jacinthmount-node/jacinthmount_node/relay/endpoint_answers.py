"""Heads of answers of endpoints: whose they are, and the connection's use."""

from jacinthmount.errors import EndpointFailed

from jacinthmount_node.net.http_client import Exchange
from jacinthmount_node.relay.protocols import EndpointAnswer, EndpointProtocol

__all__ = ('idle_limit', 'parse_own')

IDLE_PART = 0.5
IDLE_UNKNOWN_S = 1.0


def parse_own(
    protocol: EndpointProtocol,
    request_id: str,
    exchange: Exchange,
) -> EndpointAnswer:
    """Parses the head of the answer to a request.

    :raises EndpointFailed: it answers another request.
    """
    answer = protocol.parse_answer(
        request_id,
        exchange.status,
        exchange.headers,
    )
    if not answer.own:
        raise EndpointFailed(detail='answer to another request')
    return answer


def idle_limit(answer: EndpointAnswer) -> float:
    """Tells how long a connection may stay idle and be used again."""
    if answer.idle_s is None:
        return IDLE_UNKNOWN_S
    return answer.idle_s * IDLE_PART
