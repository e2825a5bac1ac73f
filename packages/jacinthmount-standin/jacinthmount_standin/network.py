"""Addresses of a fleet, and the network between its data centres."""

from http import HTTPStatus
from pathlib import Path

from jacinthmount.records import serialize_json

from jacinthmount_standin.addresses import LOOPBACK, PortReserve
from jacinthmount_standin.callers import call_http
from jacinthmount_standin.relay import Route, RouteFile

__all__ = ('PLATFORM', 'HostPorts', 'Network')

PLATFORM = 'platform'


class HostPorts:
    """A host of the fleet and its ports."""

    __slots__ = ('admin', 'data_centre', 'front', 'host', 'ip', 'peer')

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        ip: str,
        reserve: PortReserve,
    ) -> None:
        """Takes ports of the reserve.

        :param ip: IP number of the hosts of its data centre.
        """
        self.host = host
        self.data_centre = data_centre
        self.ip = ip
        front, admin = reserve.take(2)
        self.front = front
        self.admin = admin
        self.peer = reserve.take(1, ip)[0]


class Network:
    """Who reaches whom: directly, or by a relay that can cut and delay."""

    __slots__ = (
        '_hosts',
        '_peer_ports',
        '_platform_port',
        '_platform_ports',
        'port',
        'relayed',
    )

    def __init__(
        self,
        *,
        hosts: dict[str, HostPorts],
        platform_port: int,
        reserve: PortReserve,
        relayed: bool,
    ) -> None:
        """Takes a port for each address that the relay stands for."""
        self._hosts = hosts
        self._platform_port = platform_port
        self.relayed = relayed
        self.port = reserve.take(1)[0]
        places = sorted({ports.data_centre for ports in hosts.values()})
        self._peer_ports = {host: reserve.take(1)[0] for host in hosts}
        self._platform_ports = {place: reserve.take(1)[0] for place in places}

    def peer_address(self, host: str) -> str:
        """Names the address under which other hosts reach a host."""
        if self.relayed:
            return f'{LOOPBACK}:{self._peer_ports[host]}'
        ports = self._hosts[host]
        return f'{ports.ip}:{ports.peer}'

    def platform_address(self, data_centre: str) -> str:
        """Names the address under which a data centre has the platform."""
        if self.relayed:
            return f'{LOOPBACK}:{self._platform_ports[data_centre]}'
        return f'{LOOPBACK}:{self._platform_port}'

    def write_routes(self, path: Path) -> None:
        """Writes what the relay passes on."""
        routes = [
            Route(
                listen=self.peer_address(host),
                target=f'{ports.ip}:{ports.peer}',
                source='',
                destination=ports.data_centre,
            )
            for host, ports in self._hosts.items()
        ]
        routes.extend(
            Route(
                listen=self.platform_address(data_centre),
                target=f'{LOOPBACK}:{self._platform_port}',
                source=data_centre,
                destination=PLATFORM,
            )
            for data_centre in self._platform_ports
        )
        places = {ports.ip: ports.data_centre for ports in self._hosts.values()}
        path.write_text(
            serialize_json(RouteFile(routes=routes, data_centres=places)),
        )

    def cut(self, *pairs: tuple[str, str], delay_s: float = 0) -> None:
        """Cuts exactly these pairs of places; without any, heals all.

        :param pairs: names of data centres, or ``PLATFORM``.
        :param delay_s: delay one way between places, in seconds.
        :raises ValueError: the relay did not take it.
        """
        changes = {
            'cuts': [sorted(pair) for pair in pairs],
            'delay_s': delay_s,
        }
        status, _ = call_http(self.port, 'POST', '/switch', changes)
        if status != HTTPStatus.OK:
            raise ValueError(f'cuts {pairs}')
