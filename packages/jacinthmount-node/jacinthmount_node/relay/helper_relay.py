"""Relay of requests through other hosts, while this one reaches no endpoint."""

import hmac
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio
from jacinthmount.dispatch import Stage
from jacinthmount.errors import (
    DeadlineExceeded,
    EndpointFailed,
    KeyMissing,
    KeyUnknown,
    NoEndpointReached,
    NotFound,
    OutcomeUnknown,
    PeerUnavailable,
    ShuttingDown,
)
from jacinthmount.event_stream import EventChecker
from jacinthmount.peer_choice import PeerChoice

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS, Exchange
from jacinthmount_node.net.http_messages import Responder
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.endpoint_responses import iter_events
from jacinthmount_node.relay.front_addresses import FrontAddresses
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.protocols import (
    CallerProtocol,
    EndpointProtocol,
    EndpointResponse,
    HelperRequest,
    RelayedRequest,
    RelayMark,
)
from jacinthmount_node.relay.response_relay import NOT_RUN_STATUSES
from jacinthmount_node.relay.running_attempts import has_key
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('HelperRelay',)

HELPER_ERRORS = (*ATTEMPT_ERRORS, PeerUnavailable)
CONNECT_TIMEOUT_S = 0.25
# A host that has sent no head by then is asked whether it is alive.
HEAD_TIMEOUT_S = 1.0
MAX_HELPERS = 4
MIN_ATTEMPT_S = 0.02
# Connections to other hosts are used again within this time.
IDLE_S = 1.0
RETRY_AFTER_S = 0.5
# Codes of hosts that serve nothing now, whatever their configuration.
UNABLE_CODES = frozenset((NoEndpointReached.code, ShuttingDown.code))
# Codes of hosts whose configuration does not name the route or the key.
UNKNOWN_CODES = frozenset((NotFound.code, KeyMissing.code, KeyUnknown.code))


