"""Plots latency histograms."""

from pathlib import Path

from hdrh.histogram import HdrHistogram
from matplotlib.figure import Figure

__all__ = ('plot_latencies',)

PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
MICROSECONDS_PER_MS = 1000
SIZE_INCHES = (8, 4.5)
GRID_ALPHA = 0.3
LEGEND_COLUMNS = 3


def plot_latencies(
    histograms: dict[str, HdrHistogram],
    title: str,
    path: Path,
) -> None:
    """Plots latency by percentile, with one line per histogram.

    :param histograms: histograms in microseconds, by legend label.
    :param path: image file to write.
    """
    figure = Figure(figsize=SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    positions = range(len(PERCENTILES))
    for name, histogram in histograms.items():
        latencies = [
            histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS
            for percentile in PERCENTILES
        ]
        axes.plot(positions, latencies, marker='o', label=name)
    axes.set_xticks(list(positions), [f'{tick:g}' for tick in PERCENTILES])
    axes.set_xlabel('percentile')
    axes.set_ylabel('milliseconds')
    axes.set_yscale('log')
    axes.grid(visible=True, alpha=GRID_ALPHA)
    axes.set_title(title)
    figure.legend(loc='outside lower center', ncols=LEGEND_COLUMNS)
    figure.savefig(path)
