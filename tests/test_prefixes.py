"""Tests of the tracked prefixes in the cache of an engine."""

import pytest
from jacinthmount.ports import (
    CACHE_CLEARED,
    CACHE_EVICTED,
    CACHE_STORED,
    CacheEvent,
    CachePage,
)
from jacinthmount.prefixes import MAX_PREFIXES, RETENTION_S, PrefixTracker

NOW = 100.0


@pytest.fixture
def tracker():
    """The tracker of an engine to which a prefix was sent."""
    made = PrefixTracker()
    made.on_sent('a', NOW)
    return made


def make_page(*events, oldest=1):
    """Builds a page of events, numbered from the oldest."""
    return CachePage(
        events=list(events),
        oldest=oldest,
        newest=oldest + len(events) - 1,
    )


def make_event(kind, prefix='a', age_s=0.5):
    """Builds an event."""
    return CacheEvent(kind=kind, prefix=prefix, age_s=age_s)


def test_sent_prefix_expires(tracker):
    """Without events a prefix counts as cached for ``RETENTION_S``."""
    assert tracker.used_at('a', NOW + 1) is not None
    assert tracker.used_at('a', NOW + RETENTION_S) is None
    assert tracker.used_at('b', NOW + 1) is None


def test_prefix_used_last_is_the_newest(tracker):
    """An earlier use does not replace a later one."""
    tracker.on_sent('b', NOW + 1)
    tracker.on_sent('b', NOW)
    assert tracker.used_at('b', NOW + 1) > tracker.used_at('a', NOW + 1)


def test_prefixes_stored_by_others_count(tracker):
    """Events also report prefixes that online requests stored."""
    tracker.on_page(make_page(make_event(CACHE_STORED, 'b')), NOW + 1)
    assert tracker.used_at('b', NOW + 1) is not None
    assert tracker.after == 1


def test_eviction_counts_unless_it_is_older(tracker):
    """An eviction before the last use of a prefix is ignored."""
    tracker.on_page(make_page(make_event(CACHE_EVICTED, age_s=2)), NOW + 1)
    assert tracker.used_at('a', NOW + 1) is not None
    page = make_page(make_event(CACHE_EVICTED, age_s=0.5), oldest=2)
    tracker.on_page(page, NOW + 1)
    assert tracker.used_at('a', NOW + 1) is None


@pytest.mark.parametrize(
    'page',
    [
        make_page(make_event(CACHE_STORED, 'b'), oldest=5),
        make_page(make_event(CACHE_CLEARED)),
    ],
)
def test_gap_in_events_drops_all_prefixes(tracker, page):
    """Missed events may have evicted any prefix."""
    tracker.on_page(page, NOW + 1)
    assert tracker.used_at('a', NOW + 1) is None


def test_restarted_engine_starts_empty(tracker):
    """Event numbers that went back belong to a new cache."""
    tracker.on_page(make_page(make_event(CACHE_STORED, 'b')), NOW + 1)
    tracker.on_page(CachePage(events=[], oldest=1, newest=0), NOW + 2)
    assert tracker.used_at('b', NOW + 2) is None
    assert not tracker.after


def test_tracker_is_bounded(tracker):
    """The least recently used prefixes are dropped first."""
    for number in range(MAX_PREFIXES):
        tracker.on_sent(f'p{number}', NOW)
    assert tracker.used_at('a', NOW) is None
    assert tracker.used_at('p0', NOW) is not None
