"""Tests of item batches: chunks, result log, order of runs, admission."""

import base64

import pytest
from hypothesis import given
from hypothesis import strategies as st
from jacinthmount.admissions import RESERVATION_VALID_S, BatchAdmissions
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
    """Chunks of items of any size fit the store and restore the same items."""
    items = [
        make_item(f'i{index}', body='A' * size)
        for index, size in enumerate(sizes)
    ]
    chunks = make_chunks(items)
    assert join_chunks(chunks) == items
    assert all(len(serialize_json(chunk)) < MAX_VALUE_BYTES for chunk in chunks)


def test_repeated_segment_counts_once():
    """A segment that two readers add is applied once.

    Otherwise the log skips the next segment, and a position has another result
    than before.
    """
    log = BatchLog(total=3)
    log.append(0, make_segment('a'))
    log.append(0, make_segment('a'))
    assert log.next_index == 1
    log.append(1, make_segment('b', 'c'))
    assert [result.item_id for result in log.results] == ['a', 'b', 'c']


def test_first_result_of_an_item_wins():
    """An item has one position even if two runners wrote results for it."""
    log = BatchLog(total=2)
    log.append(0, make_segment('a'))
    log.append(1, make_segment('a', 'b'))
    assert [result.item_id for result in log.results] == ['a', 'b']
    assert log.complete


def test_page_holds_one_result_at_least():
    """A result that is larger than the page size is returned."""
    log = BatchLog(total=2)
    log.append(0, make_segment('a', 'b'))
    assert len(log.page(0, 1)) == 1
    assert len(log.page(1, 1)) == 1
    assert not log.page(2, 1)


def test_key_depends_on_account_and_id():
    """Keys differ by account, also if account and id join to the same text."""
    assert batch_key('a', 'b1') != batch_key('b', 'b1')
    assert batch_key('a', '1b') != batch_key('a1', 'b')


def test_counts_are_current_for_a_short_time():
    """A reader is current only while a valid count equals its own."""
    counts = SegmentCounts()
    counts.put('k', 2, requested_at=10.0)
    assert counts.is_current('k', 2, now=10.1)
    assert not counts.is_current('k', 1, now=10.1)
    assert not counts.is_current('other', 0, now=10.1)
    assert not counts.is_current('k', 2, now=11.0)


def test_reply_without_count_is_never_current():
    """A reply without a count saves a request, but not a read of the store."""
    counts = SegmentCounts()
    counts.put('k', None, requested_at=10.0)
    assert counts.has_recent_reply('k', now=10.1)
    assert not counts.is_current('k', 0, now=10.1)


def test_counts_are_bounded():
    """Expired replies are removed when others are added."""
    counts = SegmentCounts()
    for number in range(KEPT_COUNTS * 4):
        counts.put(f'k{number}', 1, requested_at=number * COUNTS_VALID_S)
    assert len(counts._replies) <= KEPT_COUNTS


def test_older_answer_does_not_replace_a_newer_one():
    """A reply that arrives late to an earlier request is ignored."""
    counts = SegmentCounts()
    counts.put('k', 3, requested_at=10.3)
    counts.put('k', 2, requested_at=10.0)
    assert not counts.is_current('k', 2, now=10.4)
    assert counts.is_current('k', 3, now=10.4)


def no_time_left(run):
    """Stands in for a forecast without data: no remaining time."""
    return 0.0


def test_items_in_time_go_before_late_ones():
    """Under overload items that can meet their deadline precede late ones."""
    late = make_run('late', due_at=1.0)
    soon = make_run('soon', due_at=20.0)
    later = make_run('later', due_at=30.0)
    ordered = order_waiting([later, late, soon], [], 2, no_time_left, 5.0)
    assert [run.item_id for run in ordered] == ['soon', 'later', 'late']


def test_late_item_near_its_end_goes_first():
    """Among late items the most advanced one completes its batch first."""
    begun = make_run('begun', due_at=1.0)
    begun.texts.extend('abcde')
    new = make_run('fresh', due_at=1.0)
    ordered = order_waiting([new, begun], [], 2, no_time_left, 5.0)
    assert ordered[0] is begun


def test_preempted_is_the_last_in_order():
    """The run with the latest deadline is preempted."""
    soon = make_run('soon', due_at=20.0)
    later = make_run('later', due_at=30.0)
    assert choose_preempted([soon, later], 1, no_time_left, 5.0) == [later]


@pytest.fixture
def admissions():
    """Admissions without reservations."""
    return BatchAdmissions()


def admit(admissions, key, tokens=60, **changes):
    """Requests the admission of a batch under a cap of 100 tokens."""
    fields = {'waiting': 0, 'cap': 100, 'now': 0.0, **changes}
    return admissions.admit(key, 'gin/audit', tokens=tokens, **fields)


def test_admitted_batches_count_until_seen(admissions):
    """Two hosts that submit at the same time do not exceed the cap together."""
    assert admit(admissions, 'k1')
    assert not admit(admissions, 'k2')
    admissions.settle('k1')
    assert admit(admissions, 'k2')


def test_repeat_counts_once(admissions):
    """A batch that is submitted twice is counted once."""
    assert admit(admissions, 'k1')
    assert admit(admissions, 'k1')


def test_reservation_ends(admissions):
    """The reservation of a batch that was never written expires."""
    assert admit(admissions, 'k1')
    assert admit(admissions, 'k2', now=RESERVATION_VALID_S + 1)


def test_waiting_tokens_count(admissions):
    """Queued tokens reduce the capacity; a cap of 0 means no limit."""
    assert not admit(admissions, 'k1', waiting=50)
    assert admit(admissions, 'k1', waiting=50, cap=0)


def test_bodies_keep_their_bytes():
    """The base64 text of a body is the same after splitting into chunks."""
    body = base64.b64encode(bytes(range(256)) * 10).decode()
    assert join_chunks(make_chunks([make_item('a', body)]))[0].body == body
