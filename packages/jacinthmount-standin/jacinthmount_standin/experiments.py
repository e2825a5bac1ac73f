"""Experiments on whole processes; each prints its figures as JSON."""

import json
import os
import shutil
import threading
import time
import types
from pathlib import Path
from typing import Any

import curio
from jacinthmount_ctl import porcelain
from jacinthmount_ctl.caller import Caller
from jacinthmount_node.object_api import HttpStore

from jacinthmount_standin.callers import call_http
from jacinthmount_standin.declare import Declared
from jacinthmount_standin.fleet import Fleet
from jacinthmount_standin.load import LoadPlan, run_load
from jacinthmount_standin.operator import apply_declared, open_store
from jacinthmount_standin.split_study import study_splits

__all__ = ('EXPERIMENTS', 'run_experiment')

MODEL = 'provenance-llm'
ACCOUNT = 'load'
UNLIMITED = (5000.0, 5000.0)
SEED = 20261204
SETTLE_S = 4.0
PAGE_KIB = os.sysconf('SC_PAGE_SIZE') // 1024
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Bench:
    """A fleet under measurement."""

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
    ) -> None:
        """Starts everything."""
        shutil.rmtree(folder, ignore_errors=True)
        self.folder = folder
        self.fleet = Fleet(folder=folder, data_centres=data_centres)
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
        """Addresses for callers."""
        return [
            f'127.0.0.1:{ports.front}' for ports in self.fleet.hosts.values()
        ]

    def store(self) -> HttpStore:
        """Opens the object API."""
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
        return run_load(
            LoadPlan(
                addresses=addresses,
                keys=[key],
                model=MODEL,
                rate_per_s=rate_per_s,
                seconds=seconds,
                tokens=tokens,
                seed=SEED,
            )
        ).summary()

    def usage(self, name: str) -> tuple[float, float]:
        """Reads processor seconds and resident MiB of a process."""
        process_id = self.fleet.process_id(name)
        stat = Path(f'/proc/{process_id}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = Path(f'/proc/{process_id}/statm').read_text().split()[1]
        return ticks / TICKS_PER_S, int(pages) * PAGE_KIB / 1024

    def metric(self, host: str, name: str) -> float:
        """Sums a metric of a host."""
        _, text = call_http(self.fleet.hosts[host].admin, 'GET', '/metrics')
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.decode().splitlines()
            if line.startswith(name)
        )

    def platform_calls(self) -> int:
        """Counts the calls to the platform."""
        _, answer = call_http(self.fleet.platform_port, 'GET', '/calls')
        return sum(json.loads(answer).values())


def run_experiment(name: str, folder: Path) -> dict[str, Any]:
    """Runs one experiment and writes its figures beside its logs."""
    figures = EXPERIMENTS[name](folder / name)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f'{name}.json').write_text(json.dumps(figures, indent=2))
    return figures


def measure_overhead(folder: Path) -> dict[str, Any]:
    """Compares a node with the engine behind it, in turns."""
    bench = Bench(
        folder=folder,
        data_centres={'east': 1},
        engines={'engine-1': 'east'},
        slots=64,
        token_s=0.004,
    )
    try:
        engine = [f'127.0.0.1:{bench.fleet.engine_port("engine-1")}']
        figures: dict[str, Any] = {'direct': [], 'node': []}
        for _ in range(2):
            figures['direct'].append(bench.load(engine, 9, 8, 40, ''))
            figures['node'].append(
                bench.load(bench.fronts, 9, 8, 40, bench.key),
            )
        figures.update(_measure_processor(bench))
        return figures
    finally:
        bench.fleet.stop()


def _measure_processor(bench: Bench) -> dict[str, Any]:
    idle_from, rest_mib = bench.usage('east-h1')
    time.sleep(5)
    idle_s = (bench.usage('east-h1')[0] - idle_from) / 5
    rows = []
    for rate_per_s, tokens in ((3, 233), (6, 233), (9, 233), (9, 40)):
        before, _ = bench.usage('east-h1')
        started = time.monotonic()
        bench.load(bench.fronts, rate_per_s, 8, tokens, bench.key)
        after, mib = bench.usage('east-h1')
        rows.append({
            'rate_per_s': rate_per_s,
            'tokens': tokens,
            'cores': (after - before) / (time.monotonic() - started),
            'mib': mib,
        })
    return {'idle_cores': idle_s, 'rest_mib': rest_mib, 'load': rows}


def measure_batch(folder: Path) -> dict[str, Any]:
    """Measures online latency beside batch, and batch beside online."""
    figures: dict[str, Any] = {}
    bench = Bench(
        folder=folder,
        data_centres={'east': 2},
        engines={'engine-1': 'east', 'engine-2': 'east'},
        slots=8,
        token_s=0.01,
    )
    try:
        figures['no batch'] = bench.load(bench.fronts, 12, 12, 12, bench.key)
        figures['batch alone, items a second'] = _batch_rate(bench, None)
        figures['with batch'] = {}
        rate = _batch_rate(bench, figures['with batch'])
        figures['batch beside online, items a second'] = rate
        figures['unmanaged batch'] = _beside_unmanaged(bench)
        figures['no batch again'] = bench.load(
            bench.fronts,
            12,
            12,
            12,
            bench.key,
        )
        return figures
    finally:
        bench.fleet.stop()


