"""Order in which waiting batch items run, and which run gives way.

Answers a load of many batches with deadlines beside online peaks: items that
can still be in time go first, by deadline; the late ones use what is left.
"""

from collections.abc import Iterable

__all__ = ('ItemRun', 'choose_preempted', 'order_waiting')

EXPECTED_RUN_S = 3.0


class ItemRun:
    """A batch item on its way, with the events received so far.

    ``batch`` is the key of its batch, ``batch_id`` the id that its caller gave.
    ``due_at`` is in monotonic seconds. ``failures`` counts answers by which
    the endpoint said that it failed.
    """

    __slots__ = (
        'account',
        'batch',
        'batch_id',
        'body',
        'due_at',
        'endpoint_id',
        'failures',
        'headers',
        'heard_at',
        'host_name',
        'item_id',
        'last_event',
        'path',
        'service',
        'started_at',
        'starts',
        'texts',
        'tokens',
        'waits_since',
    )

    def __init__(
        self,
        *,
        batch: str,
        batch_id: str,
        item_id: str,
        account: str,
        host_name: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        tokens: int,
        due_at: float,
    ) -> None:
        """Starts with nothing received."""
        self.batch = batch
        self.batch_id = batch_id
        self.item_id = item_id
        self.account = account
        self.host_name = host_name
        self.path = path
        self.headers = headers
        self.body = body
        self.tokens = tokens
        self.due_at = due_at
        self.service = ''
        self.endpoint_id = ''
        self.texts: list[str] = []
        self.last_event: int | None = None
        self.failures = 0
        self.starts = 0
        self.started_at = 0.0
        self.heard_at = 0.0
        self.waits_since = 0.0


def order_waiting(runs: Iterable[ItemRun], now: float) -> list[ItemRun]:
    """Orders waiting items, those that can be in time first.

    Among late ones those that have received most are nearest to their end.
    """
    return sorted(runs, key=lambda run: _rank(run, now))


def choose_preempted(
    runs: list[ItemRun],
    count: int,
    now: float,
) -> list[ItemRun]:
    """Chooses runs that give way to online requests.

    The last in the order of waiting goes first; each resumes elsewhere.
    """
    return sorted(runs, key=lambda run: _rank(run, now), reverse=True)[:count]


def _rank(run: ItemRun, now: float) -> tuple[bool, float, int]:
    late = run.due_at < now + EXPECTED_RUN_S / (1 + len(run.texts))
    return late, run.due_at, -len(run.texts)
