"""What one connection of a caller keeps, in the budget of its process."""

import resource
from collections.abc import Iterable
from typing import Any

import h11
from jacinthmount.caller_memory import CallerMemory, Holding, HoldState
from jacinthmount.errors import BodyTooLarge, CallerMemoryFull
from jacinthmount.json_size import estimate_parsed_bytes

from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.host_memory import find_memory_part
from jacinthmount_node.net.sockets import SystemClock

__all__ = ('ConnectionMemory', 'make_caller_memory', 'make_full_error')

# Fraction of the host's memory that callers may make it keep.
CALLERS_MEMORY_FRACTION = 0.15
# Fraction of the descriptors that the connections of callers may take.
DESCRIPTORS_FRACTION = 0.5
# Where the system sets no limit.
MAX_DESCRIPTORS = 1_048_576
# The task, the parser and the socket of a connection; more tasks for a request.
CONNECTION_BYTES = 8192
REQUEST_BYTES = 12_288
# A parsed head: copies of its bytes, and objects for rows and list entries.
HEAD_COPIES = 4
ROW_BYTES = 160
ENTRY_BYTES = 64
RETRY_AFTER_S = 1.0


class ConnectionMemory:
    """Counts the head, the body and the answer of a connection's request."""

    __slots__ = (
        '_answer_bytes',
        '_body_bytes',
        '_head_bytes',
        '_holding',
        '_memory',
        '_parsed_bytes',
    )

    def __init__(self, *, memory: CallerMemory, owner: Any) -> None:
        """Counts the connection.

        :param owner: has a coroutine method ``evict`` that ends the connection
            in favour of others.
        """
        self._memory = memory
        self._holding = Holding(owner=owner, now=memory.now())
        self._head_bytes = 0
        self._body_bytes = 0
        self._parsed_bytes = 0
        self._answer_bytes = 0

    @property
    def state(self) -> HoldState:
        """What the connection does."""
        return self._holding.state

    @property
    def idle_since(self) -> float:
        """Monotonic time since which the connection does what it does."""
        return self._holding.progressed_at

    async def open(self) -> bool:
        """Counts the connection.

        :returns: false if there is no room for it.
        """
        await _evict(self._memory.open(self._holding, CONNECTION_BYTES))
        return not self._holding.is_ended

    def close(self) -> None:
        """Counts the connection no longer."""
        self._memory.close(self._holding)

    def begin_head(self) -> None:
        """Records that bytes of a request have come."""
        self._memory.enter(self._holding, HoldState.RECEIVING)

    async def end_request(self) -> None:
        """Records that the request has ended, and nothing of it is kept."""
        self._memory.enter(self._holding, HoldState.IDLE)
        self._head_bytes = 0
        self._body_bytes = 0
        self._parsed_bytes = 0
        await self._resize()

    def progress(self, remaining: int) -> None:
        """Records that a part of a body or an answer has been passed.

        :param remaining: the most bytes that may follow.
        """
        self._memory.progress(self._holding, remaining)

    def end_body(self) -> None:
        """Records that the request is complete."""
        self._memory.enter(self._holding, HoldState.ANSWERING)
        self._memory.progress(self._holding, 0)

    async def keep_incomplete_head(self, size: int) -> None:
        """Sets the size of a head that is not parsed yet.

        :raises CallerMemoryFull: the connection has to make room.
        """
        # That of a body's framing is less than the head before it.
        self._head_bytes = max(self._head_bytes, size)
        await self._resize_or_raise()

    async def keep_head(self, head: h11.Request) -> None:
        """Sets the head that a request keeps; its handler may run now.

        :raises CallerMemoryFull: the connection has to make room.
        """
        size = len(head.target)
        objects = head.target.count(b'&')
        entries = 0
        for name, text in head.headers:
            size += len(name) + len(text)
            objects += 1
            entries += text.count(b',')
        self._head_bytes = (
            REQUEST_BYTES
            + size * HEAD_COPIES
            + objects * ROW_BYTES
            + entries * ENTRY_BYTES
        )
        await self._resize_or_raise()
        self._memory.enter(self._holding, HoldState.ANSWERING)

    def begin_body(self) -> None:
        """Records that the handler reads the body, before it does anything."""
        self._memory.enter(self._holding, HoldState.RECEIVING)

    async def keep_body(self, size: int) -> None:
        """Sets the bytes of the body that are kept.

        :raises CallerMemoryFull: the connection has to make room.
        """
        self._body_bytes = size
        await self._resize_or_raise()

    async def keep_parsed(self, packed: bytes) -> None:
        """Counts the parsed form of a JSON body beside the body.

        :raises BodyTooLarge: it outgrows the memory for all callers.
        :raises CallerMemoryFull: the connection has to make room.
        """
        size = estimate_parsed_bytes(packed)
        if not self._memory.fits_alone(size + self._body_bytes):
            raise BodyTooLarge(
                detail=f'the body takes {size} bytes once parsed'
            )
        self._parsed_bytes = size
        await self._resize_or_raise()

    async def begin_answer(self, size: int) -> HoldState:
        """Counts a part of an answer until the caller has read it.

        :returns: what the connection did before.
        """
        before = self._holding.state
        self._memory.enter(self._holding, HoldState.SENDING)
        self._answer_bytes = size
        await self._resize(is_forced=True)
        return before

    async def end_answer(self, before: HoldState) -> None:
        """Counts no part of an answer any longer.

        :param before: what the connection does again.
        """
        self._memory.enter(self._holding, before)
        self._answer_bytes = 0
        await self._resize()

    async def _resize_or_raise(self) -> None:
        await self._resize()
        if self._holding.is_ended:
            raise make_full_error()

    async def _resize(self, *, is_forced: bool = False) -> None:
        size = (
            CONNECTION_BYTES
            + self._head_bytes
            + self._body_bytes
            + self._parsed_bytes
            + self._answer_bytes
        )
        ended = self._memory.resize(self._holding, size, is_forced=is_forced)
        if ended:
            await _evict(one for one in ended if one is not self._holding)


def make_full_error() -> CallerMemoryFull:
    """Creates the error of a request that has to make room for others."""
    return CallerMemoryFull(
        detail='callers make this host keep too much',
        retry_after_s=RETRY_AFTER_S,
    )


def make_caller_memory(
    memory_mb: int, descriptors: int, metrics: Metrics
) -> CallerMemory:
    """Creates the memory budget of a host for its callers, and shows it.

    :param memory_mb: memory of the host in MB; 0 if only the system knows.
    :param descriptors: descriptors that the process may open; 0 if only the
        system knows.
    """
    descriptors = descriptors or _read_descriptors()
    memory = CallerMemory(
        clock=SystemClock(),
        limit_bytes=find_memory_part(memory_mb, CALLERS_MEMORY_FRACTION),
        max_connections=int(descriptors * DESCRIPTORS_FRACTION),
        on_end=metrics.count_eviction,
    )
    metrics.show_caller_memory(memory)
    return memory


def _read_descriptors() -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_DESCRIPTORS
    return descriptors


async def _evict(ended: Iterable[Holding]) -> None:
    for holding in ended:
        await holding.owner.evict()
