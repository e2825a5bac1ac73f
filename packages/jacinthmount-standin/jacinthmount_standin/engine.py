"""Stand-in for a model engine with continuous batching."""

import json
import os
import time
from collections import deque
from http import HTTPStatus
from typing import Any

import curio
from jacinthmount.hashing import hash_hex
from jacinthmount.records import serialize_json
from jacinthmount.routing import prefix_key, read_prompt
from jacinthmount_node.net.http_messages import (
    HttpRequest,
    Responder,
    parse_json_object,
)
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import listen

from jacinthmount_standin.deadly import EXIT_CRASHED, find_deadly_events
from jacinthmount_standin.loaded_model import LoadedModel
from jacinthmount_standin.prefix_cache import PrefixCache
from jacinthmount_standin.switches import Switches

__all__ = ('Engine', 'answer_text', 'run_engine')

DEFAULT_TOKENS = 16
PREFILL_S = 0.02
CACHED_PREFILL_S = 0.005
REPORT_INTERVAL_S = 0.5
SWAP_TIMEOUT_S = 2.0
DEFAULT_CACHE_SIZE = 64
POISON = 'kill-engine'
EXIT_KILLED = 9


def answer_text(prompt: str, tokens: int) -> str:
    """Returns the complete answer of the engine to a prompt."""
    return ''.join(_token(prompt, index) for index in range(tokens))


