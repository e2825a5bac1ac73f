"""Experiment: faults under online load with a concurrent batch."""

import signal
import threading
import time
import types
from collections.abc import Callable
from pathlib import Path
from typing import Any

from jacinthmount_ctl.caller import Caller

from jacinthmount_standin.bench import MODEL, Bench
from jacinthmount_standin.load import LoadReport
from jacinthmount_standin.load_tool import make_batch_lines
from jacinthmount_standin.network import PLATFORM

__all__ = ('measure_faults',)

RATE_PER_S = 12.0
TOKENS = 12
BEFORE_FAULT_S = 5.0
FAULT_S = 20.0
AFTER_FAULT_S = 10.0
BATCH_ITEMS = 8000
FAULTY_HOST = 'east-h2'
FAULTY_ENGINE = 'engine-1'


def measure_faults(folder: Path) -> dict[str, Any]:
    """Measures latencies, errors and the time of the last error per fault."""
    return {
        name: _measure(folder / name.replace(' ', '-'), *fault)
        for name, fault in FAULTS.items()
    }


def _measure(
    folder: Path,
    begin: Callable[[Bench], None],
    end: Callable[[Bench], None],
) -> dict[str, Any]:
    bench = Bench(
        folder=folder,
        data_centres={'east': 2, 'west': 2},
        engines={
            'engine-1': 'east',
            'engine-2': 'east',
            'engine-3': 'west',
            'engine-4': 'west',
        },
        slots=8,
        token_s=0.01,
        relayed=True,
    )
    bench.fleet.network.cut(delay_s=0.001)
    try:
        return _run(bench, begin, end)
    finally:
        bench.fleet.stop()


def _run(
    bench: Bench,
    begin: Callable[[Bench], None],
    end: Callable[[Bench], None],
) -> dict[str, Any]:
    lines = make_batch_lines(MODEL, BATCH_ITEMS, TOKENS)
    caller = Caller(front=bench.fronts[0], key=bench.key)
    batch = caller.submit(lines, '1h', '')
    time.sleep(3)
    reports: list[LoadReport] = []
    load = threading.Thread(
        target=lambda: reports.append(
            bench.run(
                rate_per_s=RATE_PER_S,
                seconds=BEFORE_FAULT_S + FAULT_S + AFTER_FAULT_S,
                tokens=TOKENS,
            ),
        ),
    )
    load.start()
    items = [_count_items(bench)]
    time.sleep(BEFORE_FAULT_S)
    items.append(_count_items(bench))
    fault_began_at = time.monotonic()
    begin(bench)
    time.sleep(FAULT_S)
    items.append(_count_items(bench))
    end(bench)
    load.join()
    report = reports[0]
    caller.cancel(batch['id'])
    return {
        **report.summary(),
        'last_error_s': report.last_error_at - fault_began_at
        if report.last_error_at
        else None,
        'batch_items_per_s_before': (items[1] - items[0]) / BEFORE_FAULT_S,
        'batch_items_per_s_during': (items[2] - items[1]) / FAULT_S,
    }


def _count_items(bench: Bench) -> float:
    return sum(
        bench.metric(host, 'jacinthmount_batch_items_total')
        for host in bench.fleet.hosts
        if host != FAULTY_HOST
    )


def _kill_host(bench: Bench) -> None:
    bench.fleet.kill(FAULTY_HOST)


def _start_host(bench: Bench) -> None:
    bench.fleet.start_host(FAULTY_HOST)


def _suspend_engine(bench: Bench) -> None:
    bench.fleet.signal(FAULTY_ENGINE, signal.SIGSTOP)


def _resume_engine(bench: Bench) -> None:
    bench.fleet.signal(FAULTY_ENGINE, signal.SIGCONT)


def _isolate_west(bench: Bench) -> None:
    bench.fleet.network.cut(('east', 'west'), ('west', PLATFORM))


def _cut_platform(bench: Bench) -> None:
    bench.fleet.network.cut(('east', PLATFORM), ('west', PLATFORM))


def _restore_network(bench: Bench) -> None:
    bench.fleet.network.cut(delay_s=0.001)


def _inject_nothing(bench: Bench) -> None:
    """Injects no fault, as a baseline."""


FAULTS = types.MappingProxyType({
    'no fault': (_inject_nothing, _inject_nothing),
    'host killed': (_kill_host, _start_host),
    'engine frozen': (_suspend_engine, _resume_engine),
    'data centre cut off': (_isolate_west, _restore_network),
    'platform away': (_cut_platform, _restore_network),
})
