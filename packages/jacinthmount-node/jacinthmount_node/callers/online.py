"""Online requests to model engines: attempts, retries and relaying."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import curio
from jacinthmount.declarations import Profile
from jacinthmount.dispatch import (
    Attempt,
    NextAction,
    Stage,
    make_failure,
    next_action_within,
)
from jacinthmount.errors import (
    DeadlineUnreachable,
    EndpointFailed,
    JacinthmountError,
)
from jacinthmount.ports import BackendCall, BackendExchange, StreamEvent
from jacinthmount.routing import EndpointState

from jacinthmount_node.callers.gate import Gate, OnlineCall
from jacinthmount_node.engines.backends import REQUEST_ID
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS
from jacinthmount_node.net.http_server import Responder
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.node import Node

__all__ = ('OnlineRunner',)

STALL_TIMEOUT_S = 10.0
SILENCE_CHECK_S = 0.5
PUMP_INTERVAL_S = 0.25
LANE = 'online'
Relay = Callable[..., Awaitable[None]]
FORWARDED_HEADERS = ('content-type',)
SSE_HEADERS = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-store'),
)


class _Progress:
    __slots__ = ('attempts', 'last_at', 'offset', 'tried')

    def __init__(self, *, now: float) -> None:
        self.offset = 0
        self.attempts = 0
        self.last_at = now
        self.tried: set[str] = set()


class OnlineRunner:
    """Runs online requests of all models on this host."""

    __slots__ = ('_gates', '_node', '_rooms')

    def __init__(self, *, node: Node, rooms: EngineCapacity) -> None:
        """Starts without gates."""
        self._node = node
        self._rooms = rooms
        self._gates: dict[str, Gate] = {}

    async def run(self) -> None:
        """Lets waiting requests go when endpoints come back."""
        while True:
            await curio.sleep(PUMP_INTERVAL_S)
            for gate in self._gates.values():
                await gate.pump()

    async def answer(
        self,
        call: OnlineCall,
        profile: Profile,
        responder: Responder,
    ) -> None:
        """Runs a request and sends its whole answer.

        :raises JacinthmountError: the request is refused or failed before
            any part of an answer was sent.
        """
        gate = self._gate(call.service)
        progress = _Progress(now=call.arrived_at)
        self._node.budget.on_request()
        while True:
            try:
                state = await gate.acquire(call, profile, progress.tried)
            except JacinthmountError as exc:
                self._abort_if_started(responder)
                raise exc
            progress.attempts += 1
            try:
                failed = await self._attempt(
                    call,
                    profile,
                    state,
                    responder,
                    progress,
                )
            finally:
                await gate.release(call, state)
            if failed is None:
                return
            progress.tried.add(state.endpoint.name)
            self._settle(call, profile, failed, responder, progress)
            self._node.metrics.retries.labels(call.service).inc()

    def _settle(
        self,
        call: OnlineCall,
        profile: Profile,
        stage: Stage,
        responder: Responder,
        progress: _Progress,
    ) -> None:
        time_left = call.deadline > self._node.now()
        router = self._node.router(call.service)
        attempts_left = (
            progress.attempts < profile.max_attempts
            and router.worth_retry(stage, progress.tried, self._node.now())
        )
        outcome = next_action_within(
            Attempt(
                stage=stage,
                idempotent=profile.idempotent,
                relayed=responder.started,
                resumable=call.stream,
                may_retry=attempts_left,
                time_left=time_left,
            ),
            self._node.budget,
            self._node.now(),
        )
        if outcome in {NextAction.RETRY, NextAction.RESUME}:
            return
        self._abort_if_started(responder)
        raise make_failure(
            outcome,
            time_left=time_left,
            not_run=DeadlineUnreachable(
                detail='no endpoint could be reached',
                retry_after_s=1,
            ),
            retry_after_s=1,
        )

    async def _attempt(
        self,
        call: OnlineCall,
        profile: Profile,
        state: EndpointState,
        responder: Responder,
        progress: _Progress,
    ) -> Stage | None:
        started_at = self._node.now()
        exchange = None
        stage = Stage.CONNECTING
        try:
            async with curio.timeout_after(call.deadline - started_at):
                exchange = await self._node.engine.open(
                    state.endpoint.address,
                    no_reuse=not profile.idempotent,
                )
                await self._while_heard(
                    state,
                    self._relay,
                    call,
                    exchange,
                    responder,
                    progress,
                )
        except ATTEMPT_ERRORS:
            if responder.started and responder.broken:
                raise
            state.on_failure(self._node.now())
            if exchange is not None:
                stage = exchange.stage
                await exchange.close()
            return stage
        except BaseException:
            if exchange is not None:
                await exchange.close()
            raise
        state.on_success(self._node.now() - started_at)
        await self._node.engine.release(exchange)
        return None

    async def _while_heard(
        self,
        state: EndpointState,
        func: Relay,
        *args: Any,
    ) -> None:
        # An endpoint that froze keeps its connections open without a word.
        task = await curio.spawn(func, *args)
        try:
            while not task.terminated:
                async with curio.ignore_after(SILENCE_CHECK_S):
                    await task.wait()
                if state.silent and not task.terminated:
                    raise EndpointFailed(detail='endpoint is silent')
        finally:
            await task.cancel()
        if task.exception is not None:
            raise task.exception

    async def _relay(
        self,
        call: OnlineCall,
        exchange: BackendExchange,
        responder: Responder,
        progress: _Progress,
    ) -> None:
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
        if call.stream and exchange.status < HTTPStatus.MULTIPLE_CHOICES:
            await self._relay_stream(call, exchange, responder, progress)
            return
        answer = await exchange.read_body()
        self._first_token(call, progress)
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
        progress: _Progress,
    ) -> None:
        events = exchange.iter_events()
        while True:
            event = await with_timeout(
                STALL_TIMEOUT_S,
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
        progress: _Progress,
    ) -> None:
        piece = f'data: {event.payload}\n\n'.encode()
        if responder.started:
            await responder.write(piece)
        else:
            headers = [*SSE_HEADERS, (REQUEST_ID, call.request_id)]
            await responder.start(HTTPStatus.OK, headers, piece)
            self._first_token(call, progress)
        progress.offset += len(event.text)
        self._token(progress)

    def _first_token(self, call: OnlineCall, progress: _Progress) -> None:
        now = self._node.now()
        metric = self._node.metrics.first_token_s
        metric.labels(call.account, LANE).observe(now - call.arrived_at)
        progress.last_at = now

    def _token(self, progress: _Progress) -> None:
        now = self._node.now()
        metric = self._node.metrics.token_gap_s
        metric.labels(LANE).observe(now - progress.last_at)
        progress.last_at = now

    def _gate(self, service: str) -> Gate:
        gate = self._gates.get(service)
        if gate is None:
            gate = Gate(node=self._node, rooms=self._rooms, service=service)
            self._gates[service] = gate
        return gate

    def _abort_if_started(self, responder: Responder) -> None:
        if responder.started:
            responder.abort()


async def _next_event(events):
    return await anext(events, None)
