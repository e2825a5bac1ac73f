"""Claims of hosts on batch chunks.

A claim only saves work. Whether an item is done is decided by the result log.
"""

from jacinthmount.records import Record

__all__ = (
    'HeartbeatMonitor',
    'Claim',
    'Heartbeat',
    'heartbeat_name',
    'claim_name',
)

LEASE_S = 15.0


class Claim(Record):
    """Which start of which host works on a chunk."""

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
    """Renewal object of one host for all of its claims."""

    __slots__ = ('incarnation', 'write_id')

    incarnation: str
    write_id: str


def claim_name(batch_id: str, chunk: int) -> str:
    """Names the claim object of a chunk."""
    return f'claims/{batch_id}/{chunk:06d}'


def heartbeat_name(host: str) -> str:
    """Names the renewal object of a host."""
    return f'beats/{host}'


class HeartbeatMonitor:
    """How long the renewal object of each host has stood still."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        """Starts with nothing seen."""
        self._seen: dict[str, tuple[int, float]] = {}

    def on_heartbeat(self, host: str, version: int, now: float) -> None:
        """Notes the version of a renewal object, 0 where it is absent."""
        known = self._seen.get(host)
        if known is None or known[0] != version:
            self._seen[host] = (version, now)

    def expired(self, host: str, now: float) -> bool:
        """Tells whether the object stood still for the length of a lease."""
        known = self._seen.get(host)
        return known is not None and now - known[1] >= LEASE_S


def may_claim(
    found: Claim | None,
    host: str,
    incarnation: str,
    *,
    expired: bool,
) -> bool:
    """Tells whether a host may take a chunk.

    :param expired: whether the holder's lease has run out.
    """
    if found is None:
        return True
    if found.done:
        return False
    if found.holder == host:
        return found.incarnation != incarnation
    return expired


def next_claim(
    found: Claim | None,
    host: str,
    incarnation: str,
    write_id: str,
) -> Claim:
    """Makes the claim that replaces the one found."""
    epoch = found.epoch + 1 if found else 1
    return Claim(
        holder=host,
        incarnation=incarnation,
        epoch=epoch,
        done=False,
        completed=0,
        failed=0,
        write_id=write_id,
    )
