"""Calls to plain services; calls that are not idempotent run at most once."""

from http import HTTPStatus

import curio
from jacinthmount.declarations import Profile
from jacinthmount.dispatch import (
    Attempt,
    NextAction,
    Stage,
    correct_refusal,
    next_action_within,
)
from jacinthmount.errors import (
    AnswerNotKept,
    CallInProgress,
    DeadlineUnreachable,
    EndpointFailed,
    IdempotencyMismatch,
    JacinthmountError,
    OutcomeUnknown,
    RequestBlocked,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.idempotency import (
    CALL_ANSWERED,
    CALL_NOT_RUN,
    CALL_STARTED,
    MAX_KEPT_ANSWER_BYTES,
    CallDecision,
    CallRecord,
    call_name,
    decide_call,
    hash_request,
)
from jacinthmount.ports import ABSENT, BackendCall, BackendExchange
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.routing import EndpointState
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.callers.failed_attempts import (
    close_exchange,
    end_failed_attempt,
)
from jacinthmount_node.callers.plain_calls import PlainAnswer, PlainCall
from jacinthmount_node.engines.crash_watch import (
    CrashWatch,
    refuse_blocked,
)
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.logs import log_event
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS
from jacinthmount_node.node import Node

__all__ = ('PlainRunner',)

SAFE_METHODS = frozenset(('GET', 'HEAD'))
# Only these request headers are forwarded, since a caller may have put its key
# in any other.
REQUEST_HEADERS = ('content-type', 'accept', 'accept-language')
ANSWER_HEADERS = ('content-type', 'cache-control', 'etag', 'last-modified')


class PlainRunner:
    """Runs calls to plain services."""

    __slots__ = (
        '_capacity',
        '_crashes',
        '_node',
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

    async def run(self, call: PlainCall, profile: Profile) -> PlainAnswer:
        """Runs a call.

        A call with an idempotency key is recorded if its method or profile does
        not allow repetition.

        :raises IdempotencyMismatch: the key was used with another request.
        :raises CallInProgress: the first call with the key has no answer yet.
        :raises OutcomeUnknown: the call may have run.
        :raises StoreUnavailable: the record was not written; the call did not
            run.
        """
        if self._repeatable(call, profile):
            return await self._run_attempts(call, profile)
        if call.idempotency_key and call.account:
            return await self._run_recorded(call, profile)
        return await self._run_attempts(call, profile)

    def _repeatable(self, call: PlainCall, profile: Profile) -> bool:
        return profile.idempotent or call.method in SAFE_METHODS

    async def _run_recorded(
        self,
        call: PlainCall,
        profile: Profile,
    ) -> PlainAnswer:
        name = call_name(call.account, call.idempotency_key)
        request_hash = hash_request(call.method, call.target, call.body)
        stored = await self._node.store.read(name)
        record = parse_json(CallRecord, stored.body or '') if stored else None
        verdict = decide_call(record, request_hash)
        if verdict is CallDecision.REPLAY and record is not None:
            return _replay_answer(record)
        _raise_unless_run(verdict)
        started = CallRecord(
            request_hash=request_hash,
            state=CALL_STARTED,
            status=0,
            content_type='',
            body='',
            kept=False,
            holder=self._node.host,
            write_id=new_write_id(),
        )
        try:
            version = await write_with_retry(
                self._node.store,
                name,
                serialize_json(started),
                stored.version if stored else ABSENT,
            )
        except StoreConflict:
            raise CallInProgress(
                detail='another call with this key is running',
                retry_after_s=1,
            ) from None
        return await self._run_started(call, profile, name, started, version)

    async def _run_started(
        self,
        call: PlainCall,
        profile: Profile,
        name: str,
        started: CallRecord,
        version: int,
    ) -> PlainAnswer:
        try:
            answer = await self._run_attempts(call, profile)
        except (DeadlineUnreachable, RequestBlocked):
            ended = replaced(
                started,
                state=CALL_NOT_RUN,
                write_id=new_write_id(),
            )
            await self._record_end(name, ended, version)
            raise
        kept = len(answer.body) <= MAX_KEPT_ANSWER_BYTES
        ended = replaced(
            started,
            state=CALL_ANSWERED,
            status=answer.status,
            content_type=dict(answer.headers).get('content-type', ''),
            body=answer.body.decode('latin-1') if kept else '',
            kept=kept,
            write_id=new_write_id(),
        )
        await self._record_end(name, ended, version)
        return answer

    async def _record_end(
        self,
        name: str,
        ended: CallRecord,
        version: int,
    ) -> None:
        try:
            await write_with_retry(
                self._node.store,
                name,
                serialize_json(ended),
                version,
            )
        except (StoreUnavailable, StoreConflict) as exc:
            # The record stays in the state "started", so the call never runs
            # again.
            log_event('call_record', detail=exc.detail)

    async def _run_attempts(
        self,
        call: PlainCall,
        profile: Profile,
    ) -> PlainAnswer:
        repeatable = self._repeatable(call, profile)
        tried: set[str] = set()
        attempts = 0
        node = self._node
        is_trial = self._crashes.admit(call.suspect)
        node.budget.on_request()
        while True:
            try:
                state = self._next_endpoint(call, tried, is_trial=is_trial)
            except JacinthmountError as exc:
                raise correct_refusal(exc, may_have_run=call.runs > 0) from exc
            if is_trial:
                await self._crashes.begin_trial(call.suspect)
            result = await self._attempt(call, state, no_reuse=not repeatable)
            if isinstance(result, PlainAnswer):
                return result
            tried.add(state.endpoint.name)
            time_left = call.deadline > node.now()
            attempts += 1
            attempts_left = (
                attempts < profile.max_attempts
                and not is_trial
                and self._crashes.may_repeat(call.suspect)
                and node.router(call.service).worth_retry(
                    result, tried, node.now()
                )
            )
            outcome = next_action_within(
                Attempt(
                    stage=result,
                    idempotent=repeatable,
                    relayed=False,
                    resumable=False,
                    may_retry=attempts_left,
                    time_left=time_left,
                ),
                self._node.budget,
                self._node.now(),
            )
            if outcome is not NextAction.RETRY:
                raise correct_refusal(
                    _failure(outcome), may_have_run=call.runs > 0
                )

    def _next_endpoint(
        self, call: PlainCall, tried: set[str], *, is_trial: bool
    ) -> EndpointState:
        if not is_trial:
            refuse_blocked(self._node.breaker, call.suspect, call.runs)
        return self._choose(call, tried)

    def _choose(self, call: PlainCall, tried: set[str]) -> EndpointState:
        node = self._node
        if call.key_id:
            node.keyring.recheck(call.key_id)
        state = node.router(call.service).choose(
            call.request_id,
            tried,
            node.now(),
        )
        if state is None:
            raise DeadlineUnreachable(
                detail='no endpoint is available',
                retry_after_s=1,
            )
        return state

    async def _attempt(
        self,
        call: PlainCall,
        state: EndpointState,
        *,
        no_reuse: bool,
    ) -> PlainAnswer | Stage:
        node = self._node
        started_at = node.now()
        exchange = None
        state.online += 1
        await self._capacity.update_online(state)
        try:
            async with curio.timeout_after(call.deadline - started_at):
                exchange = await node.plain.open(
                    state.endpoint.address,
                    no_reuse=no_reuse,
                    request_id=call.request_id,
                )
                answer = await self._exchange(call, exchange)
        except ATTEMPT_ERRORS:
            state.on_failure(node.now())
            return await end_failed_attempt(
                node, self._crashes, call, state, exchange, started_at
            )
        except BaseException:
            await close_exchange(exchange)
            raise
        finally:
            state.online -= 1
            await self._capacity.update_online(state)
        state.on_success(node.now() - started_at)
        node.stop.note_run(call.service, node.now() - started_at)
        await node.plain.release(exchange)
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            await self._crashes.on_answer(call.suspect)
        return answer

    async def _exchange(
        self,
        call: PlainCall,
        exchange: BackendExchange,
    ) -> PlainAnswer:
        headers = [
            (name, call.headers[name])
            for name in REQUEST_HEADERS
            if name in call.headers
        ]
        await exchange.send(
            BackendCall(
                method=call.method,
                target=call.target,
                headers=headers,
                body=call.body,
                request_id=call.request_id,
                account=call.account,
                offset=0,
            ),
        )
        body = await exchange.read_body()
        relayed = [
            (name, exchange.headers[name])
            for name in ANSWER_HEADERS
            if name in exchange.headers
        ]
        return PlainAnswer(status=exchange.status, headers=relayed, body=body)


def _replay_answer(record: CallRecord) -> PlainAnswer:
    if not record.kept:
        raise AnswerNotKept(detail='the first answer was too large to keep')
    headers = [('x-replayed', 'yes')]
    if record.content_type:
        headers.append(('content-type', record.content_type))
    return PlainAnswer(
        status=record.status,
        headers=headers,
        body=record.body.encode('latin-1'),
    )


def _raise_unless_run(verdict: CallDecision) -> None:
    if verdict is CallDecision.MISMATCH:
        raise IdempotencyMismatch(detail='the key was used with another body')
    if verdict is CallDecision.UNKNOWN:
        raise OutcomeUnknown(detail='the first call with this key may have run')


def _failure(outcome: NextAction) -> JacinthmountError:
    if outcome is NextAction.NOT_RUN:
        return DeadlineUnreachable(
            detail='no endpoint was reachable',
            retry_after_s=1,
        )
    if outcome is NextAction.UNKNOWN:
        return OutcomeUnknown(detail='the connection was lost')
    return EndpointFailed(detail='endpoints failed', retry_after_s=1)
