"""Stored events of batch items without a result, for another runner to resume.

Without them all running items would restart and miss their deadlines after a
loss of the active runner, or of power everywhere, under full load. The stored
events may be older than the received ones; then a run repeats the difference,
with the same results. Items whose results wait to be written need no run.
"""

from collections.abc import Iterable
from itertools import chain

from jacinthmount.batch_order import ItemRun
from jacinthmount.records import Record, serialize_json
from jacinthmount.stream_origins import StreamOrigin

__all__ = (
    'PROGRESS_PREFIX',
    'MAX_BYTES',
    'ItemProgress',
    'RunnerProgress',
    'adopt_progress',
    'make_progress',
    'progress_name',
    'write_interval_s',
)

PROGRESS_PREFIX = 'batch-progress/'
# A value in the store may have at most a megabyte, in which quotes and
# backslashes may count twice.
MAX_BYTES = 500_000
MIN_INTERVAL_S = 0.8
BYTES_PER_S = 500_000


class ItemProgress(Record):
    """Events of one item, in order from the first.

    ``batch`` is the key of its batch, ``last_event`` the number of the last
    event, ``failures`` the number of failures that endpoints reported, and
    ``origin`` where the events began.
    ``finished`` means that the events are complete.
    """

    __slots__ = (
        'batch',
        'item_id',
        'last_event',
        'failures',
        'texts',
        'finished',
        'origin',
    )

    batch: str
    item_id: str
    last_event: int | None
    failures: int
    texts: list[str]
    finished: bool
    origin: StreamOrigin | None


class RunnerProgress(Record):
    """Events that one runner has received for its running items."""

    __slots__ = ('write_id', 'items')

    write_id: str
    items: list[ItemProgress]


def progress_name(host: str) -> str:
    """Returns the name of the progress object of a runner."""
    return f'{PROGRESS_PREFIX}{host}'


def make_progress(
    runs: Iterable[ItemRun],
    finished: Iterable[ItemProgress],
    write_id: str,
    max_bytes: int = MAX_BYTES,
) -> RunnerProgress:
    """Creates the progress of a runner.

    :param runs: unfinished items; those with most events come first.
    :param finished: items whose results wait to be written; they come before
        the others.
    :param max_bytes: size limit in JSON; items that do not fit are left out.
    """
    started = [run for run in runs if run.texts or run.failures]
    started.sort(key=lambda run: -len(run.texts))
    items = []
    free_bytes = max_bytes
    for item in chain(finished, map(_make_item, started)):
        size = len(serialize_json(item))
        if size <= free_bytes:
            items.append(item)
            free_bytes -= size
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


def write_interval_s(size: int) -> float:
    """Returns the pause after a write, which bounds the bytes per second."""
    return max(MIN_INTERVAL_S, size / BYTES_PER_S)


def _make_item(run: ItemRun) -> ItemProgress:
    return ItemProgress(
        batch=run.batch,
        item_id=run.item_id,
        last_event=run.last_event,
        failures=run.failures,
        texts=list(run.texts),
        finished=False,
        origin=run.origin,
    )


def _adopt_item(run: ItemRun, item: ItemProgress) -> int:
    run.failures = max(run.failures, item.failures)
    gained = len(item.texts) - len(run.texts)
    if run.starts or run.is_finished:
        return 0
    if gained <= 0 and not item.finished:
        return 0
    if item.origin is None and not item.finished:
        # Nobody knows at which version these events could go on.
        return 0
    run.texts = list(item.texts)
    run.last_event = item.last_event
    run.is_finished = item.finished
    run.origin = item.origin
    return max(0, gained)
