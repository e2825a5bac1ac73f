"""Experiment on faults under online load beside a batch."""

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
CALM_S = 5.0
FAULT_S = 20.0
AFTER_S = 10.0
BATCH_ITEMS = 8000
VICTIM = 'east-h2'
ENGINE = 'engine-1'


def measure_faults(folder: Path) -> dict[str, Any]:
    """Measures what callers see of each fault, and when it is over."""
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
    found: list[LoadReport] = []
    load = threading.Thread(
        target=lambda: found.append(
            bench.run(
                rate_per_s=RATE_PER_S,
                seconds=CALM_S + FAULT_S + AFTER_S,
                tokens=TOKENS,
            ),
        ),
    )
    load.start()
    items = [_items(bench)]
    time.sleep(CALM_S)
    items.append(_items(bench))
    began_at = time.monotonic()
    begin(bench)
    time.sleep(FAULT_S)
    items.append(_items(bench))
    end(bench)
    load.join()
    report = found[0]
    caller.cancel(batch['id'])
    return {
        **report.summary(),
        'last_error_s': report.last_error_at - began_at
        if report.last_error_at
        else None,
        'batch_items_per_s_before': (items[1] - items[0]) / CALM_S,
        'batch_items_per_s_during': (items[2] - items[1]) / FAULT_S,
    }


def _items(bench: Bench) -> float:
    return sum(
        bench.metric(host, 'jacinthmount_batch_items_total')
        for host in bench.fleet.hosts
        if host != VICTIM
    )


def _kill_host(bench: Bench) -> None:
    bench.fleet.kill(VICTIM)


def _start_host(bench: Bench) -> None:
    bench.fleet.start_host(VICTIM)


def _freeze_engine(bench: Bench) -> None:
    bench.fleet.signal(ENGINE, signal.SIGSTOP)


def _wake_engine(bench: Bench) -> None:
    bench.fleet.signal(ENGINE, signal.SIGCONT)


def _cut_west(bench: Bench) -> None:
    bench.fleet.network.cut(('east', 'west'), ('west', PLATFORM))


def _cut_platform(bench: Bench) -> None:
    bench.fleet.network.cut(('east', PLATFORM), ('west', PLATFORM))


def _heal(bench: Bench) -> None:
    bench.fleet.network.cut(delay_s=0.001)


def _nothing(bench: Bench) -> None:
    """Stands for no fault, to compare with."""


FAULTS = types.MappingProxyType({
    'no fault': (_nothing, _nothing),
    'host killed': (_kill_host, _start_host),
    'engine frozen': (_freeze_engine, _wake_engine),
    'data centre cut off': (_cut_west, _heal),
    'platform away': (_cut_platform, _heal),
})
