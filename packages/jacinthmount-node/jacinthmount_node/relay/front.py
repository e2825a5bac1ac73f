"""Requests of callers: routing, authentication, rates, relay and batches."""

from functools import singledispatch
from http import HTTPStatus

from jacinthmount.errors import (
    JacinthmountError,
    KeyMissing,
    KeyUnknown,
    MalformedRequest,
    NotFound,
)
from jacinthmount.fleet_config import AccountRule, RouteRule
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.metrics import NO_ACCOUNT
from jacinthmount_node.net.http_connection import AnswerCut
from jacinthmount_node.net.http_messages import (
    HttpRequest,
    Responder,
    error_body,
)
from jacinthmount_node.relay.batch_api import BatchApi
from jacinthmount_node.relay.crash_evidence import find_blocked_error
from jacinthmount_node.relay.helper_relay import HelperRelay
from jacinthmount_node.relay.online import OnlineRelay
from jacinthmount_node.relay.online_call import OnlineCall, find_taken_at
from jacinthmount_node.relay.protocols import (
    CallerProtocol,
    EndBatch,
    ReadItemBody,
    ReadResults,
    RelayedRequest,
    RelayMark,
)
from jacinthmount_node.relay.quota import AccountQuota
from jacinthmount_node.relay.response_relay import LANE
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.stream_registry import StreamRegistry

__all__ = ('RelayFront',)

MAX_BATCH_ITEMS = 200
DEFAULT_TIMEOUT_S = 30.0
CALLS_WITH_KEY = (EndBatch, ReadItemBody, ReadResults, RelayedRequest)


