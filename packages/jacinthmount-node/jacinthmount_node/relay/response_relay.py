"""Relay of one attempt: the complete response of an endpoint, or an error."""

import math
from collections.abc import Coroutine
from http import HTTPStatus

from jacinthmount.errors import EndpointFailed
from jacinthmount.event_stream import EventChecker
from jacinthmount.placement import EndpointUse

from jacinthmount_node.net.http_client import Exchange
from jacinthmount_node.net.http_messages import Responder
from jacinthmount_node.relay.endpoint_notices import EndpointNotices
from jacinthmount_node.relay.endpoint_responses import (
    idle_limit,
    iter_events,
    read_response_head,
)
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.protocols import (
    EndpointProtocol,
    EndpointRequest,
    EndpointResponse,
)
from jacinthmount_node.relay.state import RelayState

__all__ = ('LANE', 'NOT_RUN_STATUSES', 'ResponseRelay', 'AttemptRefused')

LANE = 'online'
# Statuses that tell callers that the request was not run. They are passed on
# only with the endpoint's explicit guarantee of that.
NOT_RUN_STATUSES = frozenset((
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


def _shows_soundness(status: int) -> bool:
    """Returns whether the endpoint dealt with the request itself."""
    is_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return not is_error and status not in NOT_RUN_STATUSES


class AttemptRefused(Exception):
    """The endpoint reported that it did not run the request.

    ``misdirected`` is true if another endpoint now has the address.
    """

    def __init__(self, *, misdirected: bool) -> None:
        super().__init__()
        self.misdirected = misdirected


class ResponseRelay:
    """Relays responses of endpoints to callers as they arrive."""

    __slots__ = ('_notices', '_protocol', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        protocol: EndpointProtocol,
        notices: EndpointNotices,
    ) -> None:
        self._state = state
        self._notices = notices
        self._protocol = protocol

    async def relay(
        self,
        call: OnlineCall,
        use: EndpointUse,
        exchange: Exchange,
        responder: Responder,
    ) -> float:
        """Sends a request and passes the response on to the caller.

        :returns: seconds for which the connection may stay idle.
        :raises AttemptRefused: the endpoint did not run the request.
        :raises EndpointFailed: the response is incomplete, unsigned, or belongs
            to another request.
        """
        call.attempts += 1
        call.events = 0
        call.progressed = False
        request = EndpointRequest(
            request_id=call.request.request_id,
            endpoint_id=use.entry.endpoint_id,
            account=call.account,
            host_name=call.request.host_name,
            headers=call.request.headers,
            left_s=call.deadline - self._state.now(),
            after_event=call.last_event,
        )
        call.last_reply_at = self._state.now()
        use.on_sent(call.last_reply_at)
        await exchange.send(
            call.request.method,
            call.request.target,
            self._protocol.make_headers(request),
            call.body,
        )
        answer = await read_response_head(
            self._protocol,
            call.request.request_id,
            exchange,
        )
        self._record_contact(call, use)
        if answer.leaving:
            self._state.note_leaving(use.entry)
        if not answer.other_endpoint:
            await self._notices.limits.on_answer(use, answer.limit_per_s)
        if answer.load is not None:
            use.on_load(answer.load.waiting, self._state.now())
        if answer.not_run:
            call.attempts -= 1
            raise AttemptRefused(misdirected=answer.other_endpoint)
        if exchange.status < HTTPStatus.MULTIPLE_CHOICES:
            if not answer.signed:
                raise EndpointFailed(detail='response without a signature')
            if call.route.streams:
                await self._relay_stream(call, use, exchange, answer, responder)
                return idle_limit(answer)
        await self._relay_complete(call, use, exchange, answer, responder)
        return idle_limit(answer)

    async def _relay_complete(
        self,
        call: OnlineCall,
        use: EndpointUse,
        exchange: Exchange,
        answer: EndpointResponse,
        responder: Responder,
    ) -> None:
        body = await exchange.read_body()
        status = exchange.status
        if call.last_event is None and _shows_soundness(status):
            await self._notices.crashes.on_answer(
                use.entry.service, call.suspect
            )
        if responder.started:
            raise EndpointFailed(detail=f'status {status} on resuming a stream')
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR and call.may_repeat(
            self._state.now()
        ):
            raise EndpointFailed(detail=f'status {status}')
        if status in NOT_RUN_STATUSES:
            # The endpoint does not guarantee that the request was not run.
            raise EndpointFailed(
                detail=f'status {status} without a guarantee of no run'
            )
        self._record_first_event(call)
        await self._write(call, responder.send(status, body, answer.headers))

    async def _relay_stream(
        self,
        call: OnlineCall,
        use: EndpointUse,
        exchange: Exchange,
        answer: EndpointResponse,
        responder: Responder,
    ) -> None:
        is_whole = call.last_event is None
        checker = EventChecker(last=call.last_event)
        async for events in iter_events(exchange, checker):
            self._record_contact(call, use)
            if not events:
                continue
            if not call.events:
                await self._notices.streams.note_begun(call, use)
            await self._count_events(call, use, len(events))
            packed = b''.join(event.packed for event in events)
            if responder.started:
                await self._write(call, responder.write(packed))
            else:
                await self._write(
                    call,
                    responder.start(HTTPStatus.OK, answer.headers, packed),
                )
                self._record_first_event(call)
            call.last_event = checker.last
        if not responder.started:
            await responder.start(HTTPStatus.OK, answer.headers)
        if is_whole:
            # Endpoints may crash one after the other on parts of an answer.
            await self._notices.crashes.on_answer(
                use.entry.service, call.suspect
            )
        await responder.finish(checker.rest)

    async def _write(
        self, call: OnlineCall, writing: Coroutine[None, None, None]
    ) -> None:
        """Waits until the caller has taken a part of the answer.

        The silence of the endpoint counts from then on.
        """
        call.last_reply_at = math.inf
        try:
            await writing
        finally:
            call.last_reply_at = self._state.now()

    async def _count_events(
        self, call: OnlineCall, use: EndpointUse, count: int
    ) -> None:
        call.events += count
        if not call.progressed:
            call.progressed = await self._notices.crashes.on_events(
                use.entry.service, call.suspect, call.events
            )

    def _record_contact(self, call: OnlineCall, use: EndpointUse) -> None:
        call.last_reply_at = self._state.now()
        use.on_contact(call.last_reply_at)
        self._state.centres.on_contact(
            use.entry.data_centre, call.last_reply_at
        )

    def _record_first_event(self, call: OnlineCall) -> None:
        metric = self._state.metrics.first_token_s
        call.answered_at = self._state.now()
        took_s = call.answered_at - call.arrived_at
        metric.labels(call.account, LANE).observe(took_s)
