"""Order in which waiting batch items run, and which run gives way.

Answers more batch items than can be in time, after an outage or in a burst of
submissions: by deadline alone all would end just too late. As many as possible
are chosen to be in time, and go by deadline; the others use what is left, those
nearest to their end first.
"""

import heapq
from collections.abc import Callable, Iterable

__all__ = ('ItemRun', 'choose_preempted', 'order_waiting')

# Of the forecast; a run that is shorter than usual may still be in time.
OPTIMISM = 0.9

LeftS = Callable[['ItemRun'], float]


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
        'last_seen_at',
        'host_name',
        'item_id',
        'last_event',
        'path',
        'route',
        'service',
        'started_at',
        'starts',
        'texts',
        'tokens',
        'waiting_since',
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
        route: str = '',
    ) -> None:
        """Starts with nothing received."""
        self.route = route
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
        self.last_seen_at = 0.0
        self.waiting_since = 0.0


def order_waiting(
    waiting: Iterable[ItemRun],
    running: Iterable[ItemRun],
    slots: int,
    remaining_s: LeftS,
    now: float,
) -> list[ItemRun]:
    """Orders waiting items: by deadline those that are chosen to be in time.

    :param running: items that hold slots already and count as well.
    :param slots: items that may run at a time, on average.
    :param remaining_s: tells for how many seconds an item still has to run.
    """
    wanted = list(waiting)
    late = _choose_late([*wanted, *running], max(1, slots), remaining_s, now)
    return sorted(
        wanted,
        key=lambda run: _rank(run, run.item_id in late, remaining_s),
    )


def choose_preempted(
    runs: list[ItemRun],
    count: int,
    remaining_s: LeftS,
    now: float,
) -> list[ItemRun]:
    """Chooses runs that give way to online requests.

    Those that can't be in time go first, then the latest deadline; each
    resumes elsewhere.
    """
    ranked = sorted(
        runs,
        key=lambda run: _rank(
            run, run.due_at < now + remaining_s(run), remaining_s
        ),
        reverse=True,
    )
    return ranked[:count]


def _choose_late(
    items: list[ItemRun],
    slots: int,
    remaining_s: LeftS,
    now: float,
) -> set[str]:
    """Chooses the fewest items without which all others are in time.

    The rule of Moore and Hodgson, with all slots taken for one that is as
    many times faster.
    """
    late = set()
    kept: list[tuple[float, str]] = []
    work_s = 0.0
    for run in sorted(items, key=lambda one: one.due_at):
        left = remaining_s(run)
        if now + left * OPTIMISM > run.due_at:
            late.add(run.item_id)
            continue
        heapq.heappush(kept, (-left, run.item_id))
        work_s += left
        if now + work_s / slots > run.due_at:
            longest_s, item_id = heapq.heappop(kept)
            work_s += longest_s
            late.add(item_id)
    return late


def _rank(
    run: ItemRun,
    is_late: bool,
    remaining_s: LeftS,
) -> tuple[bool, float, int]:
    urgency = remaining_s(run) if is_late else run.due_at
    return is_late, urgency, -len(run.texts)
