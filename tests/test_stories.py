"""Stories of requests and batches out of the logs of several hosts."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from jacinthmount_ctl.stories import iter_story, parse_line, read_story


def make_raw(at_s, host, number, event, **facts):
    """Builds a line as a host writes it."""
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
    """Parses lines that all belong to the project."""
    return [parse_line(raw, 'file') for raw in raws]


@pytest.fixture
def lines():
    """A request refused at one host and answered by another."""
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


def test_story_is_told_in_the_order_of_time(lines):
    """Lines of the id, and what its hosts believed around them."""
    story = read_story(lines, 'r1')
    assert [(one.host, one.event) for one in story.lines] == [
        ('h2', 'started'),
        ('h1', 'started'),
        ('h1', 'runner_lost'),
        ('h1', 'refused'),
        ('h2', 'endpoint'),
        ('h2', 'served'),
    ]
    assert not story.missing


def test_other_requests_and_endpoints_are_left_out(lines):
    """Neither another request nor an endpoint without part in it."""
    told = list(iter_story(read_story(lines, 'r1')))
    assert 'r2' not in ' '.join(told)
    assert 'e7' not in ' '.join(told)
    assert told[3].split() == [
        '3.000',
        's',
        'h1',
        'refused',
        'request=r1',
        'code=1301',
    ]


def test_unknown_id_has_no_story(lines):
    """An id that no line names."""
    assert not read_story(lines, 'r9').lines


def test_items_of_a_batch_belong_to_it():
    """Lines of items name their batch."""
    lines = parse(
        make_raw(1.0, 'h1', 1, 'batch_accepted', batch='b1'),
        make_raw(3.0, 's1', 8, 'item_done', item='i1', batch='b1'),
    )
    events = [one.event for one in read_story(lines, 'b1').lines]
    assert events == ['batch_accepted', 'item_done']


def test_gap_in_the_numbers_is_told():
    """Lines that were lost between two that were kept."""
    lines = parse(
        make_raw(1.0, 'h1', 1, 'started'),
        make_raw(2.0, 'h1', 5, 'served', request='r1'),
    )
    assert read_story(lines, 'r1').missing == ['h1: lines 2 to 4 are missing']


def test_host_that_was_killed_is_told():
    """A start without a stop before it: the last lines may be lost."""
    lines = parse(
        make_raw(1.0, 'h1', 7, 'attempt_lost', request='r1'),
        make_raw(1.5, 'h1', 1, 'started'),
    )
    assert 'h1: started again' in read_story(lines, 'r1').missing[0]


def test_planned_restart_misses_nothing():
    """A host that stopped has written everything."""
    lines = parse(
        make_raw(1.0, 'h1', 7, 'served', request='r1'),
        make_raw(1.2, 'h1', 8, 'stopped'),
        make_raw(1.5, 'h1', 1, 'started'),
    )
    assert not read_story(lines, 'r1').missing


def test_dropped_lines_are_told():
    """The writer says how many lines nobody read in time."""
    lines = parse(
        make_raw(1.0, 'h1', 7, 'served', request='r1'),
        make_raw(1.1, 'h1', 0, 'log_dropped', lines=12),
    )
    assert read_story(lines, 'r1').missing == ['h1: 12 lines were dropped']


def test_host_without_lines_is_told():
    """A line names a runner whose log was not given."""
    lines = parse(
        make_raw(1.0, 'h1', 1, 'refused', request='r1', runner='s1'),
    )
    assert read_story(lines, 'r1').missing == ['s1: no lines at all']


def test_what_stands_before_the_object_is_ignored():
    """A collector may put time and source before each line."""
    raw = make_raw(1.0, 'h1', 1, 'started')
    assert parse_line(f'   1.0342 front-1 {raw}', 'file').host == 'h1'


@pytest.mark.parametrize(
    'raw',
    ['', 'Traceback', '{"a": 1}', '{broken', '{"message_type": "other:x"}'],
)
def test_other_lines_are_skipped(raw):
    """Whatever else stands in an output is not taken for a line."""
    assert parse_line(raw, 'file') is None


@pytest.fixture
def log_files(tmp_path):
    """The logs of two hosts."""
    first = tmp_path / 'h1.log'
    first.write_text(make_raw(1.0, 'h1', 1, 'refused', request='r1'))
    second = tmp_path / 'h2.log'
    second.write_text(make_raw(2.0, 'h2', 1, 'served', request='r1'))
    return [str(first), str(second)]


def explain(*words, given=None):
    """Runs the command."""
    return subprocess.run(
        [sys.executable, '-m', 'jacinthmount_ctl', 'explain', *words],
        input=given,
        capture_output=True,
        text=True,
        check=False,
    )


def test_command_reads_files_of_several_hosts(log_files):
    """The story spans the files."""
    done = explain('r1', *log_files)
    assert not done.returncode
    assert 'h1  refused' in done.stdout
    assert 'h2  served' in done.stdout


def test_command_reads_standard_input(log_files):
    """Without files, lines come from standard input."""
    done = explain('r1', given=Path(log_files[0]).read_text())
    assert 'h1  refused' in done.stdout


@pytest.mark.parametrize('files', [[], ['missing.log']])
def test_command_fails_clearly(files):
    """An id that nobody names, or a file that is not there."""
    done = explain('r9', *files, given='')
    assert done.returncode == 1
    assert done.stderr.strip()
    assert 'Traceback' not in done.stderr
