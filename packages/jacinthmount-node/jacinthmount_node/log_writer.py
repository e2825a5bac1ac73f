"""Writes log lines without ever making a task wait.

Lines go into a bounded queue; a thread writes them a few times a second. When
nobody reads the output, the oldest lines stay, newer ones are dropped and
counted, and the count is said once lines can be written again.
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
    """File-like target of log lines."""

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
        """Starts the thread that writes.

        :param host: name of this host, for the note on dropped lines.
        :param max_lines: lines that may wait; about 1.5 MB.
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
        """Takes a line, or drops it where too many wait."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
        else:
            self._lines.append(line)
        return len(line)

    def flush(self) -> None:
        """Does nothing: the thread writes in its own time."""

    def close(self, timeout_s: float) -> None:
        """Writes what waits, for a limited time."""
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
            note = {
                'timestamp': time.time(),
                'host': self._host,
                'message_type': 'jacinthmount:log_dropped',
                'lines': dropped,
            }
            self._write(f'{json.dumps(note)}\n'.encode())

    def _write(self, packed: bytes) -> None:
        try:
            self._stream.write(packed)
            self._stream.flush()
        except OSError:
            # Nobody can be told that nobody reads the log.
            self._dropped += 1
