"""Which folders of the node may import which."""

import re
from pathlib import Path

import pytest

NODE = Path(__file__).resolve().parent.parent / (
    'packages/jacinthmount-node/jacinthmount_node'
)
# Each folder may import those after it, and modules that stand in no folder.
ORDER = ('callers', 'batches', 'engines', 'members', 'net')
IMPORTED = re.compile(r'^from jacinthmount_node\.(\w+)', re.MULTILINE)


@pytest.mark.parametrize('folder', ORDER)
def test_imports_point_one_way(folder):
    """No folder knows one that stands before it, nor the relay."""
    before = {*ORDER[: ORDER.index(folder)], 'relay'}
    found = {
        f'{path.stem} imports {name}'
        for path in (NODE / folder).glob('*.py')
        for name in IMPORTED.findall(path.read_text())
        if name in before
    }
    assert not found


def test_relay_needs_only_net():
    """The relay and the first interface share the network code only."""
    imported = {
        name
        for path in (NODE / 'relay').glob('*.py')
        for name in IMPORTED.findall(path.read_text())
    }
    assert not imported & set(ORDER) - {'net'}
