"""Log output that never blocks the tasks that log.

Lines go into a bounded queue; a thread writes them a few times a second. If the
output blocks and the queue is full, new lines are dropped and counted. The
count is logged once lines can be written again.
"""

import json
import threading
import time
from collections import deque
from typing import BinaryIO

__all__ = ('LogWriter',)

FLUSH_INTERVAL_S = 0.25
MAX_LINES = 5000


class LogWriter:
    """File-like object that queues log lines for a writer thread."""

    __slots__ = (
        '_closing',
        '_dropped',
        '_host',
        '_lines',
        '_max_lines',
        '_stream',
        '_thread',
    )

    def __init__(
        self,
        *,
        stream: BinaryIO,
        host: str,
        max_lines: int = MAX_LINES,
    ) -> None:
        """Starts the writer thread.

        :param host: host name for the record of dropped lines.
        :param max_lines: size of the queue; the default is about 1.5 MB.
        """
        self._stream = stream
        self._host = host
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: bytes) -> int:
        """Queues a line, or drops it if the queue is full."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
        else:
            self._lines.append(line)
        return len(line)

    def flush(self) -> None:
        """Does nothing, since only the writer thread writes."""

    def close(self, timeout_s: float) -> None:
        """Writes the queued lines within a time limit.

        :param timeout_s: seconds after which the remaining lines are lost.
        """
        self._closing.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._closing.wait(FLUSH_INTERVAL_S):
            self._write_waiting()
        self._write_waiting()

    def _write_waiting(self) -> None:
        count = len(self._lines)
        if count:
            lines = [self._lines.popleft() for _ in range(count)]
            self._write(b''.join(lines))
        dropped = self._dropped
        if dropped:
            self._dropped = 0
            record = {
                'timestamp': time.time(),
                'host': self._host,
                'message_type': 'jacinthmount:log_dropped',
                'lines': dropped,
            }
            self._write(f'{json.dumps(record)}\n'.encode())

    def _write(self, packed: bytes) -> None:
        try:
            self._stream.write(packed)
            self._stream.flush()
        except OSError:
            # The output is unusable, so the failure can't be logged.
            self._dropped += 1
