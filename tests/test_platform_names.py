"""Wire names of the platform occur in its adapter only."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PRODUCT = sorted(ROOT.glob('packages/*/*/**/*.py'))
# Headers, paths and fields of the platform for which the product has its own
# names.
WIRE_NAMES = re.compile(
    r"""
    \b(attempt-id | server-seal | deadline-remaining | expect-instance
    | not-executed | server-load | last-event-id | poll-wait | token-usage
    | prompt-prefix | instance-id | length-hint | weight-versions
    | api/(lots|items|objects|ready|report)
    | dead_letter | target_latency_ms | completion_target_ms
    | traffic_split | drain_ms | grace_s | quota_slack
    | quota_overshoot | contact_ms | node_name | machine_class
    | internal_ports | stale_ok | wait_ms | as_of | cold_left_ms
    | JACINTHMOUNT_BOOT)\b
    """,
    re.VERBOSE | re.IGNORECASE,
)


def find_names(path):
    """Lists the wire names of the platform in a module, with line numbers."""
    return [
        f'{path.name}:{number}: {found.group()}'
        for number, line in enumerate(path.read_text().splitlines(), 1)
        for found in WIRE_NAMES.finditer(line)
    ]


@pytest.mark.parametrize('path', PRODUCT, ids=lambda path: path.stem)
def test_product_does_not_know_the_platform(path):
    """No module outside the adapter contains a wire name of the platform."""
    assert not find_names(path)


def test_scan_finds_names_in_the_adapter():
    """The adapter itself contains many wire names."""
    adapter = ROOT / 'platform/jacinthmount_platform/calls.py'
    assert len(find_names(adapter)) > 5
