"""Experiment: demand above capacity."""

import time
from pathlib import Path
from typing import Any

from jacinthmount_standin.bench import Bench

__all__ = ('measure_overload',)

SECONDS = 15.0
TOKENS = 12
FACTORS = (0.5, 1.0, 1.5, 2.0, 4.0)


def measure_overload(folder: Path) -> dict[str, Any]:
    """Measures goodput and refusals, with and without Retry-After retries."""
    bench = Bench(
        folder=folder,
        data_centres={'east': 2},
        engines={'engine-1': 'east', 'engine-2': 'east'},
        slots=4,
        token_s=0.02,
    )
    try:
        return _measure(bench)
    finally:
        bench.fleet.stop()


def _measure(bench: Bench) -> dict[str, Any]:
    capacity = _goodput(_run(bench, 40.0, follow=False))
    figures: dict[str, Any] = {'capacity_per_s': capacity, 'rows': []}
    for factor in FACTORS:
        for follow in (False, True):
            row = _run(bench, capacity * factor, follow=follow)
            row['factor'] = factor
            row['follow'] = follow
            row['goodput_per_s'] = _goodput(row)
            figures['rows'].append(row)
            time.sleep(1)
    return figures


def _run(bench: Bench, rate_per_s: float, *, follow: bool) -> dict[str, Any]:
    return bench.run(
        rate_per_s=rate_per_s,
        seconds=SECONDS,
        tokens=TOKENS,
        follow=follow,
    ).summary()


def _goodput(row: dict[str, Any]) -> float:
    answered = row.get('status_200', 0) + row.get('status_200_after_retry', 0)
    return answered / row['seconds']
