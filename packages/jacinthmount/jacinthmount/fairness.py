"""Fair queue: fewest running entries first, then deficit round robin."""

from collections import deque
from typing import Generic, TypeVar

__all__ = ('FairQueue',)

# About one short request, so that the turn of one account stays short.
QUANTUM_TOKENS = 32.0

EntryT = TypeVar('EntryT')


class _Flow(Generic[EntryT]):
    __slots__ = ('deficit', 'waiting', 'weight')

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.deficit = 0.0
        self.waiting: deque[tuple[float, EntryT]] = deque()


class FairQueue(Generic[EntryT]):
    """Waiting entries by account, served in proportion to the weights.

    The account with the fewest running entries per weight is served next, so an
    account with few requests waits for one slot only. Accounts with equally
    many are served by deficit round robin over estimated tokens.
    """

    __slots__ = ('_flows', '_running', '_turns', '_count')

    def __init__(self) -> None:
        self._running: dict[str, int] = {}
        self._flows: dict[str, _Flow[EntryT]] = {}
        self._turns: deque[str] = deque()
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of waiting entries."""
        return self._count

    def push(
        self,
        account: str,
        weight: float,
        tokens: float,
        entry: EntryT,
    ) -> None:
        """Adds an entry.

        :param tokens: estimated tokens of the entry.
        """
        flow = self._flows.get(account)
        if flow is None:
            flow = _Flow(weight=weight)
            self._flows[account] = flow
            self._turns.append(account)
        flow.weight = weight
        flow.waiting.append((tokens, entry))
        self._count += 1

    def pop(self) -> EntryT | None:
        """Removes and returns the next entry, or None if there is none."""
        min_load = min(map(self._load, self._turns), default=0)
        while self._turns:
            account = self._turns[0]
            flow = self._flows[account]
            if self._load(account) > min_load:
                self._turns.rotate(-1)
                continue
            tokens, entry = flow.waiting[0]
            if flow.deficit >= tokens:
                flow.waiting.popleft()
                flow.deficit -= tokens
                self._count -= 1
                self._drop_if_idle(account, flow)
                return entry
            flow.deficit += QUANTUM_TOKENS * flow.weight
            self._turns.rotate(-1)
        return None

    def remove(self, account: str, entry: EntryT) -> bool:
        """Removes a waiting entry.

        :returns: whether it was still waiting.
        """
        flow = self._flows.get(account)
        if flow is None:
            return False
        for pair in flow.waiting:
            if pair[1] is entry:
                flow.waiting.remove(pair)
                self._count -= 1
                self._drop_if_idle(account, flow)
                return True
        return False

    def begin(self, account: str) -> None:
        """Counts an entry of an account as running."""
        self._running[account] = self._running.get(account, 0) + 1

    def end(self, account: str) -> None:
        """Counts a running entry of an account as ended."""
        remaining = self._running.pop(account) - 1
        if remaining:
            self._running[account] = remaining

    def waiting(self, account: str) -> int:
        """Returns the number of waiting entries of an account."""
        flow = self._flows.get(account)
        return len(flow.waiting) if flow else 0

    def accounts(self) -> int:
        """Returns the number of accounts with waiting entries."""
        return len(self._flows)

    def _load(self, account: str) -> float:
        return self._running.get(account, 0) / self._flows[account].weight

    def _drop_if_idle(self, account: str, flow: _Flow[EntryT]) -> None:
        if not flow.waiting:
            self._flows.pop(account)
            self._turns.remove(account)
