"""Starts and stops the processes of a test fleet on loopback."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

from jacinthmount.ports import HostState

from jacinthmount_standin.addresses import LOOPBACK, PortReserve
from jacinthmount_standin.callers import call_http, read_end, wait_for_port
from jacinthmount_standin.certificates import CertificateAuthority
from jacinthmount_standin.network import HostPorts, Network

__all__ = ('Fleet',)

ADMIN_TOKEN = 'operator-token-of-a-test-fleet'
START_TIMEOUT_S = 30.0
POLL_S = 0.05
DEFAULT_LOOK_AHEAD = 250

SETTINGS_TEMPLATE = """\
[node]
host = {host}
data_centre = {data_centre}
log_file = {folder}/{host}.log
drain_delay_s = 0.5
batch_look_ahead = {look_ahead}
memory_mb = {memory_mb}

[listen]
listen = 127.0.0.1:{front}
peer_listen = {ip}:{peer}
peer_advertise = {advertise}
admin_listen = 127.0.0.1:{admin}
admin_token_file = {folder}/admin.token

[platform]
platform = {platform}
weight_store = {platform}

[peers]
peers = {peers}
tls_ca = {ca}
tls_cert = {cert}
tls_key = {key}
"""


class Fleet:
    """Processes of one fleet; signals are sent to no other process."""

    __slots__ = (
        '_engines',
        '_folder',
        '_processes',
        '_reserve',
        'hosts',
        'platform_port',
        'network',
        'plain_port',
    )

    def __init__(
        self,
        *,
        folder: Path,
        data_centres: dict[str, int],
        relayed: bool = False,
        look_ahead: int = DEFAULT_LOOK_AHEAD,
        memory_mb: int = 0,
    ) -> None:
        """Writes settings files and certificates; starts no process.

        :param data_centres: number of hosts by data centre.
        :param relayed: connect hosts through a relay that can cut and delay.
        :param look_ahead: setting ``batch_look_ahead`` of the hosts.
        :param memory_mb: setting ``memory_mb`` of the hosts.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._engines: dict[str, tuple[int, int, float]] = {}
        self._reserve = PortReserve()
        platform_port, plain_port = self._reserve.take(2)
        self.platform_port = platform_port
        self.plain_port = plain_port
        self.hosts = {
            f'{data_centre}-h{number}': HostPorts(
                host=f'{data_centre}-h{number}',
                data_centre=data_centre,
                ip=f'127.0.{index}.1',
                reserve=self._reserve,
            )
            for index, (data_centre, count) in enumerate(data_centres.items())
            for number in range(1, count + 1)
        }
        self.network = Network(
            hosts=self.hosts,
            platform_port=platform_port,
            reserve=self._reserve,
            relayed=relayed,
        )
        self._write_settings(look_ahead, memory_mb)

    @property
    def token_path(self) -> Path:
        """Path of the operator token."""
        return self._folder / 'admin.token'

    @property
    def declarations_path(self) -> Path:
        """Folder of the declarations that are applied to the fleet."""
        return self._folder / 'declarations'

    def start_platform(self) -> None:
        """Starts the platform stand-in and, if ``relayed``, the relay."""
        self._start_standin(
            'platform',
            'platform',
            '--address',
            f'127.0.0.1:{self.platform_port}',
        )
        wait_for_port(self.platform_port)
        if self.network.relayed:
            routes = self._folder / 'routes.json'
            self.network.write_routes(routes)
            self._start_standin(
                'relay',
                'relay',
                '--address',
                f'{LOOPBACK}:{self.network.port}',
                '--routes',
                str(routes),
            )
            wait_for_port(self.network.port)
        self.list_hosts(*self.hosts)

    def list_hosts(self, *hosts: str) -> None:
        """Sets the host list of the platform; no host is leaving."""
        self.list_states([
            HostState(
                host=host,
                data_centre=self.hosts[host].data_centre,
                leaving=False,
            )
            for host in hosts
        ])

    def list_states(self, states: list[HostState]) -> None:
        """Sets the host list of the platform, including leaving hosts."""
        rows = [
            {
                'host': state.host,
                'data_centre': state.data_centre,
                'leaving': state.leaving,
            }
            for state in states
        ]
        call_http(self.platform_port, 'PUT', '/host-list', {'hosts': rows})

    def start_plain(self) -> None:
        """Starts the plain service stand-in."""
        self._start_standin(
            'plain',
            'plain',
            '--address',
            f'127.0.0.1:{self.plain_port}',
        )
        wait_for_port(self.plain_port)

    def start_engine(
        self,
        name: str,
        *,
        slots: int = 8,
        token_s: float = 0.005,
        may_end: bool = False,
    ) -> int:
        """Starts or restarts an engine.

        A restarted engine keeps its port, slots and step time.

        :param may_end: it may end again before its port was tried, as hosts
            use it at once.
        :param slots: maximum number of concurrent requests.
        :param token_s: seconds per decoding step of an idle engine.
        :returns: port of the engine.
        """
        if name not in self._engines:
            self._engines[name] = (self._reserve.take(1)[0], slots, token_s)
        port, slots, token_s = self._engines[name]
        self._start_standin(
            name,
            'engine',
            '--address',
            f'127.0.0.1:{port}',
            '--slots',
            str(slots),
            '--token-s',
            str(token_s),
        )
        wait_for_port(port, lambda: may_end and not self.alive(name))
        return port

    def engine_port(self, name: str) -> int:
        """Returns the port of an engine."""
        return self._engines[name][0]

    def start_host(self, host: str) -> None:
        """Starts a node without waiting until it is ready."""
        self._start(
            host,
            [
                sys.executable,
                '-m',
                'jacinthmount_node',
                '--settings',
                str(self._folder / f'{host}.ini'),
            ],
        )

    def start_hosts(self) -> None:
        """Starts every node and waits until all are ready."""
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            self.wait_ready(host)

    def wait_ready(self, host: str) -> None:
        """Waits until a node is ready.

        :raises RuntimeError: the process ended; holds its last output.
        :raises TimeoutError: not ready within ``START_TIMEOUT_S``.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        port = self.hosts[host].front
        output = self._folder / f'{host}.out'
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                status, _ = call_http(port, 'GET', '/readyz')
                if status == HTTPStatus.OK:
                    return
            if not self.alive(host):
                raise RuntimeError(f'{host} ended: {read_end(output)}')
            time.sleep(POLL_S)
        raise TimeoutError(f'{host} is not ready: {read_end(output)}')

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process of the fleet."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills one process of the fleet."""
        process = self._processes[name]
        process.kill()
        process.wait()

    def terminate(self, name: str, timeout_s: float = 30) -> int:
        """Terminates one process gracefully.

        :param timeout_s: seconds to wait for the process to end.
        :returns: exit code of the process.
        """
        process = self._processes[name]
        process.terminate()
        return process.wait(timeout_s)

    def alive(self, name: str) -> bool:
        """Returns whether a process is running."""
        return self._processes[name].poll() is None

    def process_id(self, name: str) -> int:
        """Returns the id of a process."""
        return self._processes[name].pid

    def switch(self, port: int, **changes: Any) -> None:
        """Sets switches of a stand-in.

        :raises ValueError: the stand-in rejected the change.
        """
        status, _ = call_http(port, 'POST', '/switch', changes)
        if status != HTTPStatus.OK:
            raise ValueError(f'stand-in rejected switches {sorted(changes)}')

    def status(self, host: str) -> dict[str, Any]:
        """Reads the status of a node."""
        _, answer = call_http(
            self.hosts[host].admin,
            'GET',
            '/admin/status',
            headers={'authorization': f'Bearer {ADMIN_TOKEN}'},
        )
        return json.loads(answer)

    def stop(self) -> None:
        """Kills every process of the fleet and releases its ports."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._reserve.close()

    def save(self) -> None:
        """Writes process ids and addresses to ``fleet.json``."""
        (self._folder / 'fleet.json').write_text(
            json.dumps(
                {
                    'process_ids': {
                        name: process.pid
                        for name, process in self._processes.items()
                    },
                    'platform': f'127.0.0.1:{self.platform_port}',
                    'admin_token_file': str(self.token_path),
                    'hosts': {
                        host: f'127.0.0.1:{ports.front}'
                        for host, ports in self.hosts.items()
                    },
                },
                indent=2,
            )
        )

    def _start_standin(self, name: str, *arguments: str) -> None:
        self._start(
            name,
            [sys.executable, '-m', 'jacinthmount_standin', *arguments],
        )

    def _start(self, name: str, command: list[str]) -> None:
        with (self._folder / f'{name}.out').open('ab') as output:
            self._processes[name] = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    'PYTHONUNBUFFERED': '1',
                },
            )

    def _write_settings(self, look_ahead: int, memory_mb: int) -> None:
        self.token_path.write_text(ADMIN_TOKEN)
        authority = CertificateAuthority(folder=self._folder)
        peers = ', '.join(
            self.network.peer_address(host) for host in self.hosts
        )
        for ports in self.hosts.values():
            cert, key = authority.issue(ports.host)
            (self._folder / f'{ports.host}.ini').write_text(
                SETTINGS_TEMPLATE.format(
                    host=ports.host,
                    data_centre=ports.data_centre,
                    folder=self._folder,
                    look_ahead=look_ahead,
                    memory_mb=memory_mb,
                    front=ports.front,
                    ip=ports.ip,
                    peer=ports.peer,
                    advertise=self.network.peer_address(ports.host),
                    admin=ports.admin,
                    platform=self.network.platform_address(ports.data_centre),
                    peers=peers,
                    ca=authority.ca_path,
                    cert=cert,
                    key=key,
                )
            )
