"""Relay of online requests, to one endpoint at a time."""

import curio
from jacinthmount.dispatch import (
    Attempt,
    NextAction,
    Stage,
    make_failure,
    next_action,
)
from jacinthmount.errors import (
    EndpointFailed,
    EndpointsFull,
    KeyUnknown,
)
from jacinthmount.placement import EndpointUse

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS, Exchange
from jacinthmount_node.net.http_messages import Responder
from jacinthmount_node.relay.blocked_records import begin_trial
from jacinthmount_node.relay.crash_evidence import find_blocked_error
from jacinthmount_node.relay.endpoint_notices import EndpointNotices
from jacinthmount_node.relay.endpoint_responses import count_endless
from jacinthmount_node.relay.helper_relay import HelperRelay
from jacinthmount_node.relay.online_call import OnlineCall, find_taken_at
from jacinthmount_node.relay.online_queue import OnlineQueue
from jacinthmount_node.relay.place_requests import PlaceRequests
from jacinthmount_node.relay.protocols import EndpointProtocol
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.response_relay import AttemptRefused, ResponseRelay
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.running_attempts import (
    RunningAttempts,
    has_key,
)
from jacinthmount_node.relay.state import RelayState

__all__ = ('OnlineRelay',)

MAX_TRIES = 16
# Pause after all endpoints of a service have refused a request.
REFUSED_PAUSE_S = 0.03
# The same for a stream that has begun, and how long it may wait for another
# endpoint. Its caller expects the next event within 2 s.
RESUME_PAUSE_S = 0.1
RESUME_WAIT_S = 1.5
CONNECT_TIMEOUT_S = 0.25
# Part of the latency target of a route that a request may spend in the queue.
QUEUE_TIME_FRACTION = 0.7
MIN_ATTEMPT_S = 0.02
QUEUE_CHECK_INTERVAL_S = 0.05


