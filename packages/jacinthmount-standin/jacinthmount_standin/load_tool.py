"""Load of several accounts, with a batch beside it, as JSON and a plot."""

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
    """What the load tool sends, and where to."""

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
        """Keeps the options; each key sends an equal part of the rate."""
        self.fronts = fronts
        self.keys = keys
        self.model = model
        self.rate_per_s = rate_per_s
        self.seconds = seconds
        self.tokens = tokens
        self.batch_lines = batch_lines
        self.seed = seed


def make_batch_lines(model: str, count: int, tokens: int) -> bytes:
    """Builds a batch file of chats."""
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

    :returns: what was written as JSON: a summary for each key by its place.
    """
    folder.mkdir(parents=True, exist_ok=True)
    batch = _submit(options) if options.batch_lines else None
    reports = _run_all(options)
    figures: dict[str, Any] = {
        f'account {place}': report.summary()
        for place, report in enumerate(reports)
    }
    if batch is not None:
        caller = Caller(front=options.fronts[0], key=options.keys[0])
        figures['batch'] = caller.read(batch['id'])['request_counts']
    (folder / 'load.json').write_text(json.dumps(figures, indent=2))
    histograms = {
        f'{name}, account {place}': histogram
        for place, report in enumerate(reports)
        for name, histogram in report.histograms().items()
    }
    title = f'{options.rate_per_s:g} requests a second, open loop'
    plot_latencies(histograms, title, folder / 'load.png')
    return figures


def _submit(options: LoadOptions) -> dict[str, Any]:
    lines = make_batch_lines(
        options.model,
        options.batch_lines,
        options.tokens,
    )
    caller = Caller(front=options.fronts[0], key=options.keys[0])
    return caller.submit(lines, BATCH_WINDOW, '')


def _run_all(options: LoadOptions) -> list[LoadReport]:
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
            seed=options.seed + place,
        )
        for place, key in enumerate(options.keys)
    ]
