"""Stand-in for a plain HTTP service that counts its calls."""

import json
import os
from collections import Counter
from http import HTTPStatus

import curio
from jacinthmount_node.net.http_messages import HttpRequest, Responder
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import listen

from jacinthmount_standin.deadly import EXIT_CRASHED, find_deadly_events
from jacinthmount_standin.switches import Switches

__all__ = ('PlainService', 'run_plain')


class PlainService:
    """Echoes each body; reports the requests received at ``/stats``.

    It crashes at once on a deadly body or query.
    """

    __slots__ = ('_counts', '_received', '_switches')

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._received: list[str] = []
        self._switches = Switches(
            late_s=0.0,
            cut_before_answer=0,
            cut_mid_answer=0,
            crossed=0,
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles one HTTP request."""
        if await self._switches.handle(request, responder):
            return
        if request.path == '/stats':
            await responder.send_json(
                HTTPStatus.OK,
                {
                    'counts': dict(self._counts),
                    'seen': self._received,
                },
            )
            return
        body = (await request.read_body()).decode('utf-8', 'replace')
        for text in (body, *request.query.values()):
            if find_deadly_events(text) is not None:
                os._exit(EXIT_CRASHED)
        self._counts[body] += 1
        self._received.append(
            json.dumps([
                request.method,
                request.path,
                request.query,
                request.headers,
                body,
            ])
        )
        await self._switches.pause('late_s')
        if self._switches.count_down('cut_before_answer'):
            responder.abort()
            return
        request_id = request.headers.get('x-request-id', '')
        if self._switches.count_down('crossed'):
            request_id = 'req-of-another-caller'
        answer = json.dumps({'echo': body, 'count': self._counts[body]})
        if self._switches.count_down('cut_mid_answer'):
            await responder.start(HTTPStatus.OK, [('content-length', '1000')])
            await responder.write(answer[:5].encode())
            responder.abort()
            return
        await responder.send(
            HTTPStatus.OK,
            answer.encode(),
            [
                ('content-type', 'application/json'),
                ('x-request-id', request_id),
            ],
        )


def run_plain(address: str) -> None:
    """Runs the service until the process is terminated."""
    service = PlainService()
    server = HttpServer(sock=listen(address), handler=service.handle)
    curio.run(server.run)
