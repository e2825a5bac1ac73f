"""Starts a fleet for an experiment and measures it."""

import json
import os
import shutil
import time
from pathlib import Path
from typing import Any

import curio
from jacinthmount_ctl import porcelain
from jacinthmount_node.net.object_api import HttpStore

from jacinthmount_standin.callers import call_http
from jacinthmount_standin.declare import Declared
from jacinthmount_standin.fleet import Fleet
from jacinthmount_standin.load import LoadPlan, LoadReport, run_load
from jacinthmount_standin.operator import apply_declared, open_store

__all__ = ('ACCOUNT', 'MODEL', 'UNLIMITED', 'Bench')

MODEL = 'provenance-llm'
ACCOUNT = 'load'
UNLIMITED = (5000.0, 5000.0)
SEED = 20261204
SETTLE_S = 4.0
PAGE_KIB = os.sysconf('SC_PAGE_SIZE') // 1024
# Field indices in /proc/PID/stat, counted after the program name.
USER_TICKS = 11
SYSTEM_TICKS = 12
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Bench:
    """A running fleet with declarations, a load account and its key."""

    __slots__ = ('declared', 'fleet', 'folder', 'key')

    def __init__(
        self,
        *,
        folder: Path,
        data_centres: dict[str, int],
        engines: dict[str, str],
        slots: int,
        token_s: float,
        accounts: int = 1,
        **options: Any,
    ) -> None:
        """Starts all processes and applies the declarations.

        :param engines: data centre by engine name.
        :param slots: maximum number of concurrent requests of an engine.
        :param token_s: seconds per decoding step of an idle engine.
        :param accounts: number of client accounts, including ``ACCOUNT``.
        :param options: further parameters of :class:`Fleet`.
        """
        shutil.rmtree(folder, ignore_errors=True)
        self.folder = folder
        self.fleet = Fleet(
            folder=folder,
            data_centres=data_centres,
            **options,
        )
        self.fleet.start_platform()
        self.fleet.start_plain()
        self.declared = Declared(
            shares={name: 1 / len(data_centres) for name in data_centres},
            engines={
                name: (
                    data_centre,
                    self.fleet.start_engine(name, slots=slots, token_s=token_s),
                    slots,
                )
                for name, data_centre in engines.items()
            },
            plain_port=self.fleet.plain_port,
            accounts={
                ACCOUNT: UNLIMITED,
                **{
                    f'account-{number}': (10.0, 50.0)
                    for number in range(accounts - 1)
                },
            },
        )
        self.fleet.start_hosts()
        self.apply()
        time.sleep(SETTLE_S)
        self.key = curio.run(porcelain.grant_key, self.store(), ACCOUNT)[1]
        time.sleep(1)

    @property
    def fronts(self) -> list[str]:
        """Front addresses of all hosts."""
        return [
            f'127.0.0.1:{ports.front}' for ports in self.fleet.hosts.values()
        ]

    def store(self) -> HttpStore:
        """Opens the object store of the platform."""
        return open_store(self.fleet)

    def apply(self) -> int:
        """Applies the declarations and returns the version written."""
        return apply_declared(self.fleet, self.declared)

    def load(
        self,
        addresses: list[str],
        rate_per_s: float,
        seconds: float,
        tokens: int,
        key: str,
    ) -> dict[str, Any]:
        """Runs online load and returns its summary."""
        return self.run(
            addresses=addresses,
            keys=[key],
            rate_per_s=rate_per_s,
            seconds=seconds,
            tokens=tokens,
        ).summary()

    def run(self, **changes: Any) -> LoadReport:
        """Runs a load plan.

        :param changes: fields of :class:`LoadPlan` that replace the defaults.
        """
        fields: dict[str, Any] = {
            'addresses': self.fronts,
            'keys': [self.key],
            'model': MODEL,
            'seed': SEED,
        }
        return run_load(LoadPlan(**{**fields, **changes}))

    def usage(self, name: str) -> tuple[float, float]:
        """Returns the CPU seconds and resident MiB of a process."""
        process_id = self.fleet.process_id(name)
        stat = Path(f'/proc/{process_id}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        pages = Path(f'/proc/{process_id}/statm').read_text().split()[1]
        return ticks / TICKS_PER_S, int(pages) * PAGE_KIB / 1024

    def metric(self, host: str, name: str) -> float:
        """Returns the sum of a metric of a host over all labels."""
        _, text = call_http(self.fleet.hosts[host].admin, 'GET', '/metrics')
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.decode().splitlines()
            if line.startswith(name)
        )

    def stats(self, port: int) -> dict[str, Any]:
        """Returns the statistics of a stand-in."""
        return json.loads(call_http(port, 'GET', '/stats')[1])

    def platform_calls(self) -> int:
        """Returns the number of calls that the platform received."""
        _, answer = call_http(self.fleet.platform_port, 'GET', '/calls')
        return sum(json.loads(answer).values())