class HelperRelay:
    """Sends requests to the fronts of other hosts, as their callers would.

    The other host checks the key again, takes the token of the rate, and
    decides everything about endpoints. It sends the request to no third host.
    """

    __slots__ = (
        '_addresses',
        '_callers',
        '_catch_up',
        '_choice',
        '_endpoints',
        '_pool',
        '_state',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        pool: ClientPool,
        callers: CallerProtocol,
        endpoints: EndpointProtocol,
        catch_up: Callable[[str], Awaitable[None]],
    ) -> None:
        """Starts without known addresses.

        :param pool: connections to other hosts only.
        :param catch_up: takes over what the host at a peer address has newer,
            such as a configuration.
        """
        self._catch_up = catch_up
        self._state = state
        self._pool = pool
        self._callers = callers
        self._endpoints = endpoints
        self._choice = PeerChoice(rng=state.rng)
        self._addresses = FrontAddresses(state=state, links=links)

    def is_needed(self, call: OnlineCall) -> bool:
        """Returns whether a request has to go through another host.

        :raises NoEndpointReached: it came from another host already.
        :raises EndpointFailed: the same, after an attempt of this host.
        """
        if not self._state.reach.isolated:
            return False
        if call.mark is not None and call.attempts > call.mark.attempts:
            raise EndpointFailed(detail='this host reaches no endpoint')
        if call.mark is not None:
            raise NoEndpointReached(detail='this host reaches no endpoint')
        return True

    def verify(self, request: RelayedRequest) -> RelayMark | None:
        """Returns the mark of a request if another host has set it."""
        mark = request.mark
        own = self._state.incarnation
        if mark is None or not hmac.compare_digest(
            mark.recipient.encode(), own.encode()
        ):
            return None
        return mark

    async def answer(
        self, call: OnlineCall, responder: Responder, *, has_token: bool
    ) -> None:
        """Runs a request through another host and sends its answer.

        :param has_token: whether a token of the rate was taken for it.
        :raises JacinthmountError: no host could help.
        """
        tried: set[str] = set()
        while len(tried) < MAX_HELPERS:
            helper = self._choose(tried)
            if helper is None:
                break
            tried.add(helper.host)
            mark = RelayMark(
                host=self._state.host,
                attempts=call.attempts,
                has_token=has_token,
                recipient=helper.incarnation,
            )
            stage = await self._attempt(call, helper, mark, responder)
            if stage is None:
                self._count('served')
                return
            self._raise_unless_repeatable(call, stage)
        self._count('failed')
        if call.attempts:
            raise EndpointFailed(detail='no host could help')
        raise NoEndpointReached(
            detail='no host that could help reaches an endpoint',
            retry_after_s=RETRY_AFTER_S,
        )

    def _choose(self, tried: set[str]) -> RelayHost | None:
        names = [
            name
            for name in self._state.fronts()
            if name != self._state.host and name not in tried
        ]
        usable = self._choice.without_failed(names, self._state.now()) or names
        if not usable:
            return None
        return self._state.hosts.get(self._state.rng.choice(usable))

    def _raise_unless_repeatable(self, call: OnlineCall, stage: Stage) -> None:
        if call.deadline - self._state.now() <= MIN_ATTEMPT_S:
            self._count('failed')
            raise DeadlineExceeded(detail='no complete response in time')
        if stage < Stage.SENT:
            return
        if not call.route.idempotent:
            self._count('failed')
            raise OutcomeUnknown(detail='the connection to a host was lost')
        if call.attempts >= call.route.max_attempts:
            self._count('failed')
            raise EndpointFailed(detail='the connection to a host was lost')

    async def _attempt(
        self,
        call: OnlineCall,
        helper: RelayHost,
        mark: RelayMark,
        responder: Responder,
    ) -> Stage | None:
        """Sends the request to one host.

        :returns: None once the answer was sent, else the stage of the failure.
        """
        exchange = None
        try:
            async with curio.timeout_after(
                max(MIN_ATTEMPT_S, call.deadline - self._state.now())
            ):
                exchange = await self._pool.open(
                    await self._addresses.find(helper),
                    no_reuse=not call.route.idempotent,
                    timeout_s=CONNECT_TIMEOUT_S,
                    request_id=call.request.request_id,
                )
                is_served = await self._relay(
                    call, helper, mark, exchange, responder
                )
        except HELPER_ERRORS as exc:
            if responder.broken:
                raise
            stage = exchange.stage if exchange else Stage.CONNECTING
            self._note_failed(call, helper, f'{type(exc).__name__}: {exc}')
            return stage
        finally:
            if exchange is not None:
                await self._pool.release(exchange, IDLE_S)
        if not is_served:
            self._note_failed(call, helper, 'can not serve it')
            return Stage.CONNECTING
        self._choice.on_succeeded(helper.host, self._state.now())
        call.endpoint_id = ''
        log_event(
            'relayed',
            request=call.request.request_id,
            helper=helper.host,
            status=responder.status,
        )
        return None

    def _note_failed(
        self, call: OnlineCall, helper: RelayHost, error: str
    ) -> None:
        self._choice.on_failed(helper.host, self._state.now())
        log_event(
            'helper_failed',
            request=call.request.request_id,
            helper=helper.host,
            error=error,
            events=call.last_event,
        )

    async def _relay(
        self,
        call: OnlineCall,
        helper: RelayHost,
        mark: RelayMark,
        exchange: Exchange,
        responder: Responder,
    ) -> bool:
        """Sends a request and passes the answer on.

        :returns: false if the host reaches no endpoint either, ends too soon,
            or does not know the route or the key yet.
        """
        call.attempts += 1
        headers = self._callers.make_helper_headers(
            HelperRequest(
                request=call.request,
                mark=mark,
                left_s=call.deadline - self._state.now(),
                after_event=call.last_event,
            )
        )
        await exchange.send(
            call.request.method, call.request.target, headers, call.body
        )
        await self._read_head(call, helper, exchange)
        answer = self._endpoints.parse_response(
            call.request.request_id, exchange.status, exchange.headers
        )
        if exchange.status >= HTTPStatus.MULTIPLE_CHOICES:
            return await self._relay_error(
                call, helper, mark, exchange, answer, responder
            )
        if not (answer.own and answer.signed):
            raise EndpointFailed(detail='response without a signature')
        if call.route.streams:
            await self._relay_stream(call, exchange, answer, responder)
        else:
            body = await exchange.read_body()
            await responder.send(exchange.status, body, answer.headers)
        return True

    async def _read_head(
        self, call: OnlineCall, helper: RelayHost, exchange: Exchange
    ) -> None:
        """Waits for the head for as long as the host is alive.

        :raises TimeoutError: it is silent, and another one may answer in time.
        """
        while True:
            try:
                return await with_timeout(HEAD_TIMEOUT_S, exchange.read_head)
            except TimeoutError:
                if not await self._may_wait(call, helper):
                    raise

    async def _may_wait(self, call: OnlineCall, helper: RelayHost) -> bool:
        if not call.route.idempotent:
            return True
        return await self._addresses.is_alive(helper)

    async def _relay_error(
        self,
        call: OnlineCall,
        helper: RelayHost,
        mark: RelayMark,
        exchange: Exchange,
        answer: EndpointResponse,
        responder: Responder,
    ) -> bool:
        body = await exchange.read_body()
        code = 0 if answer.signed else _read_code(body)
        if code in UNABLE_CODES:
            call.attempts -= 1
            return False
        if code in UNKNOWN_CODES and await self._is_older(call, helper):
            call.attempts -= 1
            return False
        # An earlier attempt may have run the request.
        is_refusal = exchange.status in NOT_RUN_STATUSES or not answer.signed
        is_untrue = bool(mark.attempts) and is_refusal
        if responder.started or is_untrue:
            raise EndpointFailed(detail=f'status {exchange.status} of a host')
        await responder.send(exchange.status, body, answer.headers)
        return True

    async def _is_older(self, call: OnlineCall, helper: RelayHost) -> bool:
        """Returns whether a host lacks a route or key that it will know.

        That is so unless its configuration is newer, and they were removed.
        """
        await self._catch_up(helper.peer_address)
        cfg = self._state.config
        route = cfg.find_route(call.request.host_name, call.request.path)
        return route is not None and has_key(self._state, call)

    async def _relay_stream(
        self,
        call: OnlineCall,
        exchange: Exchange,
        answer: EndpointResponse,
        responder: Responder,
    ) -> None:
        checker = EventChecker(last=call.last_event)
        async for events in iter_events(exchange, checker):
            if not events:
                continue
            packed = b''.join(event.packed for event in events)
            if responder.started:
                await responder.write(packed)
            else:
                await responder.start(HTTPStatus.OK, answer.headers, packed)
                call.answered_at = self._state.now()
            call.last_event = checker.last
        if not responder.started:
            await responder.start(HTTPStatus.OK, answer.headers)
        await responder.finish(checker.rest)

    def _count(self, outcome: str) -> None:
        self._state.metrics.relayed_requests.labels(outcome).inc()


def _read_code(body: bytes) -> int:
    """Returns the code of an error of another host, or 0."""
    try:
        return int(json.loads(body)['error']['code'])
    except (ValueError, LookupError, TypeError):
        return 0