class Engine:
    """Runs up to ``slots`` requests at a time; others queue in order."""

    __slots__ = (
        '_cache',
        '_counts',
        '_model',
        '_partner',
        '_report',
        '_running',
        '_seen_credentials',
        '_slots',
        '_swapped',
        '_switches',
        '_token_s',
        '_waiting',
    )

    def __init__(self, *, slots: int, token_s: float) -> None:
        """Initialises an idle engine.

        :param slots: maximum number of concurrent requests.
        :param token_s: seconds per decoding step of an idle engine.
        """
        self._slots = slots
        self._token_s = token_s
        self._running = 0
        self._waiting: deque[curio.Event] = deque()
        self._cache = PrefixCache()
        self._report = {'running': 0, 'waiting': 0, 'at': time.monotonic()}
        self._model = LoadedModel()
        self._partner: _Swap | None = None
        self._swapped = 0
        self._counts: dict[str, int] = {}
        self._seen_credentials: list[str] = []
        self._switches = Switches(
            cut_after_tokens=0,
            cuts=0,
            short_ends=0,
            late_s=0.0,
            crossed=0,
            swaps=0,
            fail=0,
            fenced=True,
            mended=False,
            load_s=0.0,
            order_late_s=0.0,
            cache_size=DEFAULT_CACHE_SIZE,
            version='',
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles one HTTP request."""
        self._record_credentials(request)
        if await self._switches.handle(request, responder):
            return
        answers = {
            '/load': self._answer_load,
            '/stats': self._answer_stats,
            '/state': self._answer_state,
            '/cache-events': self._answer_cache_events,
            '/orders': self._take_order,
        }
        answer = answers.get(request.path, self._answer_other)
        await answer(request, responder)

    async def run_reports(self) -> None:
        """Refreshes the load report periodically, so that it lags behind."""
        while True:
            self._report = {
                'running': self._running,
                'waiting': len(self._waiting),
                'at': time.monotonic(),
            }
            await curio.sleep(REPORT_INTERVAL_S)

    async def enter(self) -> None:
        """Takes a slot, waiting until one is free."""
        if self._running < self._slots:
            self._running += 1
            return
        slot_granted = curio.Event()
        self._waiting.append(slot_granted)
        try:
            await slot_granted.wait()
        except BaseException:
            if slot_granted.is_set():
                await self.leave()
            else:
                self._waiting.remove(slot_granted)
            raise

    async def leave(self) -> None:
        """Passes the slot to the next waiting request, or frees it."""
        if self._waiting:
            await self._waiting.popleft().set()
        else:
            self._running -= 1

    async def _answer_other(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        if request.method == 'POST':
            await self._complete(request, responder)
        else:
            await responder.send_json(HTTPStatus.NOT_FOUND, {})

    async def _answer_load(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        await responder.send_json(
            HTTPStatus.OK,
            {
                'running': self._report['running'],
                'waiting': self._report['waiting'],
                'slots': self._slots,
                'age_s': time.monotonic() - self._report['at'],
            },
        )

    async def _answer_stats(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        await responder.send_json(
            HTTPStatus.OK,
            {
                'counts': self._counts,
                'keys': self._seen_credentials,
                'cached': self._cache.hits,
                'prefills': self._cache.uses,
                'swapped': self._swapped,
                'running': self._running,
                **self._model.stats(),
            },
        )

    async def _answer_cache_events(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        page = self._cache.page(int(request.query['after']))
        await responder.send(
            HTTPStatus.OK,
            serialize_json(page).encode(),
            [('content-type', 'application/json')],
        )

    async def _answer_state(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        await self._model.answer_state(responder)

    async def _take_order(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        await self._model.take_order(
            request,
            responder,
            self._switches,
            self._running,
        )

    async def _complete(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        raw_body = await request.read_body()
        body = parse_json_object(raw_body)
        request_id = request.headers.get('x-request-id', '')
        self._counts[request_id] = self._counts.get(request_id, 0) + 1
        if POISON in raw_body.decode() and not self._switches.read('mended'):
            await curio.sleep(self._token_s)
            os._exit(EXIT_KILLED)
        if self._model.loading():
            self._model.refused += 1
            await responder.send_json(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'loading'},
                [('x-request-id', request_id)],
            )
            return
        if self._switches.count_down('fail'):
            await responder.send_json(
                HTTPStatus.INTERNAL_SERVER_ERROR, {'error': 'failed'}
            )
            return
        prompt = read_prompt(body)
        if self._switches.count_down('crossed'):
            request_id = 'req-of-another-caller'
            prompt = 'prompt of another caller'
        if self._switches.read('swaps'):
            request_id, prompt = await self._swap(request_id, prompt)
        await self._switches.pause('late_s')
        async with _SlotContext(engine=self):
            await curio.sleep(self._prefill_s(prompt))
            offset = int(request.headers.get('x-resume-offset', '0'))
            await self._generate(body, prompt, offset, request_id, responder)

    def _crash_if_deadly(self, prompt: str, events: int) -> None:
        deadly_events = find_deadly_events(prompt)
        if deadly_events == events and not self._switches.read('mended'):
            os._exit(EXIT_CRASHED)

    async def _generate(
        self,
        body: dict[str, Any],
        prompt: str,
        offset: int,
        request_id: str,
        responder: Responder,
    ) -> None:
        tokens = int(body.get('max_tokens') or DEFAULT_TOKENS)
        usage = {
            'prompt_tokens': len(prompt) // 4,
            'completion_tokens': tokens,
            'total_tokens': len(prompt) // 4 + tokens,
        }
        headers = [('x-request-id', request_id)]
        version = self._switches.read('version')
        if version:
            headers.append(('x-engine-version', version))
        if not body.get('stream'):
            for index in range(tokens):
                self._crash_if_deadly(prompt, index)
                await curio.sleep(self._step_s())
            await responder.send_json(
                HTTPStatus.OK,
                _completion(
                    request_id,
                    body,
                    answer_text(prompt, tokens),
                    usage,
                ),
                headers,
            )
            return
        await responder.start(
            HTTPStatus.OK,
            [
                ('content-type', 'text/event-stream'),
                *headers,
            ],
        )
        done = 0
        events = 0
        for index in range(tokens):
            text = _token(prompt, index)
            done += len(text)
            if done <= offset:
                continue
            self._crash_if_deadly(prompt, events)
            events += 1
            if self._should_cut(index, 'cuts'):
                responder.abort()
                return
            if self._should_cut(index, 'short_ends'):
                # Ends with complete HTTP framing, but without `[DONE]`.
                await responder.finish()
                return
            await curio.sleep(self._step_s())
            last = index == tokens - 1
            chunk = _chunk(request_id, body, text, usage if last else None)
            chunk['system_fingerprint'] = version
            await responder.write(f'data: {json.dumps(chunk)}\n\n'.encode())
        await responder.write(b'data: [DONE]\n\n')
        await responder.finish()

    async def _swap(self, request_id: str, prompt: str) -> tuple[str, str]:
        """Exchanges the ids and prompts of two requests in flight."""
        if self._partner is None:
            first = _Swap(request_id=request_id, prompt=prompt)
            self._partner = first
            async with curio.ignore_after(SWAP_TIMEOUT_S):
                await first.done.wait()
            if self._partner is first:
                self._partner = None
            return first.request_id, first.prompt
        first = self._partner
        self._partner = None
        self._swapped += self._switches.count_down('swaps')
        exchanged = (first.request_id, first.prompt)
        first.request_id = request_id
        first.prompt = prompt
        await first.done.set()
        return exchanged

    def _should_cut(self, index: int, switch: str) -> bool:
        after = self._switches.read('cut_after_tokens')
        return (
            bool(after)
            and index >= after
            and (self._switches.count_down(switch))
        )

    def _step_s(self) -> float:
        # A decoding step takes longer the more requests are running.
        return self._token_s * (1 + self._running / self._slots / 2)

    def _prefill_s(self, prompt: str) -> float:
        cached = self._cache.use(
            prefix_key(prompt),
            self._switches.read('cache_size'),
        )
        return CACHED_PREFILL_S if cached else PREFILL_S

    def _record_credentials(self, request: HttpRequest) -> None:
        for name in ('authorization', 'x-api-key', 'cookie'):
            if name in request.headers:
                self._seen_credentials.append(f'{name}')


class _Swap:
    __slots__ = ('done', 'prompt', 'request_id')

    def __init__(self, *, request_id: str, prompt: str) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.done = curio.Event()


class _SlotContext:
    __slots__ = ('_engine',)

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine

    async def __aenter__(self) -> None:
        await self._engine.enter()

    async def __aexit__(self, *_: object) -> None:
        await self._engine.leave()


def run_engine(address: str, slots: int, token_s: float) -> None:
    """Runs the engine until the process is terminated."""
    curio.run(_serve, address, slots, token_s)


async def _serve(address: str, slots: int, token_s: float) -> None:
    engine = Engine(slots=slots, token_s=token_s)
    server = HttpServer(sock=listen(address), handler=engine.handle)
    async with curio.TaskGroup() as group:
        await group.spawn(engine.run_reports)
        await group.spawn(server.run)


def _token(prompt: str, index: int) -> str:
    return f'{hash_hex(f"{prompt}{index}")[:5]} '


def _chunk(
    request_id: str,
    body: dict[str, Any],
    text: str,
    usage: dict[str, int] | None,
) -> dict[str, Any]:
    return {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': body.get('model'),
        'choices': [
            {
                'index': 0,
                'delta': {'content': text},
                'finish_reason': 'stop' if usage else None,
            }
        ],
        'usage': usage,
    }


def _completion(
    request_id: str,
    body: dict[str, Any],
    text: str,
    usage: dict[str, int],
) -> dict[str, Any]:
    return {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion',
        'created': 0,
        'model': body.get('model'),
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': 'stop',
            }
        ],
        'usage': usage,
    }
