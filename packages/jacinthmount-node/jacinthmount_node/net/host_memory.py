"""Parts of the memory of a host."""

import os

__all__ = ('find_memory_part',)

MB = 1_048_576
MAX_PART_BYTES = 1_073_741_824


def find_memory_part(memory_mb: int, fraction: float) -> int:
    """Returns a part of the memory of a host in bytes, up to a limit.

    :param memory_mb: memory of the host in MB; 0 if only the system knows.
    """
    host_bytes = memory_mb * MB
    if not host_bytes:
        host_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return min(int(host_bytes * fraction), MAX_PART_BYTES)
