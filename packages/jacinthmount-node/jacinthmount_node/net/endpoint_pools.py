"""Connection pools with a shared memory budget for answers."""

from jacinthmount.answer_memory import AnswerMemory

from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.host_memory import find_memory_part

__all__ = ('EndpointPools', 'make_answer_memory', 'make_pool')

# Fraction of the host's memory that unfinished answers may use. They take up to
# three times their bytes while events are split.
ANSWERS_MEMORY_FRACTION = 0.15


class EndpointPools:
    """Separate connection pools for online requests and batch items.

    ``helpers`` are the fronts of other hosts. ``memory`` is the memory budget
    of the answers of all pools.
    """

    __slots__ = ('helpers', 'items', 'memory', 'online')

    def __init__(self, *, memory: AnswerMemory) -> None:
        """Creates pools without connections."""
        self.memory = memory
        self.online = ClientPool(memory=memory)
        self.items = ClientPool(memory=memory)
        self.helpers = ClientPool(memory=memory)


def make_pool(memory_mb: int) -> ClientPool:
    """Creates one pool for all connections of a host.

    :param memory_mb: see :func:`make_answer_memory`.
    """
    return ClientPool(memory=make_answer_memory(memory_mb))


def make_answer_memory(memory_mb: int) -> AnswerMemory:
    """Creates the memory budget of a host.

    :param memory_mb: memory of the host in MB; 0 if only the system knows.
    """
    return AnswerMemory(
        limit_bytes=find_memory_part(memory_mb, ANSWERS_MEMORY_FRACTION)
    )
