"""Tests of what is known of an engine's prefix cache."""

import pytest
from jacinthmount.ports import (
    CACHE_CLEARED,
    CACHE_EVICTED,
    CACHE_STORED,
    CacheEvent,
    CachePage,
)
from jacinthmount.prefixes import HELD_S, MAX_PREFIXES, PrefixTracker

NOW = 100.0


@pytest.fixture
def book():
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


def test_what_was_sent_is_held_for_a_while(book):
    """Without events the memory ends by itself."""
    assert book.used_at('a', NOW + 1) is not None
    assert book.used_at('a', NOW + HELD_S) is None
    assert book.used_at('b', NOW + 1) is None


def test_prefix_used_last_is_the_newest(book):
    """An earlier event does not make it older."""
    book.on_sent('b', NOW + 1)
    book.on_sent('b', NOW)
    assert book.used_at('b', NOW + 1) > book.used_at('a', NOW + 1)


def test_events_of_others_count(book):
    """What online requests stored is known, too."""
    book.on_page(make_page(make_event(CACHE_STORED, 'b')), NOW + 1)
    assert book.used_at('b', NOW + 1) is not None
    assert book.after == 1


def test_eviction_counts_unless_it_is_older(book):
    """A late event does not undo what was sent since."""
    book.on_page(make_page(make_event(CACHE_EVICTED, age_s=2)), NOW + 1)
    assert book.used_at('a', NOW + 1) is not None
    page = make_page(make_event(CACHE_EVICTED, age_s=0.5), oldest=2)
    book.on_page(page, NOW + 1)
    assert book.used_at('a', NOW + 1) is None


@pytest.mark.parametrize(
    'page',
    [
        make_page(make_event(CACHE_STORED, 'b'), oldest=5),
        make_page(make_event(CACHE_CLEARED)),
    ],
)
def test_nothing_known_survives_a_gap(book, page):
    """Events that were missed may have evicted anything."""
    book.on_page(page, NOW + 1)
    assert book.used_at('a', NOW + 1) is None


def test_restarted_engine_starts_empty(book):
    """Numbers that went back are those of a new cache."""
    book.on_page(make_page(make_event(CACHE_STORED, 'b')), NOW + 1)
    book.on_page(CachePage(events=[], oldest=1, newest=0), NOW + 2)
    assert book.used_at('b', NOW + 2) is None
    assert not book.after


def test_book_is_bounded(book):
    """The prefixes sent longest ago are forgotten first."""
    for number in range(MAX_PREFIXES):
        book.on_sent(f'p{number}', NOW)
    assert book.used_at('a', NOW) is None
    assert book.used_at('p0', NOW) is not None