class OnlineRelay:
    """Runs online requests of all services on this host."""

    __slots__ = (
        '_answers',
        '_attempts',
        '_called',
        '_calls',
        '_helpers',
        '_notices',
        '_places',
        '_pool',
        '_queues',
        '_reporter',
        '_state',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        pool: ClientPool,
        protocol: EndpointProtocol,
        reporter: HostReporter,
        runner_link: RunnerLink,
        notices: EndpointNotices,
        helpers: HelperRelay,
    ) -> None:
        self._state = state
        self._pool = pool
        self._notices = notices
        self._helpers = helpers
        self._answers = ResponseRelay(
            state=state, protocol=protocol, notices=notices
        )
        self._reporter = reporter
        self._places = PlaceRequests(state=state, runner_link=runner_link)
        self._queues: dict[str, OnlineQueue] = {}
        self._calls = 0
        self._called = curio.Event()
        self._attempts = RunningAttempts(state=state, crashes=notices.crashes)

    async def run(self) -> None:
        """Dispatches queued requests when endpoints become available again."""
        while True:
            # An idle host has nothing to check.
            await self._called.wait()
            self._called.clear()
            await self._check_until_idle()

    async def pump(self) -> None:
        """Dispatches queued requests to endpoints with free capacity."""
        for queue in self._queues.values():
            await queue.pump()

    async def answer(self, call: OnlineCall, responder: Responder) -> None:
        """Runs a request and sends the complete response.

        :raises JacinthmountError: the request was refused, or failed before
            any part of a response was sent.
        """
        self._calls += 1
        if call.is_taken_up:
            call.resume_until = call.arrived_at + RESUME_WAIT_S
        await self._called.set()
        try:
            await self._answer(call, responder)
        finally:
            self._calls -= 1
            self._attempts.forget(call)

    async def _check_until_idle(self) -> None:
        while self._calls:
            await curio.sleep(QUEUE_CHECK_INTERVAL_S)
            now = self._state.now()
            for placement in self._state.placements.values():
                placement.note_unresponsive(now)
            for entry in self._attempts.note_silent():
                await self._notices.reach.note_failed(entry)
            await self.pump()

    async def _answer(self, call: OnlineCall, responder: Responder) -> None:
        while not self._helpers.is_needed(call):
            queue = self._queue(call.service)
            use = await self._acquire(call, queue, responder)
            started_at = self._state.now()
            call.endpoint_id = use.entry.endpoint_id
            call.waited_s = started_at - call.arrived_at
            try:
                await self._report_start(call)
                await self._recheck(call, started_at, responder)
                stage = await self._attempt(call, use, responder)
                if stage is not None:
                    await self._wait_if_all_full(call, use)
            finally:
                took_s = self._state.now() - started_at
                await self._release(queue, call, use, took_s)
            if stage is None:
                return
            self._retry_or_raise(call, stage, responder)
            self._prepare_next(call)
        self._attempts.drop(call)
        await self._helpers.answer(call, responder, has_token=True)

    def _prepare_next(self, call: OnlineCall) -> None:
        call.assigned_id = ''
        if call.origin is None and not self._attempts.holds(call):
            call.service = call.route.pick_service(self._state.rng)

    async def _report_start(self, call: OnlineCall) -> None:
        # The runner has counted the requests that it placed.
        if call.endpoint_id != call.assigned_id:
            await self._reporter.note_change()

    async def _release(
        self,
        queue: OnlineQueue,
        call: OnlineCall,
        use: EndpointUse,
        took_s: float,
    ) -> None:
        queue.release(call.account, use, took_s)
        await self._reporter.note_change()
        await queue.pump()

    async def _acquire(
        self,
        call: OnlineCall,
        queue: OnlineQueue,
        responder: Responder,
    ) -> EndpointUse:
        held = self._attempts.take(call)
        if held is not None:
            queue.enter(call.account)
            return held
        if self._may_ask_for_place(call, queue):
            call.assigned_id = await self._places.find(call)
        try:
            return await queue.acquire(
                call.account,
                call.tried,
                self._wait_limit_s(call),
                call.assigned_id,
                call.version,
            )
        except EndpointsFull as exc:
            if responder.started:
                responder.abort()
            self._notices.streams.raise_if_stranded(call)
            if call.attempts:
                # An earlier attempt may have run the request, so the error
                # must not state that it was not run.
                raise EndpointFailed(detail=exc.detail) from exc
            raise

    def _may_ask_for_place(self, call: OnlineCall, queue: OnlineQueue) -> bool:
        # The runner does not know at which endpoints a stream may go on.
        if call.assigned_id or call.origin is not None:
            return False
        return queue.is_limited(call.tried)

    async def _wait_if_all_full(
        self,
        call: OnlineCall,
        use: EndpointUse,
    ) -> None:
        # Called before the slot is released: while the request counts as in
        # flight, the runner preempts batch items on the endpoint.
        call.tried.add(use.entry.endpoint_id)
        if self._attempts.holds(call):
            return
        untried = self._state.placement(use.entry.service).startable(
            call.tried,
            self._wait_limit_s(call),
            self._state.now(),
            call.version,
        )
        if untried:
            return
        if call.has_begun:
            await curio.sleep(RESUME_PAUSE_S)
            call.tried.clear()
        elif call.refusals:
            await curio.sleep(REFUSED_PAUSE_S)
            call.tried.clear()

    def _wait_limit_s(self, call: OnlineCall) -> float:
        now = self._state.now()
        if self._resumes(call) or call.origin is not None:
            until = min(call.resume_until, call.deadline)
            return max(MIN_ATTEMPT_S, until - now)
        queue_deadline = (
            call.arrived_at + call.route.target_s * QUEUE_TIME_FRACTION
        )
        return max(MIN_ATTEMPT_S, min(queue_deadline, call.deadline) - now)

    async def _recheck(
        self,
        call: OnlineCall,
        now: float,
        responder: Responder,
    ) -> None:
        """Refuses a request that must not be sent any more.

        :raises JacinthmountError: its key was withdrawn, or the request was
            blocked, while it waited, or this process ends too soon.
        """
        stop = self._state.stop
        if not call.attempts:
            stop.raise_if_too_late(
                now,
                call.deadline - now,
                call.route.name,
                find_taken_at(call.mark, call.arrived_at),
            )
        call.deadline = min(call.deadline, stop.ends_at)
        self._recheck_key(call)
        await self._recheck_crashes(call, responder)

    def _recheck_key(self, call: OnlineCall) -> None:
        # The key may have been withdrawn while the request was queued.
        if has_key(self._state, call):
            return
        detail = 'key was withdrawn while the request waited'
        if call.attempts:
            # An earlier attempt may have run the request.
            raise EndpointFailed(detail=detail)
        raise KeyUnknown(detail=detail)

    async def _recheck_crashes(
        self, call: OnlineCall, responder: Responder
    ) -> None:
        # Endpoints may have crashed on it while the request waited.
        exc = find_blocked_error(
            self._state, call.service, call.suspect, call.attempts
        )
        if exc is None:
            return
        if call.is_trial and await begin_trial(
            self._state, call.service, call.suspect
        ):
            return
        if responder.started:
            responder.abort()
        raise exc

    async def _attempt(
        self,
        call: OnlineCall,
        use: EndpointUse,
        responder: Responder,
    ) -> Stage | None:
        exchange = None
        kept = False
        try:
            async with curio.timeout_after(
                max(MIN_ATTEMPT_S, call.deadline - self._state.now()),
            ):
                exchange = await self._pool.open(
                    use.entry.address,
                    no_reuse=False,
                    timeout_s=CONNECT_TIMEOUT_S,
                    request_id=call.request.request_id,
                )
                self._attempts.begin(call, use, exchange)
                idle_s = await self._answers.relay(
                    call, use, exchange, responder
                )
            kept = True
        except AttemptRefused as refused:
            self._record_refusal(call, use, refused)
            return Stage.CONNECTING
        except ATTEMPT_ERRORS as exc:
            if responder.broken:
                raise
            self._attempts.note_failed(call, use)
            count_endless(self._state.metrics, exc)
            use.unreachable = exchange is None
            stage = exchange.stage if exchange else Stage.CONNECTING
            await self._record_loss(call, use, stage, exc, exchange)
            return stage
        finally:
            self._attempts.end(call)
            if exchange is not None and not kept:
                await exchange.close()
        use.on_success()
        self._note_run_time(call)
        await self._pool.release(exchange, idle_s)
        return None

    def _note_run_time(self, call: OnlineCall) -> None:
        took_s = self._state.now() - call.arrived_at
        self._state.stop.note_run(call.route.name, took_s)

    def _record_refusal(
        self,
        call: OnlineCall,
        use: EndpointUse,
        refused: AttemptRefused,
    ) -> None:
        now = self._state.now()
        call.refusals += 1
        if refused.misdirected:
            use.on_failure(now)
        else:
            use.on_full(now)
        log_event(
            'attempt_refused',
            request=call.request.request_id,
            endpoint=use.entry.endpoint_id,
            misdirected=refused.misdirected,
            online=use.online,
            elsewhere=use.online_from_others,
            batch=use.batch_from_others,
        )

    async def _record_loss(
        self,
        call: OnlineCall,
        use: EndpointUse,
        stage: Stage,
        exc: BaseException,
        exchange: Exchange | None,
    ) -> None:
        log_event(
            'attempt_lost',
            request=call.request.request_id,
            endpoint=use.entry.endpoint_id,
            stage=Stage(stage).name,
            version=use.entry.version,
            reused=bool(exchange and exchange.reused),
            events=call.events if exchange else 0,
            digest=call.suspect.request,
            parts=','.join(call.suspect.parts),
            error=f'{type(exc).__name__}: {exc}',
            given_up=self._attempts.is_given_up(call),
            after_s=round(self._state.now() - call.arrived_at, 3),
        )
        if self._state.now() >= call.deadline:
            self._note_run_time(call)
        if exchange is None or use.is_stalled(self._state.now()):
            await self._notices.reach.note_failed(use.entry)
        if stage >= Stage.SENT:
            await self._notices.crashes.on_lost(
                use,
                call.request.request_id,
                call.suspect,
                call.events,
            )

    def _retry_or_raise(
        self,
        call: OnlineCall,
        stage: Stage,
        responder: Responder,
    ) -> None:
        time_left = call.deadline - self._state.now() > MIN_ATTEMPT_S
        attempts_left = call.attempts < call.route.max_attempts
        if stage < Stage.SENT:
            attempts_left = self._may_try_again(call)
        elif call.is_trial or not self._notices.crashes.may_repeat(
            call.service, call.suspect
        ):
            attempts_left = False
        outcome = next_action(
            Attempt(
                stage=stage,
                idempotent=call.route.idempotent,
                relayed=responder.started,
                resumable=call.route.resumable,
                may_retry=attempts_left,
                time_left=time_left,
            ),
        )
        # A refusal does not undo the effects of an earlier attempt that ran.
        if outcome is NextAction.NOT_RUN and call.attempts:
            outcome = NextAction.FAILED
        if outcome in {NextAction.RETRY, NextAction.RESUME}:
            self._state.metrics.retries.labels(call.route.name).inc()
            if outcome is NextAction.RESUME:
                self._attempts.limit_wait(call, RESUME_WAIT_S)
                self._notices.streams.raise_if_stranded(call)
            return
        if responder.started:
            responder.abort()
        raise make_failure(
            outcome,
            time_left=time_left,
            not_run=EndpointsFull(
                detail='no endpoint accepted the request',
                retry_after_s=0.5,
            ),
        )

    def _may_try_again(self, call: OnlineCall) -> bool:
        if self._resumes(call):
            return self._state.now() < call.resume_until
        if call.refusals + len(call.tried) >= MAX_TRIES:
            return False
        in_time = self._state.now() < call.arrived_at + call.route.target_s
        return in_time or not call.refusals

    def _resumes(self, call: OnlineCall) -> bool:
        return call.has_begun or self._attempts.has_left(call)

    def _queue(self, service: str) -> OnlineQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = OnlineQueue(
                state=self._state, service=service, attempts=self._attempts
            )
            self._queues[service] = queue
        return queue
