"""Experiments on a fleet of processes; each prints its figures as JSON."""

import json
import types
from pathlib import Path
from typing import Any

from jacinthmount_standin.measure_faults import measure_faults
from jacinthmount_standin.measure_node import (
    measure_overhead,
    measure_slopes,
    measure_spread,
)
from jacinthmount_standin.measure_overload import measure_overload
from jacinthmount_standin.measure_policy import (
    measure_batch,
    measure_fairness,
)
from jacinthmount_standin.measure_prefixes import measure_prefixes
from jacinthmount_standin.split_study import study_splits

__all__ = ('EXPERIMENTS', 'run_experiment')


def run_experiment(name: str, folder: Path) -> dict[str, Any]:
    """Runs one experiment and writes its figures to ``<name>.json``.

    :param folder: folder for the figures; logs go to its subfolder ``<name>``.
    :returns: the figures.
    """
    figures = EXPERIMENTS[name](folder / name)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f'{name}.json').write_text(json.dumps(figures, indent=2))
    return figures


def _measure_splits(folder: Path) -> dict[str, Any]:
    return dict(study_splits())


EXPERIMENTS = types.MappingProxyType({
    'overhead': measure_overhead,
    'batch': measure_batch,
    'fairness': measure_fairness,
    'overload': measure_overload,
    'faults': measure_faults,
    'prefixes': measure_prefixes,
    'slopes': measure_slopes,
    'spread': measure_spread,
    'splits': _measure_splits,
})
