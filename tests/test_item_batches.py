"""Batches that are read by position: chunks, log and order of runs."""

import base64

import pytest
from hypothesis import given
from hypothesis import strategies as st
from jacinthmount.admissions import RESERVED_S, BatchAdmissions
from jacinthmount.batch_order import choose_preempted, order_waiting
from jacinthmount.item_batches import (
    CHUNK_BYTES,
    COUNTS_VALID_S,
    KEPT_COUNTS,
    BatchLog,
    SegmentCounts,
    batch_key,
    join_chunks,
    make_chunks,
)
from jacinthmount.ports import MAX_VALUE_BYTES
from jacinthmount.records import serialize_json

from tests.relay_builders import make_item, make_run, make_segment


@given(sizes=st.lists(st.integers(0, 3 * CHUNK_BYTES), min_size=1, max_size=5))
def test_chunks_join_to_the_same_items(sizes):
    """Any mix of body sizes fits values of the store and comes back whole."""
    items = [
        make_item(f'i{place}', body='A' * size)
        for place, size in enumerate(sizes)
    ]
    chunks = make_chunks(items)
    assert join_chunks(chunks) == items
    assert all(len(serialize_json(chunk)) < MAX_VALUE_BYTES for chunk in chunks)


def test_repeated_segment_counts_once():
    """Two readers that bring the same segment don't skip the next one.

    Seen first as a position that held another result than before.
    """
    log = BatchLog(total=3)
    log.append(0, make_segment('a'))
    log.append(0, make_segment('a'))
    assert log.next_index == 1
    log.append(1, make_segment('b', 'c'))
    assert [one.item_id for one in log.results] == ['a', 'b', 'c']


def test_first_result_of_an_item_wins():
    """An item stands at one position even if two runners wrote it."""
    log = BatchLog(total=2)
    log.append(0, make_segment('a'))
    log.append(1, make_segment('a', 'b'))
    assert [one.item_id for one in log.results] == ['a', 'b']
    assert log.complete


def test_page_holds_one_result_at_least():
    """A result larger than a page is still read."""
    log = BatchLog(total=2)
    log.append(0, make_segment('a', 'b'))
    assert len(log.page(0, 1)) == 1
    assert len(log.page(1, 1)) == 1
    assert not log.page(2, 1)


def test_key_depends_on_account_and_id():
    """Two accounts may use one id, and names can't be confused."""
    assert batch_key('a', 'b1') != batch_key('b', 'b1')
    assert batch_key('a', '1b') != batch_key('a1', 'b')


def test_counts_are_current_for_a_short_time():
    """Only a fresh count that equals the known one spares the store."""
    counts = SegmentCounts()
    counts.put('k', 2, requested_at=10.0)
    assert counts.is_current('k', 2, now=10.1)
    assert not counts.is_current('k', 1, now=10.1)
    assert not counts.is_current('other', 0, now=10.1)
    assert not counts.is_current('k', 2, now=11.0)


def test_runner_that_cannot_tell_vouches_for_nothing():
    """Its answer spares the question, not the look into the store."""
    counts = SegmentCounts()
    counts.put('k', None, requested_at=10.0)
    assert counts.has_recent_reply('k', now=10.1)
    assert not counts.is_current('k', 0, now=10.1)


def test_counts_are_bounded():
    """Answers that count no more are dropped as others come."""
    counts = SegmentCounts()
    for number in range(KEPT_COUNTS * 4):
        counts.put(f'k{number}', 1, requested_at=number * COUNTS_VALID_S)
    assert len(counts._replies) <= KEPT_COUNTS


def test_older_answer_does_not_replace_a_newer_one():
    """An answer that was held up on its way says what was true before."""
    counts = SegmentCounts()
    counts.put('k', 3, requested_at=10.3)
    counts.put('k', 2, requested_at=10.0)
    assert not counts.is_current('k', 2, now=10.4)
    assert counts.is_current('k', 3, now=10.4)


def left_nothing(run):
    """Stands for a forecast that has seen nothing yet."""
    return 0.0


def test_items_in_time_go_before_late_ones():
    """Under overload a late item does not delay one that can be in time."""
    late = make_run('late', due_at=1.0)
    soon = make_run('soon', due_at=20.0)
    later = make_run('later', due_at=30.0)
    ordered = order_waiting([later, late, soon], [], 2, left_nothing, 5.0)
    assert [run.item_id for run in ordered] == ['soon', 'later', 'late']


def test_late_item_near_its_end_goes_first():
    """Among late items the one with most events frees its batch first."""
    begun = make_run('begun', due_at=1.0)
    begun.texts.extend('abcde')
    fresh = make_run('fresh', due_at=1.0)
    ordered = order_waiting([fresh, begun], [], 2, left_nothing, 5.0)
    assert ordered[0] is begun


def test_preempted_is_the_last_in_order():
    """The run with the latest deadline gives way."""
    soon = make_run('soon', due_at=20.0)
    later = make_run('later', due_at=30.0)
    assert choose_preempted([soon, later], 1, left_nothing, 5.0) == [later]


@pytest.fixture
def admissions():
    """Admissions with nothing reserved."""
    return BatchAdmissions()


def admit(admissions, key, tokens=60, **changes):
    """Asks for room under a cap of 100 tokens."""
    fields = {'waiting': 0, 'cap': 100, 'now': 0.0, **changes}
    return admissions.admit(key, 'gin/audit', tokens=tokens, **fields)


def test_admitted_batches_count_until_seen(admissions):
    """Two hosts that submit at once don't exceed the cap together."""
    assert admit(admissions, 'k1')
    assert not admit(admissions, 'k2')
    admissions.settle('k1')
    assert admit(admissions, 'k2')


def test_repeat_counts_once(admissions):
    """The same batch asked twice needs room once."""
    assert admit(admissions, 'k1')
    assert admit(admissions, 'k1')


def test_reservation_ends(admissions):
    """A batch that was never written frees its room."""
    assert admit(admissions, 'k1')
    assert admit(admissions, 'k2', now=RESERVED_S + 1)


def test_waiting_tokens_count(admissions):
    """What waits in known batches leaves less room; 0 is no limit."""
    assert not admit(admissions, 'k1', waiting=50)
    assert admit(admissions, 'k1', waiting=50, cap=0)


def test_bodies_keep_their_bytes():
    """Base64 of a body passes through chunks unchanged."""
    body = base64.b64encode(bytes(range(256)) * 10).decode()
    assert join_chunks(make_chunks([make_item('a', body)]))[0].body == body
