"""Experiment: batch items that share prompt prefixes."""

import json
import random
import time
from pathlib import Path
from typing import Any

from jacinthmount_ctl.caller import Caller

from jacinthmount_standin.bench import MODEL, Bench

__all__ = ('measure_prefixes',)

ENGINES = ('engine-1', 'engine-2')
PREFIXES = 40
ITEMS = 2000
CACHE_SIZE = 8
SEED = 20261204
SHARED_CHARS = 400


def measure_prefixes(folder: Path) -> dict[str, Any]:
    """Compares batch look-ahead depths; depth 1 sends items in file order."""
    return {
        f'look ahead {look_ahead}': _measure(
            folder / str(look_ahead), look_ahead
        )
        for look_ahead in (1, 25, 250)
    }


def _measure(folder: Path, look_ahead: int) -> dict[str, Any]:
    bench = Bench(
        folder=folder,
        data_centres={'east': 2},
        engines=dict.fromkeys(ENGINES, 'east'),
        slots=8,
        token_s=0.002,
        look_ahead=look_ahead,
    )
    try:
        return _run(bench)
    finally:
        bench.fleet.stop()


def _run(bench: Bench) -> dict[str, Any]:
    ports = [bench.fleet.engine_port(engine) for engine in ENGINES]
    for engine_port in ports:
        bench.fleet.switch(engine_port, cache_size=CACHE_SIZE)
    caller = Caller(front=bench.fronts[0], key=bench.key)
    started = time.monotonic()
    batch = caller.submit(_make_lines(), '1h', '')
    while caller.read(batch['id'])['status'] != 'completed':
        time.sleep(0.2)
    stats = [bench.stats(port) for port in ports]
    return {
        'items_per_s': ITEMS / (time.monotonic() - started),
        'hit_rate': sum(counts['cached'] for counts in stats)
        / sum(counts['prefills'] for counts in stats),
    }


def _make_lines() -> bytes:
    rng = random.Random(SEED)
    rows = []
    for number in range(ITEMS):
        shared = f'{rng.randrange(PREFIXES):03d} '.ljust(SHARED_CHARS, '.')
        rows.append({
            'custom_id': str(number),
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': {
                'model': MODEL,
                'max_tokens': 4,
                'messages': [{'role': 'user', 'content': f'{shared}{number}'}],
            },
        })
    return '\n'.join(json.dumps(row) for row in rows).encode()