class RelayFront:
    """Handles the requests of callers."""

    __slots__ = (
        'batches',
        'helpers',
        'protocol',
        'quota',
        'relay',
        'state',
        'streams',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        protocol: CallerProtocol,
        quota: AccountQuota,
        relay: OnlineRelay,
        batches: BatchApi,
        streams: StreamRegistry,
        helpers: HelperRelay,
    ) -> None:
        self.state = state
        self.protocol = protocol
        self.quota = quota
        self.relay = relay
        self.batches = batches
        self.streams = streams
        self.helpers = helpers

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles one request."""
        call = None
        request.request_id = self.protocol.read_id(request)
        try:
            call = self.protocol.parse_call(request)
            await _answer(call, self, request, responder)
        except AnswerCut:
            log_event(
                'request_cut',
                request=self.protocol.read_id(request),
                events_sent=responder.started,
            )
            raise
        except JacinthmountError as exc:
            self._record_refusal(call, request, exc)
            if responder.started:
                responder.abort(str(exc))
                return
            await responder.send_json(
                exc.http_status,
                error_body(exc),
                self.protocol.make_error_headers(exc),
            )

    def find_account(self, key: str) -> AccountRule:
        """Finds the account of a key.

        :raises KeyMissing: the key is empty.
        :raises KeyUnknown: no account has the key.
        """
        if not key:
            raise KeyMissing(detail='the request has no key')
        account = self.state.config.account_of_key(key)
        if account is None:
            raise KeyUnknown(detail='unknown key')
        return account

    def find_owner(self, key: str) -> str:
        """Finds the account whose batches the calls with a key are about.

        It is that of the key, also where routes are public, since reads name
        no route. A configuration without accounts has batches of no account.

        :returns: its name, or an empty string for no account.
        :raises KeyMissing: the key is empty.
        :raises KeyUnknown: no account has the key.
        """
        if not self.state.config.has_accounts:
            return ''
        return self.find_account(key).name

    def _record_refusal(
        self,
        call: Record | None,
        request: HttpRequest,
        exc: JacinthmountError,
    ) -> None:
        account = None
        if isinstance(call, CALLS_WITH_KEY) and self.state.configured:
            account = self.state.config.account_of_key(call.key)
        name = account.name if account else NO_ACCOUNT
        self.state.metrics.refusals.labels(name, str(exc.code)).inc()
        log_event(
            'refused',
            path=request.path,
            code=exc.code,
            status=exc.http_status,
            detail=exc.detail,
            request=request.request_id,
            account=name,
        )


@singledispatch
async def _answer(
    call: Record,
    front: RelayFront,
    request: HttpRequest,
    responder: Responder,
) -> None:
    raise NotFound(detail='no such call')


@_answer.register
async def _(
    call: RelayedRequest,
    front: RelayFront,
    request: HttpRequest,
    responder: Responder,
) -> None:
    arrived_at = front.state.now()
    route = front.state.config.find_route(call.host_name, call.path)
    if route is None:
        raise NotFound(detail='no route matches the host name and path')
    if route.takes_batches:
        await _submit(call, front, route, request, responder)
        return
    account = None
    if front.state.config.has_accounts and not route.public:
        account = front.find_account(call.key)
    body = await request.read_body()
    mark = front.helpers.verify(call)
    online = OnlineCall(
        request=call,
        route=route,
        account=account.name if account else '',
        body=body,
        arrived_at=arrived_at,
        deadline=_find_deadline(call, route, front, arrived_at, mark),
        service=route.pick_service(front.state.rng),
        mark=mark,
    )
    _refuse_if_blocked(front.state, online)
    if front.helpers.is_needed(online):
        # The other host takes the token of the rate.
        await front.helpers.answer(online, responder, has_token=False)
        _log_served(front, online, responder)
        return
    if online.is_taken_up and route.resumable:
        await front.streams.bind(online)
    if account is not None and not (online.mark and online.mark.has_token):
        online.assigned_id = await front.quota.take(
            account,
            # The runner does not know at which endpoints a stream may go on.
            '' if online.origin else online.service,
            route.target_s,
        )
    await front.relay.answer(online, responder)
    _log_served(front, online, responder)


def _refuse_if_blocked(state: RelayState, online: OnlineCall) -> None:
    """Refuses a request that crashes endpoints, unless it may be tried.

    :raises JacinthmountError: the request is blocked, or its prompt.
    """
    exc = find_blocked_error(state, online.service, online.suspect, 0)
    if exc is None:
        return
    trial = state.breaker.find_trial(
        online.service, online.suspect, state.now()
    )
    # What follows a part of an answer would show nothing.
    online.is_trial = online.last_event is None and bool(trial)
    if not online.is_trial:
        raise exc


def _find_deadline(
    call: RelayedRequest,
    route: RouteRule,
    front: RelayFront,
    arrived_at: float,
    mark: RelayMark | None,
) -> float:
    """Returns the monotonic time by which a request has to be answered.

    :raises ShuttingDown: this process may end before that answer.
    """
    left_s = DEFAULT_TIMEOUT_S if call.left_s is None else call.left_s
    if route.timeout_s:
        left_s = min(left_s, route.timeout_s)
    now = front.state.now()
    return front.state.stop.fit(
        now, arrived_at + left_s, route.name, find_taken_at(mark, now)
    )


def _log_served(
    front: RelayFront,
    online: OnlineCall,
    responder: Responder,
) -> None:
    took_s = front.state.now() - online.arrived_at
    front.state.metrics.request_s.labels(online.account, LANE).observe(took_s)
    log_event(
        'served',
        request=online.request.request_id,
        account=online.account,
        route=online.route.name,
        status=responder.status,
        attempts=online.attempts,
        endpoint=online.endpoint_id,
        version=online.version or '',
        taken_up=online.is_taken_up,
        for_host=online.mark.host if online.mark else '',
        waited_s=round(online.waited_s, 3),
        first_s=round(online.answered_at - online.arrived_at, 3),
        target_s=online.route.target_s,
        took_s=round(took_s, 3),
    )


async def _submit(
    call: RelayedRequest,
    front: RelayFront,
    route: RouteRule,
    request: HttpRequest,
    responder: Responder,
) -> None:
    owner = front.find_owner(call.key)
    body = await request.read_body()
    await request.keep_parsed(body)
    if not call.request_id:
        raise MalformedRequest(detail='a batch needs a request id')
    items = front.protocol.parse_items(body)
    if not items or len(items) > MAX_BATCH_ITEMS:
        raise MalformedRequest(
            detail=f'a batch has 1 to {MAX_BATCH_ITEMS} items'
        )
    if len({item.item_id for item in items}) < len(items):
        raise MalformedRequest(detail='two items have the same id')
    await front.batches.submit(
        owner,
        route,
        call.request_id,
        call.host_name,
        items,
    )
    await responder.send_json(HTTPStatus.ACCEPTED, {})


@_answer.register
async def _(
    call: ReadResults,
    front: RelayFront,
    request: HttpRequest,
    responder: Responder,
) -> None:
    owner = front.find_owner(call.key)
    total, results = await front.batches.read_results(
        owner,
        call.batch_id,
        call.after,
        call.wait_s,
    )
    await responder.send_json(
        HTTPStatus.OK,
        front.protocol.make_results(total, call.after, results),
    )


@_answer.register
async def _(
    call: ReadItemBody,
    front: RelayFront,
    request: HttpRequest,
    responder: Responder,
) -> None:
    owner = front.find_owner(call.key)
    body = await front.batches.read_item(
        owner,
        call.batch_id,
        call.item_id,
    )
    await responder.send(
        HTTPStatus.OK,
        body,
        [('content-type', 'application/octet-stream')],
    )


@_answer.register
async def _(
    call: EndBatch,
    front: RelayFront,
    request: HttpRequest,
    responder: Responder,
) -> None:
    owner = front.find_owner(call.key)
    await front.batches.end(owner, call.batch_id)
    await responder.send_json(HTTPStatus.OK, {})
