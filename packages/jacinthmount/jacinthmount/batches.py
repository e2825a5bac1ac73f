"""Batch manifests and the order in which open batches are processed."""

import hashlib

from jacinthmount.records import Record

__all__ = (
    'BATCH_CANCELLED',
    'BATCH_COMPLETED',
    'BATCH_OPEN',
    'BatchManifest',
    'batch_name',
    'derive_batch_id',
    'ended_name',
    'order_batches',
)

BATCH_PREFIX = 'fleet/batches/'
ENDED_PREFIX = 'ended/'
BATCH_OPEN = 'open'
BATCH_CANCELLED = 'cancelled'
BATCH_COMPLETED = 'completed'
BATCH_ID_CHARS = 24
# Batches with less time left than this are ordered by deadline alone.
URGENT_SLACK_S = 600.0


class BatchManifest(Record):
    """Manifest of an accepted batch.

    ``chunks`` is the number of chunks of the input file. ``deadline_s`` is in
    seconds since the epoch.
    """

    __slots__ = (
        'batch_id',
        'account',
        'input_file',
        'endpoint',
        'chunks',
        'lines',
        'targets',
        'created_s',
        'deadline_s',
        'state',
        'ended_s',
        'completed',
        'failed',
        'window',
        'metadata',
        'request_hash',
        'write_id',
    )

    batch_id: str
    account: str
    input_file: str
    endpoint: str
    chunks: int
    lines: int
    targets: list[str]
    created_s: float
    deadline_s: float
    state: str
    ended_s: float | None
    completed: int
    failed: int
    window: str
    metadata: dict[str, str]
    request_hash: str
    write_id: str


def batch_name(account: str, batch_id: str) -> str:
    """Returns the object name of the manifest of a batch."""
    return f'{BATCH_PREFIX}{account}/{batch_id}'


def ended_name(account: str, batch_id: str) -> str:
    """Returns the object name of the manifest of an ended batch."""
    return f'{ENDED_PREFIX}{account}/{batch_id}'


def derive_batch_id(account: str, idempotency_key: str) -> str:
    """Derives a stable batch id, so that a resent request finds its batch."""
    digest = hashlib.sha256(f'{account}\n{idempotency_key}'.encode())
    return f'batch_{digest.hexdigest()[:BATCH_ID_CHARS]}'


def order_batches(
    batches: list[BatchManifest],
    served: dict[str, float],
    now_s: float,
) -> list[BatchManifest]:
    """Sorts open batches by processing order.

    Batches whose slack (time until the deadline) is below ``URGENT_SLACK_S``
    come first, by least slack. The others are sorted by the recent work of
    their account, least first, then by slack.

    :param served: recent work by account, divided by the account's weight.
    :param now_s: seconds since the epoch.
    """
    return sorted(batches, key=lambda batch: _sort_key(batch, served, now_s))


def _sort_key(
    batch: BatchManifest,
    served: dict[str, float],
    now_s: float,
) -> tuple[bool, float, float, str]:
    slack = batch.deadline_s - now_s
    urgent = slack < URGENT_SLACK_S
    work = 0.0 if urgent else served.get(batch.account, 0.0)
    return (not urgent, work, slack, batch.batch_id)
