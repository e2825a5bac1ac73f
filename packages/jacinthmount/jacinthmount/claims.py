"""Claims of hosts on batch chunks.

A claim only avoids duplicate work. The result log alone decides which items are
done.
"""

from jacinthmount.records import Record

__all__ = (
    'HeartbeatMonitor',
    'Claim',
    'Heartbeat',
    'heartbeat_name',
    'claim_name',
)

# A claim expires when the heartbeat of its holder has not changed for this
# time.
LEASE_S = 15.0


class Claim(Record):
    """The host, and its incarnation, that processes a chunk."""

    __slots__ = (
        'holder',
        'incarnation',
        'epoch',
        'done',
        'completed',
        'failed',
        'write_id',
    )

    holder: str
    incarnation: str
    epoch: int
    done: bool
    completed: int
    failed: int
    write_id: str


class Heartbeat(Record):
    """Object that a host rewrites to renew all of its claims."""

    __slots__ = ('incarnation', 'write_id')

    incarnation: str
    write_id: str


def claim_name(batch_id: str, chunk: int) -> str:
    """Returns the name of the claim object of a chunk."""
    return f'claims/{batch_id}/{chunk:06d}'


def heartbeat_name(host: str) -> str:
    """Returns the name of the heartbeat object of a host."""
    return f'beats/{host}'


class HeartbeatMonitor:
    """Tracks for how long the heartbeat object of each host has not changed."""

    __slots__ = ('_versions',)

    def __init__(self) -> None:
        self._versions: dict[str, tuple[int, float]] = {}

    def on_heartbeat(self, host: str, version: int, now: float) -> None:
        """Records the version of a heartbeat object, 0 if it does not exist."""
        known = self._versions.get(host)
        if known is None or known[0] != version:
            self._versions[host] = (version, now)

    def expired(self, host: str, now: float) -> bool:
        """Returns whether the heartbeat has not changed for ``LEASE_S``."""
        known = self._versions.get(host)
        return known is not None and now - known[1] >= LEASE_S


def may_claim(
    current: Claim | None,
    host: str,
    incarnation: str,
    *,
    expired: bool,
) -> bool:
    """Returns whether a host may claim a chunk.

    :param current: the claim in the store, if any.
    :param expired: whether the lease of its holder has expired.
    """
    if current is None:
        return True
    if current.done:
        return False
    if current.holder == host:
        return current.incarnation != incarnation
    return expired


def next_claim(
    current: Claim | None,
    host: str,
    incarnation: str,
    write_id: str,
) -> Claim:
    """Creates the claim that replaces the current one."""
    epoch = current.epoch + 1 if current else 1
    return Claim(
        holder=host,
        incarnation=incarnation,
        epoch=epoch,
        done=False,
        completed=0,
        failed=0,
        write_id=write_id,
    )
