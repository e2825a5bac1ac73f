"""Tests of the result log, claims, batch order and files."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.batches import derive_batch_id, order_batches
from jacinthmount.claims import LEASE_S, HeartbeatMonitor, may_claim, next_claim
from jacinthmount.errors import BatchFileInvalid, ValueTooLarge
from jacinthmount.files import (
    MAX_CHUNK_LINES,
    MAX_LINE_BYTES,
    ChunkBuilder,
    parse_line,
)
from jacinthmount.ports import MAX_VALUE_BYTES
from jacinthmount.records import replaced, serialize_json
from jacinthmount.results import (
    DONE,
    FAILED,
    RECORD_OVERHEAD_BYTES,
    STARTED,
    ChunkResults,
    ResultRecord,
    Segment,
    limit_record,
    record_bytes,
)
from jacinthmount_node.batches.batch_chunks import BatchItem, ChunkRun

from tests.builders import make_batch, make_segment
from tests.small_store import URDU


def make_line(custom_id, prompt=''):
    """Builds one line of a batch file."""
    line = {
        'custom_id': custom_id,
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {'model': 'model-a', 'prompt': prompt},
    }
    return json.dumps(line, ensure_ascii=False).encode()


def test_first_terminal_record_wins():
    """A result never changes after it could be read."""
    results = ChunkResults(lines=2)
    results.fold(make_segment('a', 0))
    results.fold(make_segment('b', 0, 1))
    assert [record.body for record in results.records()] == ['a', 'b']
    assert results.complete()


def test_started_item_is_pending_with_its_holder():
    """A started item without a result is pending and names its holder."""
    results = ChunkResults(lines=1)
    results.fold(make_segment('a', 0, state=STARTED))
    assert results.pending() == [0]
    assert results.started_by(0) == 'a'


def test_record_of_an_unknown_line_is_ignored():
    """An invalid line number does not count as a result."""
    results = ChunkResults(lines=1)
    results.fold(make_segment('a', 5, -1))
    assert not results.complete()


def test_stopped_chunk_starts_nothing_again():
    """An item that was cancelled with its chunk is not requeued."""
    run = ChunkRun(
        node=None,
        batch=make_batch('batch_1'),
        chunk=0,
        claim=next_claim(None, 'a', '1', ''),
        claim_version=1,
    )
    item = BatchItem(
        chunk=run,
        line=0,
        request=parse_line(make_line('0').decode()),
    )
    run.put_back(item)
    assert list(run.pending) == [item]
    assert run.may_start()
    run.begin_stop()
    run.put_back(item)
    assert not run.pending
    assert not run.may_start()


def test_claim_waits_for_the_lease():
    """A claim is free for other hosts if its beat stood still for a lease."""
    beats = HeartbeatMonitor()
    beats.on_heartbeat('a', 1, 0)
    assert not beats.expired('a', LEASE_S - 1)
    beats.on_heartbeat('a', 2, LEASE_S - 1)
    assert not beats.expired('a', LEASE_S)
    assert beats.expired('a', 2 * LEASE_S)
    claim = next_claim(None, 'a', '1', '')
    assert not may_claim(claim, 'b', '1', expired=False)
    assert may_claim(claim, 'b', '1', expired=True)
    assert may_claim(claim, 'a', '2', expired=False)
    done = replaced(claim, done=True)
    assert not may_claim(done, 'b', '1', expired=True)
    assert next_claim(claim, 'b', '1', '').epoch == claim.epoch + 1


def test_urgent_batches_come_by_slack():
    """Batches near their deadline are sorted by slack."""
    batches = [
        make_batch('late', deadline_s=10_000),
        make_batch('soon', deadline_s=500, account='busy'),
        make_batch('sooner', deadline_s=400, account='busy'),
    ]
    ordered = order_batches(batches, {'busy': 100}, 0)
    assert [batch.batch_id for batch in ordered] == ['sooner', 'soon', 'late']


def test_other_batches_are_fair_over_accounts():
    """Other batches are sorted by the recent work of their account."""
    batches = [
        make_batch('one', account='busy', deadline_s=9_000),
        make_batch('two', account='idle', deadline_s=10_000),
    ]
    ordered = order_batches(batches, {'busy': 5}, 0)
    assert ordered[0].batch_id == 'two'


def test_resent_batch_has_the_same_id_per_account():
    """The id is derived from the account and the idempotency key."""
    assert derive_batch_id('a', 'k') == derive_batch_id('a', 'k')
    assert derive_batch_id('a', 'k') != derive_batch_id('b', 'k')


@seed(20261204)
@settings(max_examples=50, deadline=None)
@given(st.integers(1, 3 * MAX_CHUNK_LINES), st.integers(1, 5000))
def test_chunks_hold_every_line_in_order(count, piece_size):
    """Lines stay complete and in order, however the bytes are split."""
    packed = b'\n'.join(make_line(str(number)) for number in range(count))
    builder = ChunkBuilder()
    chunks = []
    for start in range(0, len(packed), piece_size):
        chunks.extend(builder.feed(packed[start : start + piece_size]))
    chunks.extend(builder.finish())
    lines = [json.loads(line) for chunk in chunks for line in chunk.lines]
    assert [line['custom_id'] for line in lines] == [
        str(number) for number in range(count)
    ]
    assert builder.targets == {'model-a'}


def test_lines_beyond_ascii_make_a_chunk_that_the_store_refuses():
    """A character takes six bytes in the store.

    Guards against uploads in other scripts that are refused as too large.
    """
    packed = b'\n'.join(
        make_line(str(number), URDU * 2000) for number in range(40)
    )
    builder = ChunkBuilder()
    chunks = [*builder.feed(packed), *builder.finish()]
    assert sum(len(chunk.lines) for chunk in chunks) == 40
    for chunk in chunks:
        assert len(serialize_json(chunk)) <= MAX_VALUE_BYTES


@pytest.mark.parametrize('character', ['"', URDU[0], 'x'])
def test_segment_of_large_records_is_refused(character):
    """Sizes are those in the store, where a body is JSON inside JSON.

    Guards against a result that ends the work on its whole chunk.
    """
    body = json.dumps(character * 1_000_000)
    record = ResultRecord(line=0, state=DONE, status=200, body=body, code=0)
    limited = limit_record(record)
    assert limited.state == FAILED
    assert limited.code == ValueTooLarge.code
    small = replaced(record, body=json.dumps(character * 1000))
    assert limit_record(small) == small
    packed = serialize_json(Segment(holder='h', records=[small], write_id=''))
    assert len(packed) <= record_bytes(small) + RECORD_OVERHEAD_BYTES


@pytest.mark.parametrize(
    'bad',
    [
        b'not json',
        b'[]',
        b'{"custom_id": "x"}',
        make_line('0'),
        b'\xff\xfe',
    ],
)
def test_bad_lines_are_named(bad):
    """The error lists the numbers of the invalid lines."""
    builder = ChunkBuilder()
    builder.feed(b'\n'.join([make_line('0'), bad, make_line('1'), bad]))
    with pytest.raises(BatchFileInvalid) as caught:
        builder.finish()
    assert caught.value.lines == [2, 4]


def test_endless_line_is_refused_in_bounded_memory():
    """A line without an end is rejected before it fills the memory."""
    builder = ChunkBuilder()
    with pytest.raises(BatchFileInvalid):
        builder.feed(b'x' * (MAX_LINE_BYTES + 1))