def _batch_rate(bench: Bench, online: dict[str, Any] | None) -> float:
    caller = Caller(front=bench.fronts[0], key=bench.key)
    lines = b''.join(
        json.dumps({
            'custom_id': str(number),
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': {
                'model': MODEL,
                'max_tokens': 12,
                'messages': [{'role': 'user', 'content': f'lot {number}'}],
            },
        }).encode()
        + b'\n'
        for number in range(4000)
    )
    batch = caller.submit(lines, '1h', '')
    time.sleep(2)
    before = _batch_items(bench)
    started = time.monotonic()
    if online is None:
        time.sleep(8)
    else:
        online.update(bench.load(bench.fronts, 12, 12, 12, bench.key))
    rate = (_batch_items(bench) - before) / (time.monotonic() - started)
    caller.cancel(batch['id'])
    time.sleep(2)
    return rate


def _batch_items(bench: Bench) -> float:
    return sum(
        bench.metric(host, 'jacinthmount_batch_items_total')
        for host in bench.fleet.hosts
    )


def _beside_unmanaged(bench: Bench) -> dict[str, Any]:
    # Batch that fills the engines without regard for online requests.
    stop = threading.Event()

    def fill(port: int, number: int) -> None:
        while not stop.is_set():
            call_http(
                port,
                'POST',
                '/v1/chat/completions',
                {
                    'model': MODEL,
                    'max_tokens': 12,
                    'messages': [{'role': 'user', 'content': f'lot {number}'}],
                },
            )

    threads = [
        threading.Thread(
            target=fill,
            args=(bench.fleet.engine_port(engine), number),
        )
        for engine in ('engine-1', 'engine-2')
        for number in range(16)
    ]
    for thread in threads:
        thread.start()
    online = bench.load(bench.fronts, 12, 12, 12, bench.key)
    stop.set()
    for thread in threads:
        thread.join()
    return online


def measure_fairness(folder: Path) -> dict[str, Any]:
    """Measures a small account alone and beside one over capacity."""
    bench = Bench(
        folder=folder,
        data_centres={'east': 2},
        engines={'engine-1': 'east', 'engine-2': 'east'},
        slots=4,
        token_s=0.02,
        accounts=2,
    )
    try:
        bench.declared.accounts['account-0'] = UNLIMITED
        bench.apply()
        small_key = curio.run(
            porcelain.grant_key,
            bench.store(),
            'account-0',
        )[1]
        time.sleep(1)
        alone = bench.load(bench.fronts, 3, 15, 12, small_key)
        beside: dict[str, Any] = {}
        large = threading.Thread(
            target=lambda: beside.update(
                bench.load(bench.fronts, 60, 18, 12, bench.key),
            )
        )
        large.start()
        time.sleep(2)
        small = bench.load(bench.fronts, 3, 15, 12, small_key)
        large.join()
        return {
            'small alone': alone,
            'small beside large': small,
            'large over capacity': beside,
        }
    finally:
        bench.fleet.stop()


def measure_slopes(folder: Path) -> dict[str, Any]:
    """Measures what one node spends as hosts and accounts grow."""
    rows = []
    for hosts, accounts in ((2, 1), (4, 1), (8, 1), (2, 200), (2, 470)):
        bench = Bench(
            folder=folder,
            data_centres={'east': hosts},
            engines={'engine-1': 'east'},
            slots=8,
            token_s=0.005,
            accounts=accounts,
        )
        try:
            rows.append(_measure_control(bench, hosts, accounts))
        finally:
            bench.fleet.stop()
    return {'control': rows}


def _measure_control(
    bench: Bench,
    hosts: int,
    accounts: int,
) -> dict[str, Any]:
    host = 'east-h1'
    time.sleep(3)
    cpu, mib = bench.usage(host)
    sent = bench.metric(host, 'jacinthmount_peer_bytes_total')
    calls = bench.platform_calls()
    time.sleep(10)
    row: dict[str, Any] = {
        'hosts': hosts,
        'accounts': accounts,
        'cores': (bench.usage(host)[0] - cpu) / 10,
        'mib': mib,
        'peer_bytes_per_s': (
            bench.metric(host, 'jacinthmount_peer_bytes_total') - sent
        )
        / 10,
        'platform_calls_per_s': (bench.platform_calls() - calls) / 10,
    }
    row['in_force_ms'] = _measure_in_force(bench)
    return row


def _measure_in_force(bench: Bench) -> list[float]:
    times = []
    for number in range(5):
        bench.declared.accounts[ACCOUNT] = (5000.0 + number, 5000.0)
        version = bench.apply()
        started = time.monotonic()
        while any(
            bench.fleet.status(host)['revision'] < version
            for host in bench.fleet.hosts
        ):
            time.sleep(0.002)
        times.append(round((time.monotonic() - started) * 1000, 1))
    return times


def measure_splits(folder: Path) -> dict[str, Any]:
    """Compares ways to split a rate, in simulated time."""
    return dict(study_splits())


EXPERIMENTS = types.MappingProxyType({
    'overhead': measure_overhead,
    'batch': measure_batch,
    'fairness': measure_fairness,
    'slopes': measure_slopes,
    'splits': measure_splits,
})
