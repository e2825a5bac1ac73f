"""Tests of the import order of the node's folders."""

import re
from pathlib import Path

import pytest

NODE = Path(__file__).resolve().parent.parent / (
    'packages/jacinthmount-node/jacinthmount_node'
)
# Each folder may import only the folders listed after it, and the modules at
# the top level of the package.
IMPORT_ORDER = ('callers', 'batches', 'engines', 'members', 'net')
IMPORT_PATTERN = re.compile(r'^from jacinthmount_node\.(\w+)', re.MULTILINE)


@pytest.mark.parametrize('folder', IMPORT_ORDER)
def test_imports_point_one_way(folder):
    """No folder imports one listed before it, or the relay."""
    forbidden = {*IMPORT_ORDER[: IMPORT_ORDER.index(folder)], 'relay'}
    violations = {
        f'{path.stem} imports {name}'
        for path in (NODE / folder).glob('*.py')
        for name in IMPORT_PATTERN.findall(path.read_text())
        if name in forbidden
    }
    assert not violations


def test_relay_needs_only_net():
    """The relay shares only the network code with the other folders."""
    imported = {
        name
        for path in (NODE / 'relay').glob('*.py')
        for name in IMPORT_PATTERN.findall(path.read_text())
    }
    assert not imported & set(IMPORT_ORDER) - {'net'}
