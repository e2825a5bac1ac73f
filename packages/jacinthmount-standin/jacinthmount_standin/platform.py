"""Stand-in for the platform: object API, host list, weight store."""

import time
from collections import Counter
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import curio
from jacinthmount.errors import StoreConflict, ValueTooLarge
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.http_messages import (
    HttpRequest,
    Responder,
    parse_json_object,
)
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import listen

from jacinthmount_standin.switches import Switches

__all__ = ('Platform', 'run_platform')

OBJECTS_PREFIX = '/objects/'
WEIGHTS_PREFIX = '/weights/'
MAX_BODY_BYTES = 1_100_000


class Platform:
    """Object store with versions, conditional updates and watches.

    It also serves the host list and the sizes of weight files.
    """

    __slots__ = (
        '_calls',
        '_changed',
        '_calls_in_second',
        '_hosts',
        '_rate_second',
        '_store',
        '_switches',
    )

    def __init__(self) -> None:
        self._store = MemoryStore()
        self._changed = curio.Condition()
        self._hosts: list[dict[str, Any]] = []
        self._calls: Counter[str] = Counter()
        self._calls_in_second: Counter[str] = Counter()
        self._rate_second = 0
        self._switches = Switches(
            outage=False,
            slow_s=0.0,
            lose_answers=0,
            lose_requests=0,
            # Whether watch calls get no answer.
            lose_watches=False,
            weights={},
            reads_per_s=0,
            writes_per_s=0,
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles one HTTP request."""
        if await self._switches.handle(request, responder):
            return
        if request.path == '/calls':
            await responder.send_json(HTTPStatus.OK, dict(self._calls))
            return
        if request.path == '/host-list' and request.method == 'PUT':
            self._hosts = parse_json_object(await request.read_body())['hosts']
            await responder.send_json(HTTPStatus.OK, {})
            return
        if self._switches.read('outage'):
            responder.abort()
            return
        self._calls[f'{request.method} {request.path.split("/")[1]}'] += 1
        if self._exceeds_rate(request.method):
            await responder.send_json(HTTPStatus.TOO_MANY_REQUESTS, {})
            return
        await self._switches.pause('slow_s')
        await self._dispatch(request, responder)

    def _exceeds_rate(self, method: str) -> bool:
        kind = 'reads_per_s' if method == 'GET' else 'writes_per_s'
        limit = self._switches.read(kind)
        second = int(time.monotonic())
        if second != self._rate_second:
            self._rate_second = second
            self._calls_in_second.clear()
        self._calls_in_second[kind] += 1
        return bool(limit) and self._calls_in_second[kind] > limit

    async def _dispatch(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        kind = request.path.split('/')[1]
        answers = {
            'objects': self._handle_object,
            'list': self._list_objects,
            'watch': self._watch_objects,
            'weights': self._read_weight_size,
            'host-list': self._list_hosts,
        }
        answer = answers.get(kind)
        if answer is None:
            await responder.send_json(HTTPStatus.NOT_FOUND, {})
        else:
            await answer(request, responder)

    async def _handle_object(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        name = unquote(request.path.removeprefix(OBJECTS_PREFIX))
        if request.method == 'GET':
            await self._read_object(name, responder)
        else:
            await self._write_object(name, request, responder)

    async def _list_objects(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        listing = await self._store.list_names(request.query['prefix'])
        await responder.send_json(
            HTTPStatus.OK,
            {
                'objects': [
                    _object_fields(stored) for stored in listing.objects
                ],
                'revision': listing.revision,
            },
        )

    async def _list_hosts(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        await responder.send_json(HTTPStatus.OK, {'hosts': self._hosts})

    async def _read_weight_size(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        name = unquote(request.path.removeprefix(WEIGHTS_PREFIX))
        size = self._switches.read('weights').get(name)
        if size is None:
            await responder.send_json(HTTPStatus.NOT_FOUND, {})
            return
        await responder.send_json(HTTPStatus.OK, {'bytes': size})

    async def _read_object(self, name: str, responder: Responder) -> None:
        stored = await self._store.read(name)
        if stored is None:
            await responder.send_json(HTTPStatus.NOT_FOUND, {})
            return
        await responder.send_json(HTTPStatus.OK, _object_fields(stored))

    async def _write_object(
        self,
        name: str,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        body = (await request.read_body(MAX_BODY_BYTES)).decode()
        if self._switches.count_down('lose_requests'):
            responder.abort()
            return
        expected = ABSENT
        if request.headers.get('if-none-match') != '*':
            expected = int(request.headers['if-match'])
        try:
            version = await self._apply_write(
                request.method, name, body, expected
            )
        except StoreConflict as exc:
            await responder.send_json(
                HTTPStatus.PRECONDITION_FAILED, {'version': exc.version}
            )
            return
        except ValueTooLarge:
            await responder.send_json(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {})
            return
        async with self._changed:
            await self._changed.notify_all()
        if self._switches.count_down('lose_answers'):
            responder.abort()
            return
        await responder.send_json(HTTPStatus.OK, {'version': version})

    async def _apply_write(
        self,
        method: str,
        name: str,
        body: str,
        expected: int,
    ) -> int:
        if method == 'DELETE':
            return await self._store.delete(name, expected)
        return await self._store.write(name, body, expected)

    async def _watch_objects(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        if self._switches.read('lose_watches'):
            await self._switches.lose_call()
        prefix = request.query['prefix']
        after = int(request.query['after'])
        changes: list[Stored] = []
        async with curio.ignore_after(float(request.query['wait'])):
            changes = await self._wait_changes(prefix, after)
        if self._switches.read('outage'):
            responder.abort()
            return
        await responder.send_json(
            HTTPStatus.OK,
            {'objects': [_object_fields(stored) for stored in changes]},
        )

    async def _wait_changes(self, prefix: str, after: int) -> list[Stored]:
        while True:
            changes = await self._store.watch(prefix, after, 0)
            if changes:
                return changes
            async with self._changed:
                await self._changed.wait()


def run_platform(address: str) -> None:
    """Runs the platform until the process is terminated."""
    platform = Platform()
    server = HttpServer(sock=listen(address), handler=platform.handle)
    curio.run(server.run)


def _object_fields(stored: Stored) -> dict[str, Any]:
    return {
        'name': stored.name,
        'version': stored.version,
        'body': stored.body,
    }
