"""Tests of the configuration table."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.ports import Listing, Stored
from jacinthmount.table import ConfigTable

OBJECTS = st.lists(
    st.builds(
        Stored,
        name=st.sampled_from(['fleet/a', 'fleet/b', 'fleet/c']),
        version=st.integers(min_value=1, max_value=20),
        body=st.none() | st.just('body'),
    ),
    max_size=20,
)


def make_stored(version, body='body', name='fleet/a'):
    """Builds an object."""
    return Stored(name=name, version=version, body=body)


def test_lower_version_changes_nothing():
    """A copy with a lower version is ignored."""
    table = ConfigTable()
    table.merge([make_stored(2, 'new')])
    assert not table.merge([make_stored(1, 'old')])
    assert table.read('fleet/a').body == 'new'


def test_deleted_object_stays_deleted():
    """A stale copy can't restore a deleted object."""
    table = ConfigTable()
    table.merge([make_stored(2, None)])
    table.merge([make_stored(1, 'old')])
    assert table.read('fleet/a') is None


def test_listing_tells_what_was_deleted():
    """Objects that a listing lacks count as deleted, also unknown ones."""
    table = ConfigTable()
    table.merge([make_stored(1)])
    table.load(Listing(objects=[], revision=5))
    table.merge([make_stored(3, 'old', 'fleet/b')])
    assert table.read('fleet/a') is None
    assert table.read('fleet/b') is None


def test_listing_keeps_what_is_newer():
    """An object that is newer than the listing is not deleted."""
    table = ConfigTable()
    table.merge([make_stored(9)])
    table.load(Listing(objects=[], revision=5))
    assert table.read('fleet/a').version == 9


@seed(20261204)
@settings(max_examples=100, deadline=None)
@given(OBJECTS, OBJECTS)
def test_digest_exchange_makes_tables_equal(left_objects, right_objects):
    """Any two tables are equal after one exchange of digests."""
    left = ConfigTable()
    right = ConfigTable()
    # The platform assigns each version once, so it has only one body.
    bodies = {}
    for stored in (*left_objects, *right_objects):
        stored.body = bodies.setdefault(
            (stored.name, stored.version), stored.body
        )
    left.merge(left_objects)
    right.merge(right_objects)
    reply = right.differing(left.digest())
    right.merge(left.newer_than(reply))
    numbers = [bucket.bucket for bucket in reply]
    left.merge(right.newer_than(left.versions_in_buckets(numbers)))
    assert left.digest() == right.digest()
    assert list(left.iter_prefix('')) == list(right.iter_prefix(''))
