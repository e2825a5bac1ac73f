"""The writer of log lines: bounded, and never in the way."""

import io
import json
import threading
import time

import pytest
from jacinthmount_node.log_writer import LogWriter

MAX_LINES = 10


class _StuckStream(io.BytesIO):
    """An output that nobody reads until it is told to go on."""

    def __init__(self):
        super().__init__()
        self.go_on = threading.Event()

    def write(self, packed):
        self.go_on.wait()
        return super().write(packed)


@pytest.fixture
def stream():
    """An output that is stuck at first."""
    return _StuckStream()


def test_lines_are_written_in_order():
    """Everything that was logged before the end is written."""
    target = io.BytesIO()
    writer = LogWriter(stream=target, host='h1')
    for number in range(100):
        writer.write(f'{number}\n'.encode())
    writer.close(2)
    assert target.getvalue().split() == [b'%d' % one for one in range(100)]


def test_stuck_output_holds_nobody_up(stream):
    """With an output that nobody reads, a line costs no time."""
    writer = LogWriter(
        stream=stream,
        host='h1',
        max_lines=MAX_LINES,
    )
    started = time.monotonic()
    for _ in range(10_000):
        writer.write(b'line\n')
    assert time.monotonic() < started + 1
    stream.go_on.set()
    writer.close(2)


def test_dropped_lines_are_counted_and_said(stream):
    """What was dropped is said once lines can be written again."""
    writer = LogWriter(
        stream=stream,
        host='h1',
        max_lines=MAX_LINES,
    )
    for _ in range(500):
        writer.write(b'line\n')
    stream.go_on.set()
    writer.close(2)
    lines = stream.getvalue().splitlines()
    written = lines.count(b'line')
    dropped = [json.loads(one)['lines'] for one in lines if b'dropped' in one]
    assert written + sum(dropped) == 500
    assert written <= 2 * MAX_LINES
