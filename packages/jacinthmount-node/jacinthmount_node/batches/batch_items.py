"""Runs one batch item on one endpoint."""

import json
import time
from http import HTTPStatus
from typing import Any

import curio
from jacinthmount.declarations import Endpoint, Profile
from jacinthmount.dispatch import Stage
from jacinthmount.errors import (
    EndlessAnswer,
    EndpointFailed,
    EndpointLost,
    GarbageKind,
    OtherVersion,
    OutcomeUnknown,
)
from jacinthmount.ports import BackendCall, BackendExchange
from jacinthmount.results import (
    DONE,
    FAILED,
    MAX_RESULT_BYTES,
    ResultRecord,
)

from jacinthmount_node.batches.batch_chunks import BatchItem
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.node import Node

__all__ = ('ItemOutcome', 'run_item')

STALL_TIMEOUT_S = 10.0
# An answer that is not streamed shows no progress before it is complete.
UNSTREAMED_TIMEOUT_S = 600.0
# Answers to requests with these fields can't be rebuilt from streamed text.
UNSTREAMED_FIELDS = frozenset(('tools', 'logprobs', 'n', 'functions'))


class ItemOutcome:
    """Outcome of one attempt at an item.

    ``record`` is None if the item should be tried again. ``endpoint_lost`` is
    set if the endpoint was lost while the item was in flight.
    """

    __slots__ = ('endpoint_lost', 'record')

    def __init__(
        self, *, record: ResultRecord | None, endpoint_lost: bool
    ) -> None:
        self.record = record
        self.endpoint_lost = endpoint_lost


async def run_item(
    node: Node,
    item: BatchItem,
    endpoint: Endpoint,
    profile: Profile,
    kind: str,
) -> ItemOutcome:
    """Makes one attempt at an item.

    Cancelling it keeps the text received so far.

    :param kind: kind of the service, ``model`` or ``plain``.
    """
    exchange = None
    stage = Stage.CONNECTING
    backend = node.backend(endpoint.service)
    try:
        exchange = await backend.open(
            endpoint.address,
            no_reuse=not profile.idempotent,
            request_id=item.name,
        )
        if kind == 'model':
            record = await _run_model(item, exchange)
        else:
            record = await _run_plain(item, exchange, profile)
    except OtherVersion:
        # It begins anew, since it is owed.
        item.text = ''
        if exchange is not None:
            await exchange.close()
        return ItemOutcome(record=None, endpoint_lost=False)
    except ATTEMPT_ERRORS as exc:
        if isinstance(exc, EndlessAnswer):
            # No other answer could go on after this text.
            item.text = ''
        if exchange is not None:
            stage = exchange.stage
            await exchange.close()
        return _classify_failure(item, stage, profile, exc)
    except BaseException:
        if exchange is not None:
            await exchange.close()
        raise
    await backend.release(exchange)
    return ItemOutcome(record=record, endpoint_lost=False)


def _classify_failure(
    item: BatchItem,
    stage: Stage,
    profile: Profile,
    exc: Exception,
) -> ItemOutcome:
    if stage >= Stage.SENT and not profile.idempotent:
        record = ResultRecord(
            line=item.line,
            state=FAILED,
            status=0,
            body='the item may have run and is not repeated',
            code=OutcomeUnknown.code,
        )
        return ItemOutcome(record=record, endpoint_lost=False)
    refused = isinstance(exc, EndpointFailed)
    lost = isinstance(exc, EndpointLost) or not refused
    endpoint_lost = stage >= Stage.SENT and lost
    if stage >= Stage.SENT and not endpoint_lost:
        item.attempts += 1
    if item.attempts >= profile.max_attempts:
        record = ResultRecord(
            line=item.line,
            state=FAILED,
            status=0,
            body=f'failed {item.attempts} times: {exc}',
            code=EndpointFailed.code,
        )
        return ItemOutcome(record=record, endpoint_lost=False)
    return ItemOutcome(record=None, endpoint_lost=endpoint_lost)


async def _run_model(
    item: BatchItem, exchange: BackendExchange
) -> ResultRecord:
    body = json.loads(item.request.body)
    streamed = not UNSTREAMED_FIELDS & set(body)
    body['stream'] = streamed
    encoded = json.dumps(body).encode()
    timeout_s = STALL_TIMEOUT_S if streamed else UNSTREAMED_TIMEOUT_S
    await with_timeout(
        timeout_s,
        exchange.send,
        _make_call(item, item.request.url, encoded),
    )
    if item.text and exchange.version != item.version:
        raise OtherVersion(detail=f'engine has {exchange.version}')
    item.version = exchange.version
    if exchange.status >= HTTPStatus.BAD_REQUEST or not streamed:
        answer = await with_timeout(timeout_s, exchange.read_body)
        return _make_record(item, exchange.status, answer)
    events = exchange.iter_events()
    while True:
        event = await with_timeout(STALL_TIMEOUT_S, anext, events, None)
        if event is None:
            break
        item.text += event.text
        exchange.held_bytes = len(item.text)
        EndlessAnswer.check(
            GarbageKind.RESULT, exchange.held_bytes, MAX_RESULT_BYTES
        )
    return ResultRecord(
        line=item.line,
        state=DONE,
        status=HTTPStatus.OK.value,
        body=json.dumps(_assemble(item, body, exchange.usage)),
        code=0,
    )


async def _run_plain(
    item: BatchItem,
    exchange: BackendExchange,
    profile: Profile,
) -> ResultRecord:
    target = f'/{item.request.url.split("/", 3)[-1]}'
    encoded = item.request.body.encode()
    call = _make_call(item, target, encoded)
    call.headers.append(('content-type', 'application/json'))
    async with curio.timeout_after(profile.deadline_s):
        await exchange.send(call)
        answer = await exchange.read_body()
    if (
        exchange.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        and profile.idempotent
    ):
        raise EndpointFailed(detail=f'status {exchange.status}')
    return _make_record(item, exchange.status, answer)


def _make_call(item: BatchItem, target: str, encoded: bytes) -> BackendCall:
    return BackendCall(
        method='POST',
        target=target,
        headers=[],
        body=encoded,
        request_id=item.name,
        account=item.chunk.batch.account,
        offset=len(item.text),
    )


def _make_record(
    item: BatchItem,
    status: int,
    answer: bytes,
) -> ResultRecord:
    try:
        body = json.dumps(json.loads(answer))
    except ValueError:
        body = json.dumps(answer.decode('utf-8', 'replace'))
    state = DONE if status < HTTPStatus.BAD_REQUEST else FAILED
    return ResultRecord(
        line=item.line,
        state=state,
        status=status,
        body=body,
        code=0,
    )


def _assemble(
    item: BatchItem,
    body: dict[str, Any],
    usage: dict[str, Any] | None,
) -> dict[str, Any]:
    chat = 'chat' in item.request.url
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': item.text}
    else:
        choice['text'] = item.text
    return {
        'id': item.name,
        'object': 'chat.completion' if chat else 'text_completion',
        'created': int(time.time()),
        'model': body.get('model', ''),
        'choices': [choice],
        'usage': usage,
    }
