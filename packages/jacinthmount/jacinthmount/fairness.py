"""Turns of client accounts: fewest running first, then deficit round robin."""

from collections import deque
from typing import Generic, TypeVar

__all__ = ('FairQueue',)

# About one short request, so that a turn of one account stays short.
QUANTUM_TOKENS = 32.0

EntryT = TypeVar('EntryT')


class _Flow(Generic[EntryT]):
    __slots__ = ('deficit', 'waiting', 'weight')

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.deficit = 0.0
        self.waiting: deque[tuple[float, EntryT]] = deque()


class FairQueue(Generic[EntryT]):
    """Entries by account; each account gets slots and tokens by its weight.

    The account that has the fewest entries running for its weight is next, so
    that one that asks seldom waits for one slot only. Those that have equally
    many take turns by estimated tokens.
    """

    __slots__ = ('_flows', '_running', '_turns', '_count')

    def __init__(self) -> None:
        """Starts empty."""
        self._running: dict[str, int] = {}
        self._flows: dict[str, _Flow[EntryT]] = {}
        self._turns: deque[str] = deque()
        self._count = 0

    def __len__(self) -> int:
        """Counts the waiting entries."""
        return self._count

    def push(
        self,
        account: str,
        weight: float,
        tokens: float,
        entry: EntryT,
    ) -> None:
        """Adds an entry with its estimated tokens."""
        flow = self._flows.get(account)
        if flow is None:
            flow = _Flow(weight=weight)
            self._flows[account] = flow
            self._turns.append(account)
        flow.weight = weight
        flow.waiting.append((tokens, entry))
        self._count += 1

    def pop(self) -> EntryT | None:
        """Removes the next entry in turn, or returns None."""
        least = min(map(self._load, self._turns), default=0)
        while self._turns:
            account = self._turns[0]
            flow = self._flows[account]
            if self._load(account) > least:
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
        """Notes that an entry of an account has begun to run."""
        self._running[account] = self._running.get(account, 0) + 1

    def end(self, account: str) -> None:
        """Notes that a running entry of an account has ended."""
        left = self._running.pop(account) - 1
        if left:
            self._running[account] = left

    def waiting(self, account: str) -> int:
        """Counts the entries of one account."""
        flow = self._flows.get(account)
        return len(flow.waiting) if flow else 0

    def accounts(self) -> int:
        """Counts the accounts that wait."""
        return len(self._flows)

    def _load(self, account: str) -> float:
        return self._running.get(account, 0) / self._flows[account].weight

    def _drop_if_idle(self, account: str, flow: _Flow[EntryT]) -> None:
        if not flow.waiting:
            self._flows.pop(account)
            self._turns.remove(account)
