"""Checks the arithmetic of docs/CAPACITY.md."""

import ast
import operator
import re
from pathlib import Path

import pytest

PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
OPERATIONS = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}


def read_rows(heading):
    """Reads the rows of the table under a heading."""
    text = PAGE.read_text()
    section = text.split(f'## {heading}\n', 1)[1].split('\n## ', 1)[0]
    rows = re.findall(r'^\| (.+) \|$', section, re.M)
    return [[cell.strip() for cell in row.split(' | ')] for row in rows[1:]]


def compute(node, inputs):
    """Computes plain arithmetic over named inputs."""
    if isinstance(node, ast.BinOp):
        left = compute(node.left, inputs)
        return OPERATIONS[type(node.op)](left, compute(node.right, inputs))
    if isinstance(node, ast.Name):
        return inputs[node.id]
    return ast.literal_eval(node)


@pytest.fixture
def inputs():
    """The inputs of the page by name."""
    return {
        row[0].strip('`'): float(row[1].replace(',', ''))
        for row in read_rows('Inputs')
    }


def test_results_follow_from_the_inputs(inputs):
    """Each result is what its arithmetic gives, to one part in fifty."""
    rows = read_rows('Results')
    assert len(rows) > 10
    for what, arithmetic, shown, *_ in rows:
        tree = ast.parse(arithmetic.strip('`'), mode='eval').body
        found = compute(tree, inputs)
        inputs[what.strip('`')] = found
        expected = float(shown.replace(',', ''))
        assert found == pytest.approx(expected, rel=0.02), what


def test_verdicts_follow_from_the_limits(inputs):
    """A row says that it holds only where its result is within its limit."""
    for what, _, shown, limit, verdict in read_rows('Results'):
        if limit == '-':
            continue
        within = float(shown.replace(',', '')) <= float(limit.replace(',', ''))
        assert (verdict == 'holds') == within, what
