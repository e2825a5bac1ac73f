"""Tests of records and their codecs."""

import json
import subprocess
import sys

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.errors import MalformedRecord
from jacinthmount.records import (
    parse_json,
    parse_msgpack,
    replaced,
    serialize_json,
    serialize_msgpack,
)
from jacinthmount_node.messages import Envelope, Ping, Push, Take

from tests.builders import make_batch, make_endpoint, make_table


@pytest.mark.parametrize(
    'record',
    [make_batch('batch_1'), make_endpoint('e'), make_table('a')],
)
def test_json_round_trip(record):
    """A record is equal after encoding to JSON and decoding."""
    assert parse_json(type(record), serialize_json(record)) == record


def test_msgpack_round_trip():
    """A nested record is equal after encoding to msgpack and decoding."""
    envelope = Envelope(
        number=1,
        reply=False,
        body=Take(account='gin', tokens=1, forwarded=False),
    )
    assert parse_msgpack(serialize_msgpack(envelope)) == envelope


@pytest.mark.parametrize(
    'change',
    [
        {'slots': '4'},
        {'slots': True},
        {'leaving': 1},
        {'name': None},
        {'unknown': 1},
    ],
)
def test_wrong_field_is_refused(change):
    """A field of a wrong type or an unknown field is an error."""
    raw = {
        'name': 'e',
        'service': 's',
        'data_centre': 'd',
        'address': 'a',
        'slots': 4,
        'fenced': False,
        'leaving': False,
        'write_id': '',
    }
    text = json.dumps({**raw, **change})
    with pytest.raises(MalformedRecord):
        parse_json(type(make_endpoint('e')), text)


def test_missing_field_is_refused():
    """A constructor requires every field."""
    with pytest.raises(TypeError):
        Take(account='gin')  # type: ignore[call-arg]


def test_replaced_keeps_the_original():
    """The original is not changed by a changed copy."""
    record = make_endpoint('e')
    assert replaced(record, slots=9).slots == 9
    assert record.slots == 4


@seed(20261204)
@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_refused_with_a_code(packed):
    """Invalid bytes from a peer give a coded error and no other error."""
    with pytest.raises(MalformedRecord):
        parse_msgpack(packed)


@seed(20261204)
@settings(max_examples=300, deadline=None)
@given(drawn=st.data())
def test_damaged_message_is_refused_or_well_typed(drawn):
    """A changed byte gives a coded error or another well-typed message."""
    packed = bytearray(
        serialize_msgpack(
            Envelope(
                number=7,
                reply=False,
                body=Ping(host='east-h1', share_version=3, revision=12),
            )
        )
    )
    position = drawn.draw(st.integers(0, len(packed) - 1))
    packed[position] = drawn.draw(st.integers(0, 255))
    try:
        parsed = parse_msgpack(bytes(packed))
    except MalformedRecord:
        return
    assert isinstance(parsed, (Envelope, Ping, Push))


def test_nested_peer_message_ends_the_process():
    """Guards against a message that overflows the stack of its reader.

    It runs in a process of its own, which such a message would end.
    """
    script = (
        'import msgpack\n'
        'from jacinthmount.errors import MalformedRecord\n'
        'from jacinthmount.records import parse_msgpack\n'
        "packed = b''\n"
        'for _ in range(20_000):\n'
        '    packed = msgpack.packb(msgpack.ExtType(1, packed))\n'
        'try:\n'
        '    parse_msgpack(packed)\n'
        'except MalformedRecord as exc:\n'
        '    print(exc.detail)\n'
    )
    ended = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 0
    assert ended.stdout.endswith('nested too deeply\n')
