"""Tests of the arithmetic in docs/CAPACITY.md."""

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
    """Reads the rows of the table under a heading of the page."""
    text = PAGE.read_text()
    section = text.split(f'## {heading}\n', 1)[1].split('\n## ', 1)[0]
    rows = re.findall(r'^\| (.+) \|$', section, re.M)
    return [[cell.strip() for cell in row.split(' | ')] for row in rows[1:]]


def compute(node, inputs):
    """Evaluates an arithmetic expression over named inputs."""
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
    """Each result equals its expression to one part in fifty (2 %)."""
    rows = read_rows('Results')
    assert len(rows) > 10
    for name, expression, shown, *_ in rows:
        tree = ast.parse(expression.strip('`'), mode='eval').body
        computed = compute(tree, inputs)
        inputs[name.strip('`')] = computed
        expected = float(shown.replace(',', ''))
        assert computed == pytest.approx(expected, rel=0.02), name


def test_verdicts_follow_from_the_limits(inputs):
    """A row is marked ``holds`` exactly if its result is within its limit."""
    for name, _, shown, limit, verdict in read_rows('Results'):
        if limit == '-':
            continue
        within = float(shown.replace(',', '')) <= float(limit.replace(',', ''))
        assert (verdict == 'holds') == within, name
