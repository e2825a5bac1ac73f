"""Deletes batches whose retention period has ended."""

import time

import curio
from jacinthmount.errors import StoreConflict, StoreUnavailable
from jacinthmount.item_batches import (
    BATCH_PREFIX,
    ItemBatch,
    batch_name,
    chunk_name,
    result_segment_name,
)
from jacinthmount.ports import ObjectStore

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.manifests import parse_manifests
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = ('is_expired', 'remove_batch', 'run_cleanup')

# Results stay readable for this long after the end of the retention period.
REMOVAL_DELAY_MS = 600_000
CLEANUP_INTERVAL_S = 30.0
MS = 1000


async def run_cleanup(state: RelayState, watch: ObjectWatch) -> None:
    """Deletes expired batches while this host is the active runner.

    :param watch: the watch on the batch manifests.
    """
    while True:
        await curio.sleep(CLEANUP_INTERVAL_S)
        if state.leadership.active:
            try:
                await _remove_expired(state.store, watch)
            except StoreUnavailable as exc:
                log_event('cleanup_waits', detail=exc.detail)


async def _remove_expired(store: ObjectStore, watch: ObjectWatch) -> None:
    now_ms = time.time() * MS
    for name, manifest in parse_manifests(watch.objects()).items():
        if is_expired(manifest, now_ms):
            await remove_batch(store, name, manifest)


def is_expired(manifest: ItemBatch, now_ms: float) -> bool:
    """Returns whether a batch may be deleted."""
    return now_ms > manifest.keep_until_ms + REMOVAL_DELAY_MS


async def remove_batch(
    store: ObjectStore,
    name: str,
    manifest: ItemBatch,
) -> None:
    """Deletes results, input and manifest of a batch; idempotent.

    The manifest is deleted last, so that the next cleanup finds a batch whose
    removal was interrupted.

    :raises StoreUnavailable: the store did not answer.
    """
    key = name.removeprefix(BATCH_PREFIX)
    index = 0
    while await _remove(store, result_segment_name(key, index)):
        index += 1
    for chunk in range(manifest.chunks):
        await _remove(store, chunk_name(key, chunk))
    await _remove(store, batch_name(key))
    log_event('batch_removed', batch=manifest.batch_id, segments=index)


async def _remove(store: ObjectStore, name: str) -> bool:
    stored = await store.read(name)
    if stored is None:
        return False
    try:
        await store.delete(name, stored.version)
    except StoreConflict:
        log_event('removal_raced', name=name)
    return True
