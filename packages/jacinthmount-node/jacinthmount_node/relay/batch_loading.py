"""Reading of open batches when their runner takes them over."""

import time
from collections.abc import Callable

import curio
from jacinthmount.batch_order import ItemRun
from jacinthmount.errors import StoreUnavailable

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.batch_jobs import BatchJob, read_open_items
from jacinthmount_node.relay.state import RelayState

__all__ = ('load_runs',)

RETRY_S = 0.3
# Longest pause between two readings of a batch that is malformed.
MAX_MALFORMED_PAUSE_S = 5.0
MS = 1000


async def load_runs(
    state: RelayState,
    job: BatchJob,
    is_open: Callable[[], bool],
) -> list[ItemRun]:
    """Reads a batch until that succeeds, since its items are owed.

    :param is_open: returns whether the items are still to be run.
    :returns: the runs of the items without a result; none if it was closed
        meanwhile.
    """
    malformed_pause_s = RETRY_S
    while is_open():
        try:
            items = await read_open_items(state.store, job)
            due_in_s = job.manifest.due_at_ms / MS - time.time()
            return job.fill(items, state.now() + due_in_s)
        except StoreUnavailable as exc:
            _log_unread('batch_read_failed', job, exc)
            await curio.sleep(RETRY_S)
        except (Exception, curio.TaskTimeout) as exc:
            # The input that was read may be older than its manifest.
            _log_unread('bad_batch', job, exc)
            await curio.sleep(malformed_pause_s)
            malformed_pause_s = min(
                2 * malformed_pause_s, MAX_MALFORMED_PAUSE_S
            )
    return []


def _log_unread(event: str, job: BatchJob, exc: BaseException) -> None:
    log_event(
        event,
        batch=job.manifest.batch_id,
        detail=f'{type(exc).__name__}: {exc}',
    )
