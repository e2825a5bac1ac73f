"""Connections to endpoints, and the memory that their answers share."""

import os

from jacinthmount.answer_memory import AnswerMemory

from jacinthmount_node.net.http_client import ClientPool

__all__ = ('EndpointPools',)

# Of the memory of the host, for answers that are under way.
ANSWERS_PART = 0.25
MAX_ANSWERS_BYTES = 1_073_741_824


class EndpointPools:
    """Connections of online requests and of batch items, kept apart."""

    __slots__ = ('items', 'online')

    def __init__(self) -> None:
        """Takes the bound from the memory of the host."""
        host_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
        limit_bytes = min(int(host_bytes * ANSWERS_PART), MAX_ANSWERS_BYTES)
        memory = AnswerMemory(limit_bytes=limit_bytes)
        self.online = ClientPool(memory=memory)
        self.items = ClientPool(memory=memory)
