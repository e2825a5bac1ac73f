"""Tests of what is known of an engine's prefix cache."""

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
    """A book of an engine to which a prefix was sent."""
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


def test_what_was_sent_is_held_for_a_while(tracker):
    """Without events the memory ends by itself."""
    assert tracker.used_at('a', NOW + 1) is not None
    assert tracker.used_at('a', NOW + RETENTION_S) is None
    assert tracker.used_at('b', NOW + 1) is None


def test_prefix_used_last_is_the_newest(tracker):
    """An earlier event does not make it older."""
    tracker.on_sent('b', NOW + 1)
    tracker.on_sent('b', NOW)
    assert tracker.used_at('b', NOW + 1) > tracker.used_at('a', NOW + 1)


def test_events_of_others_count(tracker):
    """What online requests stored is known, too."""
    tracker.on_page(make_page(make_event(CACHE_STORED, 'b')), NOW + 1)
    assert tracker.used_at('b', NOW + 1) is not None
    assert tracker.after == 1


def test_eviction_counts_unless_it_is_older(tracker):
    """A late event does not undo what was sent since."""
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
def test_nothing_known_survives_a_gap(tracker, page):
    """Events that were missed may have evicted anything."""
    tracker.on_page(page, NOW + 1)
    assert tracker.used_at('a', NOW + 1) is None


def test_restarted_engine_starts_empty(tracker):
    """Numbers that went back are those of a new cache."""
    tracker.on_page(make_page(make_event(CACHE_STORED, 'b')), NOW + 1)
    tracker.on_page(CachePage(events=[], oldest=1, newest=0), NOW + 2)
    assert tracker.used_at('b', NOW + 2) is None
    assert not tracker.after


def test_book_is_bounded(tracker):
    """The prefixes sent longest ago are forgotten first."""
    for number in range(MAX_PREFIXES):
        tracker.on_sent(f'p{number}', NOW)
    assert tracker.used_at('a', NOW) is None
    assert tracker.used_at('p0', NOW) is not None
