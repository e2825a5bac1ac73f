"""HTTP front for callers: authentication, routing, request logs."""

import uuid
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from jacinthmount.declarations import Account, Profile, Route, Service
from jacinthmount.errors import (
    JacinthmountError,
    KeyMissing,
    MalformedRequest,
    NotFound,
    ShuttingDown,
    shorten,
)
from jacinthmount.files import ROUTE_URL_PREFIX
from jacinthmount.keys import KeyRecord, contains_key, parse_bearer
from jacinthmount.routing import prefix_key, read_prompt

from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.callers.calls import PlainRunner
from jacinthmount_node.callers.front_batches import (
    BATCHES_PATH,
    BatchRoutes,
    read_idempotency_key,
)
from jacinthmount_node.callers.front_files import FILES_PATH, FileRoutes
from jacinthmount_node.callers.gate import OnlineCall
from jacinthmount_node.callers.online import OnlineRunner
from jacinthmount_node.callers.plain_calls import PlainCall
from jacinthmount_node.logs import log_event
from jacinthmount_node.metrics import NO_ACCOUNT
from jacinthmount_node.net.http_messages import (
    HttpRequest,
    Responder,
    parse_json_object,
)
from jacinthmount_node.node import Node

__all__ = ('Front',)

# Both serve to estimate the size of a request for fair queueing.
DEFAULT_MAX_TOKENS = 256
CHARS_PER_TOKEN = 4
# No engine writes as many; much larger numbers can't be converted to a float.
MAX_OUTPUT_TOKENS = 1_000_000_000
MODEL_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
PATH_SAFE_CHARS = "/%:@!$&'()*+,;=~"


