"""Order in which waiting batch items start and running ones are preempted.

After an outage or a burst of submissions there may be more items than can meet
their deadlines, and earliest deadline first would finish all of them slightly
too late. So as many items as possible are selected to meet their deadlines and
run in the order of deadlines. The others use the remaining capacity, those with
the shortest remaining run first.
"""

import heapq
from collections.abc import Callable, Iterable

from jacinthmount.crash_strikes import Suspect
from jacinthmount.resumable_text import ResumableText

__all__ = ('ItemRun', 'choose_preempted', 'order_waiting')

# Part of its forecast that an item needs at least: a run that is shorter than
# usual may still meet its deadline.
SHORT_RUN_FACTOR = 0.9

RemainingS = Callable[['ItemRun'], float]


class ItemRun(ResumableText):
    """A batch item that waits or runs, with the events received so far.

    ``batch`` is the key of its batch and ``batch_id`` the id in the API. All
    ``_at`` and ``_since`` attributes are monotonic seconds. ``failures`` counts
    the responses in which an endpoint reported a failure. ``avoided`` has the
    ids of endpoints whose answers to it had no end.
    """

    __slots__ = (
        'account',
        'avoided',
        'batch',
        'batch_id',
        'body',
        'due_at',
        'endpoint_id',
        'failures',
        'headers',
        'last_seen_at',
        'host_name',
        'is_finished',
        'item_id',
        'path',
        'route',
        'service',
        'started_at',
        'starts',
        'suspect',
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
        super().__init__()
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
        self.failures = 0
        self.avoided: set[str] = set()
        # What tells it from others if an endpoint crashes.
        self.suspect: Suspect | None = None
        # The events are complete, but the result is not in the log yet.
        self.is_finished = False
        self.starts = 0
        self.started_at = 0.0
        self.last_seen_at = 0.0
        self.waiting_since = 0.0

    def begin_anew(self) -> None:
        """Drops the events received so far."""
        super().begin_anew()
        self.texts = []


def order_waiting(
    waiting: Iterable[ItemRun],
    running: Iterable[ItemRun],
    slots: int,
    remaining_s: RemainingS,
    now: float,
) -> list[ItemRun]:
    """Orders waiting items, those selected to meet their deadlines first.

    :param running: items that already use slots, which are scheduled as well.
    :param slots: average number of items that may run at a time.
    :param remaining_s: function that forecasts the remaining run of an item in
        seconds.
    :param now: monotonic seconds.
    """
    pending = list(waiting)
    late = _choose_late([*pending, *running], max(1, slots), remaining_s, now)
    return sorted(
        pending,
        key=lambda run: _rank(run, run.item_id in late, remaining_s),
    )


def choose_preempted(
    runs: list[ItemRun],
    count: int,
    remaining_s: RemainingS,
    now: float,
) -> list[ItemRun]:
    """Chooses the runs to preempt in favour of online requests.

    Runs that can't meet their deadline come first, then those with the latest
    deadline. A preempted run resumes on another slot.
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
    remaining_s: RemainingS,
    now: float,
) -> set[str]:
    """Selects the fewest items to be late so that all others are in time.

    This is the Moore-Hodgson algorithm, with all slots modelled as one machine
    that is ``slots`` times as fast.
    """
    late = set()
    kept: list[tuple[float, str]] = []
    work_s = 0.0
    for run in sorted(items, key=lambda item: item.due_at):
        remaining = remaining_s(run)
        if now + remaining * SHORT_RUN_FACTOR > run.due_at:
            late.add(run.item_id)
            continue
        heapq.heappush(kept, (-remaining, run.item_id))
        work_s += remaining
        if now + work_s / slots > run.due_at:
            longest_s, item_id = heapq.heappop(kept)
            work_s += longest_s
            late.add(item_id)
    return late


def _rank(
    run: ItemRun,
    is_late: bool,
    remaining_s: RemainingS,
) -> tuple[bool, float, int]:
    urgency = remaining_s(run) if is_late else run.due_at
    return is_late, urgency, -len(run.texts)
