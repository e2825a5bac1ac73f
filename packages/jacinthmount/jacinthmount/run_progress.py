"""Stored events of unfinished batch items, for another runner to resume.

Without them all running items would restart and miss their deadlines after a
loss of the active runner, or of power everywhere, under full load. The stored
events may be older than the received ones; then a run repeats the difference,
with the same results.
"""

from collections.abc import Iterable

from jacinthmount.batch_order import ItemRun
from jacinthmount.records import Record

__all__ = (
    'PROGRESS_PREFIX',
    'ItemProgress',
    'RunnerProgress',
    'adopt_progress',
    'make_progress',
    'progress_name',
    'write_interval_s',
)

PROGRESS_PREFIX = 'batch-progress/'
# A value in the store may have at most a megabyte, including name and quoting.
MAX_CHARS = 600_000
MIN_INTERVAL_S = 0.8
CHARS_PER_S = 500_000


class ItemProgress(Record):
    """Events of one item, in order from the first.

    ``batch`` is the key of its batch, ``last_event`` the number of the last
    event, and ``failures`` the number of failures that endpoints reported.
    """

    __slots__ = ('batch', 'item_id', 'last_event', 'failures', 'texts')

    batch: str
    item_id: str
    last_event: int | None
    failures: int
    texts: list[str]


class RunnerProgress(Record):
    """Events that one runner has received for its running items."""

    __slots__ = ('write_id', 'items')

    write_id: str
    items: list[ItemProgress]


def progress_name(host: str) -> str:
    """Returns the name of the progress object of a runner."""
    return f'{PROGRESS_PREFIX}{host}'


def make_progress(runs: Iterable[ItemRun], write_id: str) -> RunnerProgress:
    """Creates the progress of runs, those with most events first.

    Runs that do not fit into ``MAX_CHARS`` are left out.
    """
    started = [run for run in runs if run.texts or run.failures]
    started.sort(key=lambda run: -len(run.texts))
    items = []
    chars = 0
    for run in started:
        chars += _count_chars(run.texts)
        if chars > MAX_CHARS:
            break
        items.append(
            ItemProgress(
                batch=run.batch,
                item_id=run.item_id,
                last_event=run.last_event,
                failures=run.failures,
                texts=list(run.texts),
            ),
        )
    return RunnerProgress(write_id=write_id, items=items)


def adopt_progress(
    runs: dict[str, ItemRun],
    batch: str,
    stored: Iterable[RunnerProgress],
) -> int:
    """Copies stored events to runs that have not started on this host.

    :param runs: runs of one batch by item id.
    :param batch: key of the batch.
    :returns: number of events that need not be received again.
    """
    return sum(
        _adopt_item(runs[item.item_id], item)
        for progress in stored
        for item in progress.items
        if item.batch == batch and item.item_id in runs
    )


def write_interval_s(progress: RunnerProgress) -> float:
    """Returns the pause after a write, which bounds the bytes per second."""
    chars = sum(_count_chars(item.texts) for item in progress.items)
    return max(MIN_INTERVAL_S, chars / CHARS_PER_S)


def _adopt_item(run: ItemRun, item: ItemProgress) -> int:
    run.failures = max(run.failures, item.failures)
    gained = len(item.texts) - len(run.texts)
    if run.starts or gained <= 0:
        return 0
    run.texts = list(item.texts)
    run.last_event = item.last_event
    return gained


def _count_chars(texts: list[str]) -> int:
    return sum(len(text) for text in texts)
