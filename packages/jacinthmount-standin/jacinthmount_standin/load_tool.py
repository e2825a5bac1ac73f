"""Load of several accounts and a batch, reported as JSON and a plot."""

import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from jacinthmount_ctl.caller import Caller

from jacinthmount_standin.load import LoadPlan, LoadReport, run_load
from jacinthmount_standin.plots import plot_latencies

__all__ = ('LoadOptions', 'make_batch_lines', 'run_load_tool')

BATCH_WINDOW = '24h'


class LoadOptions:
    """Parameters of the load tool."""

    __slots__ = (
        'batch_lines',
        'fronts',
        'keys',
        'model',
        'rate_per_s',
        'seconds',
        'seed',
        'tokens',
    )

    def __init__(
        self,
        *,
        fronts: list[str],
        keys: list[str],
        model: str,
        rate_per_s: float,
        seconds: float,
        tokens: int,
        batch_lines: int,
        seed: int,
    ) -> None:
        """Initialises the options.

        :param fronts: IP:port of hosts.
        :param keys: keys; each sends an equal part of the rate.
        :param rate_per_s: mean requests per second of all keys together.
        :param seconds: duration of the arrivals, in seconds.
        :param tokens: tokens per answer.
        :param batch_lines: items of a concurrent batch; 0 submits none.
        :param seed: seed of the arrival times.
        """
        self.fronts = fronts
        self.keys = keys
        self.model = model
        self.rate_per_s = rate_per_s
        self.seconds = seconds
        self.tokens = tokens
        self.batch_lines = batch_lines
        self.seed = seed


def make_batch_lines(model: str, count: int, tokens: int) -> bytes:
    """Returns a batch file of chat requests as JSON lines."""
    return b''.join(
        json.dumps({
            'custom_id': str(number),
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': {
                'model': model,
                'max_tokens': tokens,
                'messages': [{'role': 'user', 'content': f'lot {number}'}],
            },
        }).encode()
        + b'\n'
        for number in range(count)
    )


def run_load_tool(options: LoadOptions, folder: Path) -> dict[str, Any]:
    """Runs the load and writes ``load.json`` and ``load.png``.

    :returns: content of ``load.json``, with a summary per key by its index.
    """
    folder.mkdir(parents=True, exist_ok=True)
    batch = _submit_batch(options) if options.batch_lines else None
    reports = _run_plans(options)
    figures: dict[str, Any] = {
        f'account {index}': report.summary()
        for index, report in enumerate(reports)
    }
    if batch is not None:
        caller = Caller(front=options.fronts[0], key=options.keys[0])
        figures['batch'] = caller.read(batch['id'])['request_counts']
    (folder / 'load.json').write_text(json.dumps(figures, indent=2))
    histograms = {
        f'{name}, account {index}': histogram
        for index, report in enumerate(reports)
        for name, histogram in report.histograms().items()
    }
    title = f'{options.rate_per_s:g} requests a second, open loop'
    plot_latencies(histograms, title, folder / 'load.png')
    return figures


def _submit_batch(options: LoadOptions) -> dict[str, Any]:
    lines = make_batch_lines(
        options.model,
        options.batch_lines,
        options.tokens,
    )
    caller = Caller(front=options.fronts[0], key=options.keys[0])
    return caller.submit(lines, BATCH_WINDOW, '')


def _run_plans(options: LoadOptions) -> list[LoadReport]:
    with ThreadPoolExecutor(len(options.keys)) as pool:
        return list(pool.map(run_load, _make_plans(options)))


def _make_plans(options: LoadOptions) -> list[LoadPlan]:
    return [
        LoadPlan(
            addresses=options.fronts,
            keys=[key],
            model=options.model,
            rate_per_s=options.rate_per_s / len(options.keys),
            seconds=options.seconds,
            tokens=options.tokens,
            seed=options.seed + index,
        )
        for index, key in enumerate(options.keys)
    ]
