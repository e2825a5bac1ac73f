"""Memory budget of what callers make a process keep.

Guards against many callers that each stay within their limits and together
outgrow the process: incomplete requests that make no progress are ended first,
so that ordinary ones can complete.
"""

import enum
from collections.abc import Callable
from typing import Any

from jacinthmount.ports import Clock

__all__ = ('CallerMemory', 'HoldState', 'Holding')

DEFAULT_LIMIT_BYTES = 67_108_864
DEFAULT_CONNECTIONS = 4096
# Holdings above this size may fill only a part of the budget, so that requests
# of usual size find room beside them.
SMALL_BYTES = 65_536
LARGE_FRACTION = 0.75
# Holdings below this part of the average are ended only if there are no others.
MIN_AVERAGE_PART = 0.5
# Silences are compared in steps; within one, the remaining bytes decide.
SILENCE_STEP_S = 0.25


class HoldState(enum.Enum):
    """What a connection does with the bytes that it holds."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    ANSWERING = 'answering'
    SENDING = 'sending'


class Holding:
    """Counted bytes of one connection, and how far it is from done.

    ``owner`` is the connection, which ends the holding if it is chosen.
    ``remaining_bytes`` are those that the caller has still to send or to read,
    ``progressed_at`` is when it last did, in monotonic seconds. A holding with
    ``is_ended`` was chosen to make room, and its bytes count no longer.
    """

    __slots__ = (
        'is_ended',
        'owner',
        'progressed_at',
        'remaining_bytes',
        'size_bytes',
        'state',
    )

    def __init__(self, *, owner: Any, now: float) -> None:
        """Starts idle and empty."""
        self.owner = owner
        self.state = HoldState.IDLE
        self.size_bytes = 0
        self.remaining_bytes = 0
        self.progressed_at = now
        self.is_ended = False


class CallerMemory:
    """Counts what all connections hold against a limit.

    Whoever adds to the count has to end the holdings that it returns.
    """

    __slots__ = (
        '_clock',
        '_holdings',
        '_on_end',
        'limit_bytes',
        'max_connections',
        'total_bytes',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        max_connections: int = DEFAULT_CONNECTIONS,
        on_end: Callable[[HoldState], None] | None = None,
    ) -> None:
        """Starts without connections.

        :param on_end: told the state of each holding that is chosen.
        """
        self._clock = clock
        self._on_end = on_end
        self._holdings: set[Holding] = set()
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections
        # Bytes that are held by all connections now.
        self.total_bytes = 0

    @property
    def connections(self) -> int:
        """Number of connections that are open."""
        return len(self._holdings)

    def now(self) -> float:
        """Returns the time by which progress is measured."""
        return self._clock.now()

    def open(self, opened: Holding, size: int) -> list[Holding]:
        """Counts a new connection.

        :param size: bytes that an idle connection takes.
        :returns: the holdings to end; ``opened`` itself ``is_ended`` if there
            is no room for it.
        """
        ended: list[Holding] = []
        if len(self._holdings) >= self.max_connections:
            # Only the end of another connection frees a descriptor.
            idle = self._pick([
                one for one in self._holdings if one.state is HoldState.IDLE
            ])
            ended.append(idle or opened)
            self._end(idle or opened)
        self._holdings.add(opened)
        ended.extend(self.resize(opened, size))
        return [one for one in ended if one is not opened]

    def close(self, holding: Holding) -> None:
        """Removes a connection that has ended."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.total_bytes -= holding.size_bytes
            holding.size_bytes = 0

    def resize(
        self,
        holding: Holding,
        size: int,
        *,
        is_forced: bool = False,
    ) -> list[Holding]:
        """Sets the bytes that a connection holds.

        :param is_forced: keep the bytes even if no others make room.
        :returns: the holdings to end; ``holding`` itself ``is_ended`` if no
            others make room for it.
        """
        if holding.is_ended or holding not in self._holdings:
            return []
        is_larger = size > holding.size_bytes
        self.total_bytes += size - holding.size_bytes
        holding.size_bytes = size
        allowed = float(self.limit_bytes)
        if size > SMALL_BYTES:
            allowed *= LARGE_FRACTION
        ended: list[Holding] = []
        while is_larger and self.total_bytes > allowed:
            furthest = self._find_furthest(holding, is_forced=is_forced)
            if furthest is None:
                break
            self._end(furthest)
            ended.append(furthest)
            is_larger = furthest is not holding
        return ended

    def fits_alone(self, size: int) -> bool:
        """Returns whether a holding would fit if there were no others."""
        return size <= self.limit_bytes * LARGE_FRACTION

    def progress(self, holding: Holding, remaining: int) -> None:
        """Records that a caller has sent or read something.

        :param remaining: bytes that it has still to send or read.
        """
        holding.progressed_at = self._clock.now()
        holding.remaining_bytes = remaining

    def enter(self, holding: Holding, state: HoldState) -> None:
        """Records what a connection does from now on."""
        holding.state = state
        holding.progressed_at = self._clock.now()

    def _find_furthest(
        self, holding: Holding, *, is_forced: bool
    ) -> Holding | None:
        counted = [one for one in self._holdings if not one.is_ended]
        least = self.total_bytes / len(counted) * MIN_AVERAGE_PART
        found = self._pick([
            one
            for one in counted
            if one.state is not HoldState.ANSWERING
            and one.size_bytes >= least
            and not (is_forced and one is holding)
        ])
        if found is None and not is_forced:
            return holding
        return found

    def _pick(self, candidates: list[Holding]) -> Holding | None:
        now = self._clock.now()
        return max(
            (one for one in candidates if not one.is_ended),
            key=lambda one: (
                (now - one.progressed_at) // SILENCE_STEP_S,
                one.remaining_bytes,
            ),
            default=None,
        )

    def _end(self, holding: Holding) -> None:
        self.total_bytes -= holding.size_bytes
        holding.size_bytes = 0
        holding.is_ended = True
        if self._on_end is not None:
            self._on_end(holding.state)
