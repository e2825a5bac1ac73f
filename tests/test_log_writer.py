"""Log output: a bounded queue that never blocks the caller."""

import io
import json
import threading
import time

import pytest
from jacinthmount_node.log_writer import LogWriter

MAX_LINES = 10


class _BlockedStream(io.BytesIO):
    """An output whose writes block until ``unblocked`` is set."""

    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, packed):
        self.unblocked.wait()
        return super().write(packed)


@pytest.fixture
def stream():
    """An output that is blocked at first."""
    return _BlockedStream()


def test_lines_are_written_in_order():
    """All lines logged before the writer is closed are written."""
    target = io.BytesIO()
    writer = LogWriter(stream=target, host='h1')
    for number in range(100):
        writer.write(f'{number}\n'.encode())
    writer.close(2)
    assert target.getvalue().split() == [b'%d' % one for one in range(100)]


def test_stuck_output_holds_nobody_up(stream):
    """Logging does not wait for a blocked output."""
    writer = LogWriter(
        stream=stream,
        host='h1',
        max_lines=MAX_LINES,
    )
    started = time.monotonic()
    for _ in range(10_000):
        writer.write(b'line\n')
    assert time.monotonic() < started + 1
    stream.unblocked.set()
    writer.close(2)


def test_dropped_lines_are_counted_and_said(stream):
    """The number of dropped lines is logged once writes succeed again."""
    writer = LogWriter(
        stream=stream,
        host='h1',
        max_lines=MAX_LINES,
    )
    for _ in range(500):
        writer.write(b'line\n')
    stream.unblocked.set()
    writer.close(2)
    lines = stream.getvalue().splitlines()
    written = lines.count(b'line')
    dropped = [json.loads(one)['lines'] for one in lines if b'dropped' in one]
    assert written + sum(dropped) == 500
    assert written <= 2 * MAX_LINES
