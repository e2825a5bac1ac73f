"""JSON answers with members that can't be read."""

import json
import time

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.errors import MalformedRecord
from jacinthmount.json_rows import Unreadable, parse_rows

SEED = 38
EXAMPLES = 300
LEVELS = 3
DEPTH = 100_000
# Processor time in which an answer is read, so that streams go on meanwhile.
READ_S = 0.1
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=20,
)
# A member that no parser takes, without brackets or quotation marks.
ODD = b'nothing'
CHARACTERS = r'[]{}",:\ a1'


def clean(text):
    """Replaces what has no form in UTF-8, like a store does."""
    return json.loads(
        json.dumps(text, ensure_ascii=False).encode(errors='replace')
    )


@seed(SEED)
@settings(max_examples=EXAMPLES, deadline=None)
@given(st.lists(JSON_VALUES, max_size=5), st.integers(0, 5), st.booleans())
def test_sound_rows_are_read_beside_an_unreadable_one(rows, place, indented):
    """All rows but the odd one are the same as without it."""
    sound = [clean(row) for row in rows]
    packed = [
        json.dumps(row, indent=1 if indented else None).encode()
        for row in sound
    ]
    packed.insert(place, ODD)
    answer = parse_rows(b'{"as_of": 7, "items": [%b]}' % b','.join(packed), 3)
    assert answer['as_of'] == 7
    found = answer['items']
    assert [one for one in found if not isinstance(one, Unreadable)] == sound
    assert len(found) == len(sound) + 1


@pytest.mark.parametrize(
    ('opening', 'closing'),
    [
        pytest.param('[', ']', id='lists'),
        pytest.param('{"a":', '}', id='objects'),
        pytest.param('[1,', ']', id='numbers'),
        pytest.param(r'{"\"":', '}', id='escapes'),
    ],
)
def test_deeply_nested_row_holds_a_host_up(opening, closing):
    """Guards against hundreds of milliseconds for each list answer."""
    spec = f'{opening * DEPTH}1{closing * DEPTH}'.encode()
    answer = b'{"items":[{"spec":1},{"spec":%b}]}' % spec
    took_s = []
    for _ in range(3):
        started_at = time.process_time()
        items = parse_rows(answer, LEVELS)['items']
        took_s.append(time.process_time() - started_at)
    assert items[0] == {'spec': 1}
    assert isinstance(items[1]['spec'], Unreadable)
    assert min(took_s) < READ_S


@pytest.mark.parametrize(
    'packed', [b'', b'[', b'{"a":', b'{"a":[}', b'"', b'{"a', b'{1', b'nothing']
)
def test_answer_that_is_cut_off_is_malformed(packed):
    """Guards against an unexpected error."""
    with pytest.raises(MalformedRecord):
        parse_rows(packed, LEVELS)


@seed(SEED)
@settings(max_examples=EXAMPLES, deadline=None)
@given(st.text(alphabet=CHARACTERS).map(str.encode) | st.binary())
def test_any_bytes_are_read_or_malformed(packed):
    """No other error, whatever an answer holds."""
    try:
        parse_rows(packed, LEVELS)
    except MalformedRecord as exc:
        assert exc.detail
