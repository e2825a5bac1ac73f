"""What a process keeps while a test runs."""

import contextlib
import os
import threading
import time
from pathlib import Path

from tests.site import eventually

__all__ = ('ProcessWatch', 'Served', 'outlives', 'read_resident_mb')

KB_PER_MB = 1024
MB = 1_048_576
SAMPLE_S = 0.02
# State of rows of /proc/net/tcp whose queue does not hold bytes.
LISTENING = '0A'
# Descriptors beside those of a crowd.
SPARE_DESCRIPTORS = 64
WAIT_S = 40.0


class ProcessWatch:
    """Records the peaks of a process's memory and descriptors.

    ``memory_mb`` includes the bytes that its connections have received and it
    has not read.
    """

    __slots__ = (
        '_pid',
        '_port',
        '_stop',
        '_thread',
        'descriptors',
        'memory_mb',
    )

    def __init__(self, *, pid, port):
        """Starts no thread."""
        self._pid = pid
        self._port = port
        self.memory_mb = 0.0
        self.descriptors = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        """Starts to watch."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        """Ends the watch."""
        self._stop.set()
        self._thread.join()

    def count_descriptors(self):
        """Counts the open descriptors now."""
        return len(os.listdir(f'/proc/{self._pid}/fd'))

    def _run(self):
        while not self._stop.is_set():
            with contextlib.suppress(OSError):
                self._sample()
            time.sleep(SAMPLE_S)

    def _sample(self):
        used_mb = read_resident_mb(self._pid) + read_unread_mb(self._port)
        self.memory_mb = max(self.memory_mb, used_mb)
        self.descriptors = max(self.descriptors, self.count_descriptors())


def read_resident_mb(pid):
    """Returns the resident memory of a process."""
    rows = Path(f'/proc/{pid}/status').read_text().splitlines()
    fields = dict(row.split(':', 1) for row in rows)
    return int(fields['VmRSS'].split()[0]) / KB_PER_MB


def read_unread_mb(port):
    """Returns what the connections of a listener hold unread."""
    unread = 0
    for row in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = row.split()
        local = int(fields[1].rpartition(':')[2], 16)
        if local == port and fields[3] != LISTENING:
            unread += int(fields[4].rpartition(':')[2], 16)
    return unread / MB


class Served:
    """A process that callers reach, and what must hold of it.

    ``memory_mb`` bounds its memory. ``is_alive`` returns whether it lives,
    ``ask`` sends one ordinary request and returns its status.
    """

    __slots__ = ('ask', 'is_alive', 'memory_mb', 'pid', 'port')

    def __init__(self, *, pid, port, memory_mb, is_alive, ask):
        """Stores them."""
        self.pid = pid
        self.port = port
        self.memory_mb = memory_mb
        self.is_alive = is_alive
        self.ask = ask


@contextlib.contextmanager
def outlives(served, clients):
    """Checks that a process outlives what happens inside.

    :param clients: connections that it may have open beside its own.
    """
    watch = ProcessWatch(pid=served.pid, port=served.port)
    before = watch.count_descriptors()
    with watch:
        yield
        assert served.is_alive()
        eventually(lambda: served.ask() == 200, WAIT_S)
    assert served.is_alive()
    assert watch.memory_mb < served.memory_mb, watch.memory_mb
    allowed = before + clients + SPARE_DESCRIPTORS
    assert watch.descriptors <= allowed, (watch.descriptors, before)
    eventually(
        lambda: watch.count_descriptors() <= before + SPARE_DESCRIPTORS, WAIT_S
    )
