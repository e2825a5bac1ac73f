"""Experiments: latency, CPU, memory and traffic costs of one node."""

import time
from pathlib import Path
from typing import Any

from jacinthmount_standin.bench import ACCOUNT, Bench

__all__ = ('measure_overhead', 'measure_slopes', 'measure_spread')


def measure_overhead(folder: Path) -> dict[str, Any]:
    """Measures latency without and with a node in turn, and CPU use."""
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
    idle_cpu_s, rest_mib = bench.usage('east-h1')
    time.sleep(5)
    idle_cores_used = (bench.usage('east-h1')[0] - idle_cpu_s) / 5
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
    return {'idle_cores': idle_cores_used, 'rest_mib': rest_mib, 'load': rows}


def measure_slopes(folder: Path) -> dict[str, Any]:
    """Measures the costs of one node by number of hosts and accounts."""
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


def measure_spread(folder: Path) -> dict[str, Any]:
    """Measures the time until a change applies on all of 2, 8, 32 hosts."""
    rows = []
    for hosts in (2, 8, 32):
        bench = Bench(
            folder=folder,
            data_centres={'east': hosts},
            engines={'engine-1': 'east'},
            slots=8,
            token_s=0.005,
        )
        try:
            rows.append(_measure_control(bench, hosts, 1))
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
