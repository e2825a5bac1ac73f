"""Stand-in of a model engine with continuous batching."""

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
from jacinthmount_node.net.http_server import (
    HttpRequest,
    HttpServer,
    Responder,
    parse_json_object,
)
from jacinthmount_node.net.sockets import listen

from jacinthmount_standin.loaded_model import LoadedModel
from jacinthmount_standin.prefix_cache import PrefixCache
from jacinthmount_standin.switches import Switches

__all__ = ('Engine', 'answer_text', 'run_engine')

DEFAULT_TOKENS = 16
PREFILL_S = 0.02
CACHED_PREFILL_S = 0.005
REPORT_LAG_S = 0.5
SWAP_WAIT_S = 2.0
CACHE_SIZE = 64
POISON = 'kill-engine'
EXIT_KILLED = 9


def answer_text(prompt: str, tokens: int) -> str:
    """Computes the whole answer that the engine gives to a prompt."""
    return ''.join(_token(prompt, index) for index in range(tokens))


class Engine:
    """Runs a number of requests at a time; others wait in order of arrival."""

    __slots__ = (
        '_cache',
        '_counts',
        '_model',
        '_partner',
        '_report',
        '_running',
        '_seen_keys',
        '_slots',
        '_swapped',
        '_switches',
        '_token_s',
        '_waiting',
    )

    def __init__(self, *, slots: int, token_s: float) -> None:
        """Starts idle.

        :param slots: requests that run at a time.
        :param token_s: seconds for one step of an idle engine.
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
        self._seen_keys: list[str] = []
        self._switches = Switches(
            cut_after_tokens=0,
            cuts=0,
            short_ends=0,
            late_s=0.0,
            crossed=0,
            swaps=0,
            fail=0,
            fenced=True,
            load_s=0.0,
            order_late_s=0.0,
            cache_size=CACHE_SIZE,
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answers one request."""
        self._note_keys(request)
        if await self._switches.handle(request, responder):
            return
        answers = {
            '/load': self._answer_load,
            '/stats': self._answer_stats,
            '/state': self._answer_state,
            '/cache-events': self._answer_events,
            '/orders': self._take_order,
        }
        answer = answers.get(request.path, self._answer_other)
        await answer(request, responder)

    async def run_reports(self) -> None:
        """Takes load reports, which lag behind."""
        while True:
            self._report = {
                'running': self._running,
                'waiting': len(self._waiting),
                'at': time.monotonic(),
            }
            await curio.sleep(REPORT_LAG_S)

    async def enter(self) -> None:
        """Waits for a slot."""
        if self._running < self._slots:
            self._running += 1
            return
        turn = curio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                await self.leave()
            else:
                self._waiting.remove(turn)
            raise

    async def leave(self) -> None:
        """Gives a slot to the next request."""
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
                'keys': self._seen_keys,
                'cached': self._cache.hits,
                'prefills': self._cache.uses,
                'swapped': self._swapped,
                'running': self._running,
                **self._model.stats(),
            },
        )

    async def _answer_events(
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
        packed = await request.read_body()
        body = parse_json_object(packed)
        request_id = request.headers.get('x-request-id', '')
        self._counts[request_id] = self._counts.get(request_id, 0) + 1
        if POISON in packed.decode():
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
        async with _Slot(engine=self):
            await curio.sleep(self._prefill_s(prompt))
            offset = int(request.headers.get('x-resume-offset', '0'))
            await self._generate(body, prompt, offset, request_id, responder)

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
        if not body.get('stream'):
            for _ in range(tokens):
                await curio.sleep(self._step_s())
            await responder.send_json(
                HTTPStatus.OK,
                _whole(
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
        for index in range(tokens):
            text = _token(prompt, index)
            done += len(text)
            if done <= offset:
                continue
            if self._cuts_now(index, 'cuts'):
                responder.abort()
                return
            if self._cuts_now(index, 'short_ends'):
                # The framing is whole, only the end mark is missing.
                await responder.finish()
                return
            await curio.sleep(self._step_s())
            last = index == tokens - 1
            chunk = _chunk(request_id, body, text, usage if last else None)
            await responder.write(f'data: {json.dumps(chunk)}\n\n'.encode())
        await responder.write(b'data: [DONE]\n\n')
        await responder.finish()

    async def _swap(self, request_id: str, prompt: str) -> tuple[str, str]:
        """Gives two requests in flight the answers of each other."""
        if self._partner is None:
            first = _Swap(request_id=request_id, prompt=prompt)
            self._partner = first
            async with curio.ignore_after(SWAP_WAIT_S):
                await first.done.wait()
            if self._partner is first:
                self._partner = None
            return first.request_id, first.prompt
        first = self._partner
        self._partner = None
        self._swapped += self._switches.count_down('swaps')
        theirs = (first.request_id, first.prompt)
        first.request_id = request_id
        first.prompt = prompt
        await first.done.set()
        return theirs

    def _cuts_now(self, index: int, switch: str) -> bool:
        after = self._switches.read('cut_after_tokens')
        return (
            bool(after)
            and index >= after
            and (self._switches.count_down(switch))
        )

    def _step_s(self) -> float:
        # A fuller engine takes longer for each step.
        return self._token_s * (1 + self._running / self._slots / 2)

    def _prefill_s(self, prompt: str) -> float:
        hit = self._cache.use(
            prefix_key(prompt),
            self._switches.read('cache_size'),
        )
        return CACHED_PREFILL_S if hit else PREFILL_S

    def _note_keys(self, request: HttpRequest) -> None:
        for name in ('authorization', 'x-api-key', 'cookie'):
            if name in request.headers:
                self._seen_keys.append(f'{name}')


class _Swap:
    __slots__ = ('done', 'prompt', 'request_id')

    def __init__(self, *, request_id: str, prompt: str) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.done = curio.Event()


class _Slot:
    __slots__ = ('_engine',)

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine

    async def __aenter__(self) -> None:
        await self._engine.enter()

    async def __aexit__(self, *_: object) -> None:
        await self._engine.leave()


def run_engine(address: str, slots: int, token_s: float) -> None:
    """Runs the stand-in until it is ended."""
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


def _whole(
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
