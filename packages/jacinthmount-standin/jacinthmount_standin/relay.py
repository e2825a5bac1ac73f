"""Stand-in for the network between data centres, with delays and cuts."""

import contextlib
from http import HTTPStatus
from pathlib import Path

import curio
from jacinthmount.records import Record, parse_json
from jacinthmount_node.net.http_messages import HttpRequest, Responder
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.sockets import connect, listen

from jacinthmount_standin.switches import Switches

__all__ = ('Relay', 'Route', 'RouteFile', 'run_relay')

READ_BYTES = 65_536
POLL_S = 0.01


class Route(Record):
    """A listening address and the target that it forwards to.

    ``source`` is the data centre of the connecting process. If it is empty,
    the data centre is looked up by the IP address of the connection.
    """

    __slots__ = ('listen', 'target', 'source', 'destination')

    listen: str
    target: str
    source: str
    destination: str


class RouteFile(Record):
    """All routes, and the data centre by the IP address of its hosts."""

    __slots__ = ('routes', 'data_centres')

    routes: list[Route]
    data_centres: dict[str, str]


class Relay:
    """Forwards bytes, or delays them while two data centres are cut.

    Delayed bytes are delivered once the cut has ended, as on a real network
    where connections outlive the cut.
    """

    __slots__ = ('_data_centres', '_switches')

    def __init__(self, *, data_centres: dict[str, str]) -> None:
        """Initialises the relay without cuts.

        :param data_centres: data centre by the IP address of its hosts.
        """
        self._data_centres = data_centres
        self._switches = Switches(cuts=[], delay_s=0.0)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles requests that change the switches."""
        if not await self._switches.handle(request, responder):
            await responder.send_json(HTTPStatus.NOT_FOUND, {})

    async def serve(self, route: Route) -> None:
        """Accepts and forwards connections of one route until cancelled."""
        sock = listen(route.listen)
        async with curio.TaskGroup(wait=None) as group:
            while True:
                client, address = await sock.accept()
                source = route.source or self._data_centres[address[0]]
                ends = (source, route.destination)
                await group.spawn(self._forward, client, route.target, ends)

    async def _forward(
        self, client, target: str, ends: tuple[str, str]
    ) -> None:
        async with client:
            await self._wait_connected(ends)
            with contextlib.suppress(OSError):
                await self._connect_pair(client, await connect(target), ends)

    async def _connect_pair(
        self, client, target, ends: tuple[str, str]
    ) -> None:
        async with target, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, target, ends)
            await group.spawn(self._copy, target, client, ends)

    async def _copy(self, source, target, ends: tuple[str, str]) -> None:
        with contextlib.suppress(OSError):
            while received := await source.recv(READ_BYTES):
                await self._wait_connected(ends)
                if ends[0] != ends[1]:
                    await self._switches.pause('delay_s')
                await target.sendall(received)

    async def _wait_connected(self, ends: tuple[str, str]) -> None:
        while sorted(ends) in self._switches.read('cuts'):
            await curio.sleep(POLL_S)


def run_relay(address: str, path: str) -> None:
    """Runs the relay until the process is terminated.

    :param address: IP:port on which the switches are set.
    :param path: path of the route file.
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
