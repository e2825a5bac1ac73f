"""Answers of model engines, relayed to callers."""

from http import HTTPStatus

from jacinthmount.errors import OtherVersion
from jacinthmount.ports import BackendCall, BackendExchange, StreamEvent
from jacinthmount.routing import EndpointState

from jacinthmount_node.callers.gate import OnlineCall
from jacinthmount_node.engines.backends import REQUEST_ID
from jacinthmount_node.net.http_messages import Responder
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.node import Node

__all__ = ('AnswerRelay', 'RequestProgress')

# Longest time between two events of an answer stream.
STREAM_EVENT_TIMEOUT_S = 10.0
LANE = 'online'
FORWARDED_HEADERS = ('content-type',)
SSE_HEADERS = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-store'),
)


class RequestProgress:
    """Attempts of one request and how much of its answer was relayed.

    ``offset`` counts the characters relayed, from which a stream resumes.
    ``reserved`` is the endpoint of the next attempt, if a slot was taken there
    before the last one was given up.
    """

    __slots__ = (
        'attempts',
        'last_token_at',
        'may_have_run',
        'offset',
        'reserved',
        'tried',
        'version',
    )

    def __init__(self, *, now: float) -> None:
        self.offset = 0
        self.attempts = 0
        self.may_have_run = False
        self.last_token_at = now
        self.reserved: EndpointState | None = None
        self.tried: set[str] = set()
        # Software version of the engine that began the answer.
        self.version = ''


class AnswerRelay:
    """Sends requests to engines and relays their answers."""

    __slots__ = ('_node', '_versions')

    def __init__(self, *, node: Node) -> None:
        self._node = node
        # Software version that each engine named last, by its name.
        self._versions: dict[str, str] = {}

    def list_other_versions(self, names: list[str], version: str) -> list[str]:
        """Lists the engines that are not known to have a version."""
        return [name for name in names if self._versions.get(name) != version]

    async def relay(
        self,
        call: OnlineCall,
        state: EndpointState,
        exchange: BackendExchange,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        """Sends a request and relays its answer.

        :raises OtherVersion: the engine can't go on with the answer.
        :raises EndpointFailed: the answer is not complete.
        """
        await exchange.send(
            BackendCall(
                method='POST',
                target=call.path,
                headers=[],
                body=call.body,
                request_id=call.request_id,
                account=call.account,
                offset=progress.offset,
            ),
        )
        self._versions[state.endpoint.name] = exchange.version
        if progress.offset and exchange.version != progress.version:
            raise OtherVersion(detail=f'engine has {exchange.version}')
        progress.version = exchange.version
        if call.stream and exchange.status < HTTPStatus.MULTIPLE_CHOICES:
            await self._relay_stream(call, exchange, responder, progress)
            return
        answer = await exchange.read_body()
        self._record_first_token(call, progress)
        headers = [
            (name, exchange.headers[name])
            for name in FORWARDED_HEADERS
            if name in exchange.headers
        ]
        headers.append((REQUEST_ID, call.request_id))
        await responder.send(exchange.status, answer, headers)

    async def _relay_stream(
        self,
        call: OnlineCall,
        exchange: BackendExchange,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        events = exchange.iter_events()
        while True:
            event = await with_timeout(
                STREAM_EVENT_TIMEOUT_S,
                _next_event,
                events,
            )
            if event is None:
                break
            await self._relay_event(call, event, responder, progress)
        await responder.finish(b'data: [DONE]\n\n')

    async def _relay_event(
        self,
        call: OnlineCall,
        event: StreamEvent,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        packed = f'data: {event.payload}\n\n'.encode()
        if responder.started:
            await responder.write(packed)
        else:
            headers = [*SSE_HEADERS, (REQUEST_ID, call.request_id)]
            await responder.start(HTTPStatus.OK, headers, packed)
            self._record_first_token(call, progress)
        progress.offset += len(event.text)
        self._record_token_gap(progress)

    def _record_first_token(
        self,
        call: OnlineCall,
        progress: RequestProgress,
    ) -> None:
        now = self._node.now()
        metric = self._node.metrics.first_token_s
        metric.labels(call.account, LANE).observe(now - call.arrived_at)
        progress.last_token_at = now

    def _record_token_gap(self, progress: RequestProgress) -> None:
        now = self._node.now()
        metric = self._node.metrics.token_gap_s
        metric.labels(LANE).observe(now - progress.last_token_at)
        progress.last_token_at = now


async def _next_event(events):
    return await anext(events, None)
