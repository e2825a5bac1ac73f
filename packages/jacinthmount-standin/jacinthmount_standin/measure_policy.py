"""Experiments: batch concurrent with online load, and fairness."""

import threading
import time
from pathlib import Path
from typing import Any

import curio
from jacinthmount_ctl import porcelain
from jacinthmount_ctl.caller import Caller

from jacinthmount_standin.bench import MODEL, UNLIMITED, Bench
from jacinthmount_standin.callers import call_http
from jacinthmount_standin.load_tool import make_batch_lines

__all__ = ('measure_batch', 'measure_fairness')


def measure_batch(folder: Path) -> dict[str, Any]:
    """Measures online latency and batch rate, each alone and concurrent."""
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
        figures['batch alone, items a second'] = _measure_batch_rate(
            bench, None
        )
        figures['with batch'] = {}
        rate = _measure_batch_rate(bench, figures['with batch'])
        figures['batch beside online, items a second'] = rate
        figures['unmanaged batch'] = _measure_unmanaged_batch(bench)
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


def _measure_batch_rate(bench: Bench, online: dict[str, Any] | None) -> float:
    caller = Caller(front=bench.fronts[0], key=bench.key)
    lines = make_batch_lines(MODEL, 4000, 12)
    batch = caller.submit(lines, '1h', '')
    time.sleep(2)
    before = _count_batch_items(bench)
    started = time.monotonic()
    if online is None:
        time.sleep(8)
    else:
        online.update(bench.load(bench.fronts, 12, 12, 12, bench.key))
    rate = (_count_batch_items(bench) - before) / (time.monotonic() - started)
    caller.cancel(batch['id'])
    time.sleep(2)
    return rate


def _count_batch_items(bench: Bench) -> float:
    return sum(
        bench.metric(host, 'jacinthmount_batch_items_total')
        for host in bench.fleet.hosts
    )


def _measure_unmanaged_batch(bench: Bench) -> dict[str, Any]:
    # Fills the engines directly, without regard for online requests.
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
    """Measures a small account alone, and while another exceeds capacity."""
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
        large_summary: dict[str, Any] = {}
        large = threading.Thread(
            target=lambda: large_summary.update(
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
            'large over capacity': large_summary,
        }
    finally:
        bench.fleet.stop()
