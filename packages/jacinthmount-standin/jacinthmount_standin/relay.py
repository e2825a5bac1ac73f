"""Stand-in of the network between data centres: delays and cuts."""

import contextlib
from http import HTTPStatus
from pathlib import Path

import curio
from jacinthmount.records import Record, parse_json
from jacinthmount_node.net.http_server import HttpRequest, HttpServer, Responder
from jacinthmount_node.net.sockets import connect, listen

from jacinthmount_standin.switches import Switches

__all__ = ('Relay', 'Route', 'RouteFile', 'run_relay')

READ_BYTES = 65_536
POLL_S = 0.01


class Route(Record):
    """An address that stands for another one.

    ``source`` names the data centre of whoever connects; where it is empty,
    the address that they connect from tells it.
    """

    __slots__ = ('listen', 'target', 'source', 'destination')

    listen: str
    target: str
    source: str
    destination: str


class RouteFile(Record):
    """All routes, and the data centre by the IP number of its hosts."""

    __slots__ = ('routes', 'data_centres')

    routes: list[Route]
    data_centres: dict[str, str]


class Relay:
    """Passes bytes on, or holds them back while two places are cut.

    What is held back arrives once the cut has ended, as on a real network
    whose connections outlive it.
    """

    __slots__ = ('_data_centres', '_switches')

    def __init__(self, *, data_centres: dict[str, str]) -> None:
        """Starts without cuts."""
        self._data_centres = data_centres
        self._switches = Switches(cuts=[], delay_s=0.0)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answers requests to change the switches."""
        if not await self._switches.handle(request, responder):
            await responder.send_json(HTTPStatus.NOT_FOUND, {})

    async def serve(self, route: Route) -> None:
        """Accepts connections of one route until cancelled."""
        sock = listen(route.listen)
        async with curio.TaskGroup(wait=None) as group:
            while True:
                near, address = await sock.accept()
                source = route.source or self._data_centres[address[0]]
                ends = (source, route.destination)
                await group.spawn(self._pass, near, route.target, ends)

    async def _pass(self, near, target: str, ends: tuple[str, str]) -> None:
        async with near:
            await self._wait_open(ends)
            with contextlib.suppress(OSError):
                await self._join(near, await connect(target), ends)

    async def _join(self, near, far, ends: tuple[str, str]) -> None:
        async with far, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._pump, near, far, ends)
            await group.spawn(self._pump, far, near, ends)

    async def _pump(self, near, far, ends: tuple[str, str]) -> None:
        with contextlib.suppress(OSError):
            while received := await near.recv(READ_BYTES):
                await self._wait_open(ends)
                if ends[0] != ends[1]:
                    await self._switches.pause('delay_s')
                await far.sendall(received)

    async def _wait_open(self, ends: tuple[str, str]) -> None:
        while sorted(ends) in self._switches.read('cuts'):
            await curio.sleep(POLL_S)


def run_relay(address: str, path: str) -> None:
    """Runs the stand-in until it is ended.

    :param address: where its switches are set.
    :param path: file of the routes.
    """
    routes = parse_json(RouteFile, Path(path).read_text())
    curio.run(_serve, address, routes)


async def _serve(address: str, routes: RouteFile) -> None:
    relay = Relay(data_centres=routes.data_centres)
    server = HttpServer(sock=listen(address), handler=relay.handle)
    async with curio.TaskGroup() as group:
        await group.spawn(server.run)
        for route in routes.routes:
            await group.spawn(relay.serve, route)
