"""Digests of requests and items."""

import pytest
from jacinthmount.request_digest import digest_item, digest_request

REQUEST = ('gin-yards', 'scan', 'POST', '/scan/1', b'bale')


def test_repeat_has_the_digest_of_the_request():
    """All hosts have to compute the same one."""
    assert digest_request(*REQUEST) == digest_request(*REQUEST)


@pytest.mark.parametrize(
    ('position', 'other'),
    [
        (0, 'auditors'),
        (1, 'check'),
        (2, 'GET'),
        (3, '/scan/1?page=2'),
        (4, b'other'),
    ],
)
def test_requests_that_differ_have_other_digests(position, other):
    """Account, route, method, target and body count."""
    changed = list(REQUEST)
    changed[position] = other
    assert digest_request(*changed) != digest_request(*REQUEST)


def test_item_has_a_digest_of_its_own():
    """An item that equals a blocked request is still owed."""
    digest = digest_item('gin-yards', 'batch', 'i1')
    assert digest != digest_item('gin-yards', 'batch', 'i2')
    assert digest != digest_item('auditors', 'batch', 'i1')
    assert digest != digest_request('gin-yards', '', '', '', b'batch\ni1')