class Front:
    """Handles requests of callers."""

    __slots__ = (
        '_admission',
        '_batches',
        '_files',
        '_node',
        '_online',
        '_plain',
        'leaving',
    )

    def __init__(
        self,
        *,
        node: Node,
        admission: Admission,
        online: OnlineRunner,
        plain: PlainRunner,
        files: FileRoutes,
        batches: BatchRoutes,
    ) -> None:
        self._node = node
        self._admission = admission
        self._online = online
        self._plain = plain
        self._files = files
        self._batches = batches
        self.leaving = False

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles one request, counts and logs it."""
        if request.path in {'/healthz', '/readyz'}:
            await self._health(request, responder)
            return
        started_at = self._node.now()
        key = None
        code = 0
        try:
            key = self._authenticate(request)
            await self._dispatch(request, responder, key)
        except JacinthmountError as exc:
            code = exc.code
            raise
        finally:
            self._record_request(request, responder, key, code, started_at)

    def _record_request(
        self,
        request: HttpRequest,
        responder: Responder,
        key: KeyRecord | None,
        code: int,
        started_at: float,
    ) -> None:
        account = key.account if key else NO_ACCOUNT
        elapsed = self._node.now() - started_at
        metrics = self._node.metrics
        metrics.request_s.labels(account, 'online').observe(elapsed)
        if code:
            metrics.refusals.labels(account, str(code)).inc()
        log_event(
            'request',
            method=request.method,
            path=shorten(request.path),
            account=account,
            status=responder.status,
            code=code,
            elapsed_s=round(elapsed, 4),
        )

    async def _health(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        ready = request.path == '/healthz' or self._node.ready
        await responder.send_json(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
            {'ready': ready},
        )

    def _authenticate(self, request: HttpRequest) -> KeyRecord | None:
        header = request.headers.get('authorization')
        if header is None and 'x-api-key' in request.headers:
            header = f'Bearer {request.headers["x-api-key"]}'
        if header is not None:
            return self._node.keyring.check(parse_bearer(header))
        route = self._route(request.path)
        if route is not None and route.open:
            return None
        raise KeyMissing(detail='send Authorization: Bearer KEY')

    async def _dispatch(
        self,
        request: HttpRequest,
        responder: Responder,
        key: KeyRecord | None,
    ) -> None:
        if not self._node.loaded:
            raise ShuttingDown(detail='host is starting', retry_after_s=1)
        if request.path.startswith(ROUTE_URL_PREFIX):
            await self._call_service(request, responder, key)
            return
        if key is None:
            raise KeyMissing(detail='send Authorization: Bearer KEY')
        await self._dispatch_keyed(request, responder, key)

    async def _dispatch_keyed(
        self,
        request: HttpRequest,
        responder: Responder,
        key: KeyRecord,
    ) -> None:
        if request.method == 'POST' and request.path in MODEL_PATHS:
            await self._complete(request, responder, key)
        elif request.path.startswith(FILES_PATH):
            await self._files.handle(request, responder, key.account)
        elif request.path.startswith(BATCHES_PATH):
            await self._batches.handle(request, responder, key.account)
        elif (request.method, request.path) == ('GET', '/v1/models'):
            await self._list_models(responder)
        else:
            raise NotFound(detail=f'no route {shorten(request.path)}')

    async def _complete(
        self,
        request: HttpRequest,
        responder: Responder,
        key: KeyRecord,
    ) -> None:
        arrived_at = self._node.now()
        body = await request.read_body()
        await request.keep_parsed(body)
        call, profile = self._parse_completion(request, key, body, arrived_at)
        request.request_id = call.request_id
        call.deadline = self._fit_deadline(call.service, call.deadline)
        await self._admission.admit(key.account)
        await self._online.answer(call, profile, responder)

    def _parse_completion(
        self,
        request: HttpRequest,
        key: KeyRecord,
        packed: bytes,
        arrived_at: float,
    ) -> tuple[OnlineCall, Profile]:
        body = parse_json_object(packed)
        if contains_key(packed.decode('utf-8', 'replace')):
            raise MalformedRequest(detail='the body contains an API key')
        model = body.get('model')
        service = self._node.catalogue.find(Service, str(model))
        if service is None or service.kind != 'model':
            raise NotFound(detail=f'no model {shorten(str(model))}')
        profile = self._node.catalogue.find(Profile, service.profile)
        if profile is None or profile.lane != 'online':
            raise MalformedRequest(detail='the model only accepts batches')
        account = self._node.catalogue.find(Account, key.account)
        prompt = read_prompt(body)
        output_tokens = _read_output_tokens(body)
        call = OnlineCall(
            account=key.account,
            key_id=key.key_id,
            service=service.name,
            path=request.path,
            body=packed,
            stream=body.get('stream') is True,
            prefix=prefix_key(prompt),
            request_id=f'req-{uuid.uuid4().hex}',
            tokens=output_tokens + len(prompt) / CHARS_PER_TOKEN,
            weight=account.weight if account else 1.0,
            arrived_at=arrived_at,
            deadline=arrived_at + profile.deadline_s,
        )
        return call, profile

    async def _list_models(self, responder: Responder) -> None:
        models = [
            {
                'id': service.name,
                'object': 'model',
                'created': 0,
                'owned_by': 'jacinthmount',
            }
            for service in self._node.catalogue.list_records(Service)
            if service.kind == 'model'
        ]
        await responder.send_json(
            HTTPStatus.OK, {'object': 'list', 'data': models}
        )

    async def _call_service(
        self,
        request: HttpRequest,
        responder: Responder,
        key: KeyRecord | None,
    ) -> None:
        arrived_at = self._node.now()
        route = self._route(request.path)
        profile = (
            self._node.catalogue.profile_of(
                route.service,
            )
            if route
            else None
        )
        if route is None or profile is None:
            raise NotFound(detail=f'no route {shorten(request.path)}')
        call = PlainCall(
            account=key.account if key else '',
            key_id=key.key_id if key else '',
            service=route.service,
            method=request.method,
            target=_service_target(request),
            headers=request.headers,
            body=await _read_keyless_body(request),
            request_id=f'req-{uuid.uuid4().hex}',
            idempotency_key=read_idempotency_key(request),
            deadline=arrived_at + profile.deadline_s,
        )
        request.request_id = call.request_id
        call.deadline = self._fit_deadline(call.service, call.deadline)
        if key is not None:
            await self._admission.admit(key.account)
        answer = await self._plain.run(call, profile)
        await responder.send(answer.status, answer.body, answer.headers)

    def _fit_deadline(self, service: str, deadline: float) -> float:
        now = self._node.now()
        return self._node.stop.fit(now, deadline, service, now)

    def _route(self, path: str) -> Route | None:
        if not path.startswith(ROUTE_URL_PREFIX):
            return None
        return self._node.catalogue.find(Route, path.split('/')[2])


def _read_output_tokens(body: dict[str, Any]) -> int:
    limit = body.get('max_tokens') or body.get('max_completion_tokens')
    if not isinstance(limit, int):
        return DEFAULT_MAX_TOKENS
    if abs(limit) > MAX_OUTPUT_TOKENS:
        raise MalformedRequest(detail='max_tokens is too large')
    return limit


def _service_target(request: HttpRequest) -> str:
    # Drops query parameters with a key, which can have any name.
    target_path = quote(
        '/'.join(request.path.split('/')[3:]), safe=PATH_SAFE_CHARS
    )
    target_query = urlencode([
        pair for pair in request.query.items() if not contains_key(pair[1])
    ])
    return (
        f'/{target_path}?{target_query}' if target_query else f'/{target_path}'
    )


async def _read_keyless_body(request: HttpRequest) -> bytes:
    body = await request.read_body()
    if contains_key(body.decode('utf-8', 'replace')):
        raise MalformedRequest(detail='the body contains an API key')
    return body
