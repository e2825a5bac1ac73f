"""Counts of losses, from the logs of several hosts."""

import json
import subprocess
import sys

import pytest
from jacinthmount_ctl.losses import count_losses, format_losses
from jacinthmount_ctl.stories import parse_line


def make_line(event, **fields):
    """Builds a log line as a host writes it."""
    return json.dumps({
        'timestamp': 1.0,
        'host': 'h1',
        'line': 1,
        'message_type': f'jacinthmount:{event}',
        **fields,
    })


def served(first_s, **fields):
    """Builds the line of a served request with a target of 0.3 s."""
    return make_line(
        'served',
        **{
            'first_s': first_s,
            'target_s': 0.3,
            'waited_s': 0.0,
            'attempts': 1,
            **fields,
        },
    )


@pytest.mark.parametrize(
    ('line', 'cause'),
    [
        (served(0.3), None),
        (served(9.0, target_s=0), None),
        (served(0.31), 'late at the endpoint'),
        (
            served(0.5, waited_s=0.2),
            'late after a wait for a token or an endpoint',
        ),
        (served(0.5, attempts=2), 'late after several attempts'),
        (
            make_line('refused', status=429, code=1301),
            'refused with 429, code 1301',
        ),
        (
            make_line('attempt_lost', stage='SENT', error='OSError: 3'),
            'attempt lost at SENT: OSError',
        ),
        (make_line('item_done', completed=True, slack_s=0.1), None),
        (make_line('item_done', completed=True, slack_s=-0.1), 'item late'),
        (make_line('item_done', completed=False, slack_s=1), 'item failed'),
        (make_line('item_gave_way', ran_s=3.0), 'item preempted'),
        (
            make_line('item_gave_way', ran_s=0.1),
            'item preempted just after its start',
        ),
        (make_line('started'), None),
    ],
)
def test_each_line_counts_for_one_cause(line, cause):
    """Lines that tell of no loss are not counted."""
    report = count_losses([parse_line(line, 'file')])
    assert [cause] == (list(report.causes) or [None])


def test_store_calls_are_summed_over_hosts():
    """Each host logs its calls since its last line."""
    lines = [
        make_line('store_calls', write_batches=2, list_hosts=1),
        make_line('store_calls', write_batches=3),
    ]
    report = count_losses([parse_line(line, 'file') for line in lines])
    assert list(format_losses(report)) == [
        '       5  store call: write batches',
        '       1  store call: list hosts',
    ]


def test_losses_of_log_files_are_printed():
    """The command reads standard input if no file is given."""
    done = subprocess.run(
        [sys.executable, '-m', 'jacinthmount_ctl', 'losses'],
        input=f'{served(0.5)}\nnoise\n',
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == '1  late at the endpoint'
