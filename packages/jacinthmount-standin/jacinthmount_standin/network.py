"""Addresses of a test fleet, and the network between its data centres."""

from http import HTTPStatus
from pathlib import Path

from jacinthmount.records import serialize_json

from jacinthmount_standin.addresses import LOOPBACK, PortReserve
from jacinthmount_standin.callers import call_http
from jacinthmount_standin.relay import Route, RouteFile

__all__ = ('PLATFORM', 'HostPorts', 'Network')

PLATFORM = 'platform'


class HostPorts:
    """Data centre, IP address and ports of one host of the fleet."""

    __slots__ = ('admin', 'data_centre', 'front', 'host', 'ip', 'peer')

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        ip: str,
        reserve: PortReserve,
    ) -> None:
        """Takes three ports from the reserve.

        :param ip: IP address that all hosts of the data centre share.
        """
        self.host = host
        self.data_centre = data_centre
        self.ip = ip
        front, admin = reserve.take(2)
        self.front = front
        self.admin = admin
        self.peer = reserve.take(1, ip)[0]


class Network:
    """Connects hosts directly, or through a relay that can cut and delay."""

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
        """Reserves a port for each address that the relay listens on.

        :param relayed: whether connections pass through the relay.
        """
        self._hosts = hosts
        self._platform_port = platform_port
        self.relayed = relayed
        self.port = reserve.take(1)[0]
        data_centres = sorted({ports.data_centre for ports in hosts.values()})
        self._peer_ports = {host: reserve.take(1)[0] for host in hosts}
        self._platform_ports = {
            name: reserve.take(1)[0] for name in data_centres
        }

    def peer_address(self, host: str) -> str:
        """Returns the address at which peers connect to a host."""
        if self.relayed:
            return f'{LOOPBACK}:{self._peer_ports[host]}'
        ports = self._hosts[host]
        return f'{ports.ip}:{ports.peer}'

    def platform_address(self, data_centre: str) -> str:
        """Returns the platform address that a data centre connects to."""
        if self.relayed:
            return f'{LOOPBACK}:{self._platform_ports[data_centre]}'
        return f'{LOOPBACK}:{self._platform_port}'

    def write_routes(self, path: Path) -> None:
        """Writes the route file of the relay."""
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
        by_ip = {ports.ip: ports.data_centre for ports in self._hosts.values()}
        path.write_text(
            serialize_json(RouteFile(routes=routes, data_centres=by_ip)),
        )

    def cut(self, *pairs: tuple[str, str], delay_s: float = 0) -> None:
        """Cuts exactly these connections; without pairs, restores all.

        :param pairs: pairs of data centre names; either may be ``PLATFORM``.
        :param delay_s: one-way delay between data centres, in seconds.
        :raises ValueError: the relay rejected the change.
        """
        changes = {
            'cuts': [sorted(pair) for pair in pairs],
            'delay_s': delay_s,
        }
        status, _ = call_http(self.port, 'POST', '/switch', changes)
        if status != HTTPStatus.OK:
            raise ValueError(f'relay rejected cuts {pairs}')
