"""Online requests to model engines: attempts, retries and relayed answers."""

import curio
from jacinthmount.declarations import Profile
from jacinthmount.dispatch import (
    Attempt,
    NextAction,
    Stage,
    correct_refusal,
    make_failure,
    next_action,
    next_action_within,
)
from jacinthmount.errors import (
    DeadlineUnreachable,
    EndpointFailed,
    JacinthmountError,
    OtherVersion,
)
from jacinthmount.ports import BackendExchange
from jacinthmount.routing import EndpointState

from jacinthmount_node.callers.answer_relay import AnswerRelay, RequestProgress
from jacinthmount_node.callers.failed_attempts import (
    close_exchange,
    end_failed_attempt,
)
from jacinthmount_node.callers.gate import Gate, OnlineCall
from jacinthmount_node.engines.crash_watch import CrashWatch
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS
from jacinthmount_node.net.http_messages import Responder
from jacinthmount_node.node import Node

__all__ = ('OnlineRunner',)

# Time between two checks whether the engine of a request is unresponsive.
ENGINE_CHECK_INTERVAL_S = 0.5
QUEUE_CHECK_INTERVAL_S = 0.25
REPEATED = frozenset((NextAction.RETRY, NextAction.RESUME))


class OnlineRunner:
    """Runs the online requests that this host receives, for all models."""

    __slots__ = (
        '_capacity',
        '_crashes',
        '_gates',
        '_node',
        '_relay',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        crashes: CrashWatch,
    ) -> None:
        self._node = node
        self._crashes = crashes
        self._capacity = rooms
        self._gates: dict[str, Gate] = {}
        self._relay = AnswerRelay(node=node)

    async def run(self) -> None:
        """Grants slots of recovered endpoints until cancelled."""
        while True:
            await curio.sleep(QUEUE_CHECK_INTERVAL_S)
            for gate in self._gates.values():
                await gate.grant_free_slots()

    async def answer(
        self,
        call: OnlineCall,
        profile: Profile,
        responder: Responder,
    ) -> None:
        """Runs a request, with retries, and sends its answer.

        :raises JacinthmountError: the request is refused or failed before
            any part of an answer was sent.
        """
        call.is_trial = self._crashes.admit(call.suspect)
        progress = RequestProgress(now=call.arrived_at)
        self._node.budget.on_request()
        try:
            await self._run_attempts(call, profile, responder, progress)
        finally:
            if progress.reserved is not None:
                gate = self._gate(call.service)
                await gate.release(call, progress.reserved)

    async def _run_attempts(
        self,
        call: OnlineCall,
        profile: Profile,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        gate = self._gate(call.service)
        while True:
            state = await self._next_state(call, profile, responder, progress)
            progress.attempts += 1
            try:
                self._fit_deadline(call, progress)
                if call.is_trial:
                    await self._crashes.begin_trial(call.suspect)
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
            progress.may_have_run |= failed >= Stage.SENT
            if progress.reserved is None:
                self._raise_unless_retry(
                    call, profile, failed, responder, progress
                )
            self._node.metrics.retries.labels(call.service).inc()

    async def _next_state(
        self,
        call: OnlineCall,
        profile: Profile,
        responder: Responder,
        progress: RequestProgress,
    ) -> EndpointState:
        gate = self._gate(call.service)
        try:
            if progress.reserved is None:
                return await gate.acquire(call, profile, progress.tried)
            gate.check(call)
        except JacinthmountError as exc:
            self._abort_if_started(responder)
            raise correct_refusal(
                exc, may_have_run=progress.may_have_run
            ) from exc
        reserved = progress.reserved
        progress.reserved = None
        return reserved

    def _fit_deadline(
        self, call: OnlineCall, progress: RequestProgress
    ) -> None:
        stop = self._node.stop
        if progress.attempts == 1:
            # The stop may have begun while the request waited for a slot.
            stop.raise_if_too_late(
                self._node.now(),
                call.deadline - self._node.now(),
                call.service,
                call.arrived_at,
            )
        call.deadline = min(call.deadline, stop.ends_at)

    def _raise_unless_retry(
        self,
        call: OnlineCall,
        profile: Profile,
        stage: Stage,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        router = self._node.router(call.service)
        attempt = self._describe(
            call,
            profile,
            stage,
            responder,
            progress,
            is_worth=router.worth_retry(
                stage, progress.tried, self._node.now()
            ),
        )
        outcome = next_action_within(
            attempt,
            self._node.budget,
            self._node.now(),
        )
        if outcome in REPEATED:
            return
        self._abort_if_started(responder)
        exc = make_failure(
            outcome,
            time_left=attempt.time_left,
            not_run=DeadlineUnreachable(
                detail='no endpoint was reachable',
                retry_after_s=1,
            ),
            retry_after_s=1,
        )
        raise correct_refusal(exc, may_have_run=progress.may_have_run)

    def _describe(
        self,
        call: OnlineCall,
        profile: Profile,
        stage: Stage,
        responder: Responder,
        progress: RequestProgress,
        *,
        is_worth: bool,
    ) -> Attempt:
        attempts_left = (
            progress.attempts < profile.max_attempts
            and self._crashes.may_repeat(call.suspect)
            and not call.is_trial
        )
        return Attempt(
            stage=stage,
            idempotent=profile.idempotent,
            relayed=responder.started,
            resumable=call.stream,
            may_retry=attempts_left and is_worth,
            time_left=call.deadline > self._node.now(),
        )

    async def _attempt(
        self,
        call: OnlineCall,
        profile: Profile,
        state: EndpointState,
        responder: Responder,
        progress: RequestProgress,
    ) -> Stage | None:
        started_at = self._node.now()
        exchange = None
        offset = progress.offset
        try:
            async with curio.timeout_after(call.deadline - started_at):
                exchange = await self._node.engine.open(
                    state.endpoint.address,
                    no_reuse=not profile.idempotent,
                    request_id=call.request_id,
                )
                await self._relay_unless_left(
                    call,
                    profile,
                    state,
                    exchange,
                    responder,
                    progress,
                )
        except OtherVersion:
            # Nothing was taken from its answer, so it does not count.
            progress.attempts -= 1
            await close_exchange(exchange)
            return Stage.CONNECTING
        except ATTEMPT_ERRORS:
            if responder.started and responder.broken:
                raise
            if progress.reserved is None:
                # One that was left for its silence may be sound.
                state.on_failure(self._node.now())
            return await end_failed_attempt(
                self._node, self._crashes, call, state, exchange, started_at
            )
        except BaseException:
            await close_exchange(exchange)
            raise
        state.on_success(self._node.now() - started_at)
        self._node.stop.note_run(call.service, self._node.now() - started_at)
        await self._node.engine.release(exchange)
        if not offset:
            # An answer that began at another endpoint shows nothing.
            await self._crashes.on_answer(call.suspect)
        return None

    async def _relay_unless_left(
        self,
        call: OnlineCall,
        profile: Profile,
        state: EndpointState,
        exchange: BackendExchange,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        # A frozen endpoint keeps its connections open without sending, but a
        # sound one may do so for a while: it is left for a better one only.
        task = await curio.spawn(
            self._relay.relay, call, state, exchange, responder, progress
        )
        try:
            while not task.terminated:
                async with curio.ignore_after(ENGINE_CHECK_INTERVAL_S):
                    await task.wait()
                if task.terminated or not self._is_mute(state, progress):
                    continue
                await self._reserve_better(
                    call, profile, state, responder, progress
                )
                if progress.reserved is not None and not task.terminated:
                    raise EndpointFailed(detail='endpoint is unresponsive')
        finally:
            await task.cancel()
        if task.exception is not None:
            raise task.exception

    def _is_mute(self, state: EndpointState, progress: RequestProgress) -> bool:
        quiet_s = self._node.now() - progress.last_token_at
        return state.silent and quiet_s >= ENGINE_CHECK_INTERVAL_S

    async def _reserve_better(
        self,
        call: OnlineCall,
        profile: Profile,
        state: EndpointState,
        responder: Responder,
        progress: RequestProgress,
    ) -> None:
        """Takes a slot at another endpoint that can go on with a request.

        Nothing is taken if the request may not be repeated.
        """
        attempt = self._describe(
            call, profile, Stage.SENT, responder, progress, is_worth=True
        )
        if next_action(attempt) not in REPEATED:
            return
        avoided = {state.endpoint.name}
        if progress.offset:
            states = self._node.router(call.service).states()
            names = [other.endpoint.name for other in states]
            avoided.update(
                self._relay.list_other_versions(names, progress.version)
            )
        gate = self._gate(call.service)
        reserved = await gate.take_free(call, avoided)
        if reserved is None:
            return
        if self._node.budget.spend(self._node.now()):
            progress.reserved = reserved
        else:
            await gate.release(call, reserved)

    def _gate(self, service: str) -> Gate:
        gate = self._gates.get(service)
        if gate is None:
            gate = Gate(node=self._node, rooms=self._capacity, service=service)
            self._gates[service] = gate
        return gate

    def _abort_if_started(self, responder: Responder) -> None:
        if responder.started:
            responder.abort()
