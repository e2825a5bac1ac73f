"""Events of unfinished batch items, kept so that another runner can go on.

Answers the loss of the active runner, or of power everywhere, under a full load
of batch items: without it all that ran begins anew and misses its deadline.
What is kept may be older than what was received; then a run repeats the
difference, and results are the same.
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
# A value of the store is a megabyte at most, with its name and quoting.
MAX_CHARS = 600_000
MIN_INTERVAL_S = 0.8
CHARS_PER_S = 500_000


class ItemProgress(Record):
    """Events of one item, in order from the first one.

    ``batch`` is the key of its batch, ``last_event`` the number of the last
    event, ``failures`` how often an endpoint said that the item failed.
    """

    __slots__ = ('batch', 'item_id', 'last_event', 'failures', 'texts')

    batch: str
    item_id: str
    last_event: int | None
    failures: int
    texts: list[str]


class RunnerProgress(Record):
    """What one runner has received of the items it works on."""

    __slots__ = ('write_id', 'items')

    write_id: str
    items: list[ItemProgress]


def progress_name(host: str) -> str:
    """Names the object of a runner."""
    return f'{PROGRESS_PREFIX}{host}'


def make_progress(runs: Iterable[ItemRun], write_id: str) -> RunnerProgress:
    """Describes runs, those nearest to their end first while there is room."""
    begun = [run for run in runs if run.texts or run.failures]
    begun.sort(key=lambda run: -len(run.texts))
    items = []
    chars = 0
    for run in begun:
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
    found: Iterable[RunnerProgress],
) -> int:
    """Lets runs that have not begun here go on after what is kept.

    :param runs: runs of one batch by item.
    :returns: how many events need not be received again.
    """
    return sum(
        _adopt_item(runs[item.item_id], item)
        for progress in found
        for item in progress.items
        if item.batch == batch and item.item_id in runs
    )


def write_interval_s(progress: RunnerProgress) -> float:
    """Tells how long to wait after a write, so that many items cost no more."""
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
