"""Tests for timelines of requests and batches from several hosts' logs."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from jacinthmount_ctl.stories import build_timeline, format_timeline, parse_line


def make_raw(at_s, host, number, event, **facts):
    """Builds a log line as a host writes it."""
    return json.dumps({
        'timestamp': at_s,
        'task_uuid': 'u',
        'task_level': [1],
        'host': host,
        'line': number,
        'message_type': f'jacinthmount:{event}',
        **facts,
    })


def parse(*raws):
    """Parses log lines of the project."""
    return [parse_line(raw, 'file') for raw in raws]


@pytest.fixture
def lines():
    """Logs of a request refused at one host and served by another."""
    return parse(
        make_raw(10.0, 'h1', 1, 'started'),
        make_raw(11.0, 'h1', 2, 'runner_lost', runner='s1'),
        make_raw(12.0, 'h1', 3, 'refused', request='r1', code=1301),
        make_raw(12.1, 'h1', 4, 'served', request='r2', endpoint='e1'),
        make_raw(9.0, 'h2', 1, 'started'),
        make_raw(12.5, 'h2', 2, 'endpoint', endpoint='e7', usable=False),
        make_raw(12.6, 'h2', 3, 'endpoint', endpoint='e1', usable=False),
        make_raw(13.0, 'h2', 4, 'served', request='r1', endpoint='e1'),
        make_raw(99.0, 'h2', 5, 'store_lost'),
    )


def test_timeline_is_in_order_of_time(lines):
    """It has the lines of the id and state changes of its hosts around them."""
    timeline = build_timeline(lines, 'r1')
    assert [(line.host, line.event) for line in timeline.lines] == [
        ('h2', 'started'),
        ('h1', 'started'),
        ('h1', 'runner_lost'),
        ('h1', 'refused'),
        ('h2', 'endpoint'),
        ('h2', 'served'),
    ]
    assert not timeline.missing


def test_other_requests_and_endpoints_are_excluded(lines):
    """Other requests, and endpoints that did not serve the request."""
    texts = list(format_timeline(build_timeline(lines, 'r1')))
    assert 'r2' not in ' '.join(texts)
    assert 'e7' not in ' '.join(texts)
    assert texts[3].split() == [
        '3.000',
        's',
        'h1',
        'refused',
        'request=r1',
        'code=1301',
    ]


def test_unknown_id_has_no_timeline(lines):
    """The timeline of an id that no line mentions is empty."""
    assert not build_timeline(lines, 'r9').lines


def test_timeline_of_batch_has_its_items():
    """Log lines of items have the id of their batch."""
    lines = parse(
        make_raw(1.0, 'h1', 1, 'batch_accepted', batch='b1'),
        make_raw(3.0, 's1', 8, 'item_done', item='i1', batch='b1'),
    )
    events = [line.event for line in build_timeline(lines, 'b1').lines]
    assert events == ['batch_accepted', 'item_done']


def test_gap_in_sequence_numbers_is_reported():
    """Lines between two others were lost."""
    lines = parse(
        make_raw(1.0, 'h1', 1, 'started'),
        make_raw(2.0, 'h1', 5, 'served', request='r1'),
    )
    assert build_timeline(lines, 'r1').missing == [
        'h1: lines 2 to 4 are missing'
    ]


def test_killed_host_is_reported():
    """A start without a stop before it: the last log lines may be lost."""
    lines = parse(
        make_raw(1.0, 'h1', 7, 'attempt_lost', request='r1'),
        make_raw(1.5, 'h1', 1, 'started'),
    )
    assert 'h1: started again' in build_timeline(lines, 'r1').missing[0]


def test_planned_restart_reports_no_missing_lines():
    """A host that stops writes all its log lines first."""
    lines = parse(
        make_raw(1.0, 'h1', 7, 'served', request='r1'),
        make_raw(1.2, 'h1', 8, 'stopped'),
        make_raw(1.5, 'h1', 1, 'started'),
    )
    assert not build_timeline(lines, 'r1').missing


def test_dropped_lines_are_reported():
    """A host logs the number of lines dropped as nobody read them in time."""
    lines = parse(
        make_raw(1.0, 'h1', 7, 'served', request='r1'),
        make_raw(1.1, 'h1', 0, 'log_dropped', lines=12),
    )
    assert build_timeline(lines, 'r1').missing == ['h1: 12 lines were dropped']


def test_host_without_log_is_reported():
    """A log line mentions a runner whose log was not given."""
    lines = parse(
        make_raw(1.0, 'h1', 1, 'refused', request='r1', runner='s1'),
    )
    assert build_timeline(lines, 'r1').missing == ['s1: no lines at all']


def test_prefix_of_json_object_is_ignored():
    """A log collector may prepend time and source to each line."""
    raw = make_raw(1.0, 'h1', 1, 'started')
    assert parse_line(f'   1.0342 front-1 {raw}', 'file').host == 'h1'


@pytest.mark.parametrize(
    'raw',
    ['', 'Traceback', '{"a": 1}', '{broken', '{"message_type": "other:x"}'],
)
def test_foreign_lines_are_skipped(raw):
    """Other output of a host is not parsed as a log line."""
    assert parse_line(raw, 'file') is None


@pytest.fixture
def log_files(tmp_path):
    """Log files of two hosts."""
    first = tmp_path / 'h1.log'
    first.write_text(make_raw(1.0, 'h1', 1, 'refused', request='r1'))
    second = tmp_path / 'h2.log'
    second.write_text(make_raw(2.0, 'h2', 1, 'served', request='r1'))
    return [str(first), str(second)]


def explain(*args, stdin=None):
    """Runs the ``explain`` command."""
    return subprocess.run(
        [sys.executable, '-m', 'jacinthmount_ctl', 'explain', *args],
        input=stdin,
        capture_output=True,
        text=True,
        check=False,
    )


def test_command_reads_files_of_several_hosts(log_files):
    """The timeline has lines of all files."""
    done = explain('r1', *log_files)
    assert not done.returncode
    assert 'h1  refused' in done.stdout
    assert 'h2  served' in done.stdout


def test_command_reads_standard_input(log_files):
    """Without files, the command reads standard input."""
    done = explain('r1', stdin=Path(log_files[0]).read_text())
    assert 'h1  refused' in done.stdout


@pytest.mark.parametrize('files', [[], ['missing.log']])
def test_command_reports_errors(files):
    """An unknown id or a missing file gives an error message."""
    done = explain('r9', *files, stdin='')
    assert done.returncode == 1
    assert done.stderr.strip()
    assert 'Traceback' not in done.stderr
