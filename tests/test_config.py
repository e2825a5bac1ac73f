"""Tests of declarations, settings, keys and errors."""

import inspect
import re
import sys
from pathlib import Path

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from jacinthmount.catalogue import Catalogue
from jacinthmount.declaration_files import parse_declarations
from jacinthmount.declarations import SCHEMAS, object_name
from jacinthmount.errors import InvalidDeclarations, KeyMissing, KeyUnknown
from jacinthmount.keys import Keyring, contains_key, parse_bearer
from jacinthmount.records import replaced
from jacinthmount.settings import NODE_SCHEMA, parse_settings
from jacinthmount_ctl.changes import check_shares, compare
from jacinthmount_ctl.porcelain import read_declarations

from tests.builders import DECLARATIONS, make_key_record

ROOT = Path(__file__).parent.parent


def test_declarations_parse():
    """Valid declarations give one record for each section."""
    records = parse_declarations({'all.ini': DECLARATIONS})
    assert len(records) == 5


@pytest.mark.parametrize('evacuated', [False, True])
def test_endpoints_of_an_evacuated_data_centre_are_leaving(evacuated):
    """Their own declarations stay as they are."""
    text = f'{DECLARATIONS}\n[evacuation east]\n' if evacuated else DECLARATIONS
    records = parse_declarations({'all.ini': text})
    catalogue = Catalogue(records=list(records.values()))
    endpoint = catalogue.endpoints('model-a', 'east')[0]
    assert endpoint.leaving is evacuated
    assert not records[object_name('endpoint', 'engine-1')].leaving


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('share = 0.5', 'share = 1.5', 'above 1 fraction'),
        ('share = 0.5', 'shares = 0.5', 'unknown option'),
        ('rate_per_s = 5', 'rate_per_s = fast', 'not a number'),
        ('rate_per_s = 5', 'rate_per_s = nan', 'below'),
        ('profile = online', 'profile = offline', "no profile 'offline'"),
        ('address = 127.0.0.1:1000', 'address = here', 'is not IP:port'),
        (
            '[account gin]',
            '[evacuation west]\n\n[account gin]',
            "no data centre 'west'",
        ),
        ('[account gin]', '[acount gin]', 'unknown kind'),
        ('[account gin]', '[account Gin!]', 'use 1 to 63'),
        ('region = test', 'region =', 'must not be empty'),
    ],
)
def test_problem_names_file_section_and_option(old, new, expected):
    """Each problem names its location and the allowed values."""
    with pytest.raises(InvalidDeclarations) as caught:
        parse_declarations({'all.ini': DECLARATIONS.replace(old, new)})
    assert expected in str(caught.value)


def test_shares_above_one_are_refused():
    """The shares of all data centres must not sum to more than 1."""
    more = '[data_centre west]\nregion = test\nshare = 0.6\n'
    with pytest.raises(InvalidDeclarations):
        parse_declarations({'all.ini': DECLARATIONS + more})


@pytest.mark.parametrize('name', ['baleward', 'ansah'])
def test_examples_are_valid(name):
    """The declarations in examples/ are valid."""
    assert read_declarations(str(ROOT / 'examples' / name))


def test_unchanged_declarations_need_no_write(stored_declarations):
    """Declarations that are already in force are not written again."""
    records = parse_declarations({'all.ini': DECLARATIONS})
    assert not compare(records, stored_declarations)


def test_share_is_lowered_before_another_is_raised(stored_declarations):
    """A share must be lowered before another one is raised.

    The change is applied object by object, so old and new shares are in force
    together for a while and must not sum to more than 1.
    """
    moved = DECLARATIONS.replace('share = 0.5', 'share = 0.4')
    more = '[data_centre west]\nregion = test\nshare = 0.6\n'
    records = parse_declarations({'all.ini': moved + more})
    assert check_shares(records, stored_declarations)


def test_settings_problems_are_listed():
    """All problems of a settings file are reported together."""
    text = '[node]\nhost = a\ncolour = red\n[extra]\n'
    with pytest.raises(InvalidDeclarations) as refused:
        parse_settings(text, 'x.ini')
    shown = str(refused.value)
    assert 'colour: unknown option' in shown
    assert '[extra]: unknown section' in shown
    assert 'data_centre: required' in shown


def test_key_is_checked_and_withdrawn_for_good():
    """A withdrawn key stays unknown after its record arrives again."""
    record, key = make_key_record('gin')
    keyring = Keyring()
    keyring.put(record)
    assert keyring.check(key).account == 'gin'
    keyring.withdraw(record.key_id)
    keyring.put(record)
    with pytest.raises(KeyUnknown):
        keyring.check(key)
    with pytest.raises(KeyUnknown):
        keyring.recheck(record.key_id)


def test_withdrawn_record_withdraws():
    """A record that is marked as withdrawn withdraws the key."""
    record, key = make_key_record('gin')
    keyring = Keyring()
    keyring.put(record)
    keyring.put(replaced(record, withdrawn=True))
    with pytest.raises(KeyUnknown):
        keyring.check(key)


@pytest.mark.parametrize('damage', ['x', '-extra', ''])
def test_damaged_key_is_unknown(damage):
    """A key with a missing, wrong or additional character is unknown."""
    record, key = make_key_record('gin')
    keyring = Keyring()
    keyring.put(record)
    with pytest.raises(KeyUnknown):
        keyring.check(f'{key[:-1]}{damage}')


def test_key_is_found_in_any_text():
    """A key inside other text is detected."""
    _, key = make_key_record('gin')
    assert contains_key(f'a{key}b')
    assert not contains_key('jm-abc-def')


@pytest.mark.parametrize('header', ['', 'Basic abc', 'Bearer', 'Bearer  '])
def test_header_without_key(header):
    """A header without a bearer key is rejected."""
    with pytest.raises(KeyMissing):
        parse_bearer(header)


def test_error_table_is_complete():
    """docs/ERRORS.md lists each code once, with status and run state."""
    text = (ROOT / 'docs' / 'ERRORS.md').read_text()
    rows = re.findall(r'^\| (\d+) \| (\w+) \| (\d+) \| (\w+) \|', text, re.M)
    classes = [
        member
        for _, member in inspect.getmembers(sys.modules['jacinthmount.errors'])
        if isinstance(member, type) and issubclass(member, Exception)
    ]
    expected = sorted(
        (
            str(error_type.code),
            error_type.__name__,
            str(error_type.http_status),
            error_type.run_state,
        )
        for error_type in classes
    )
    assert sorted(rows) == expected
    assert len({error_type.code for error_type in classes}) == len(classes)


def test_every_option_is_documented():
    """docs/CONFIGURATION.md names each option of both schemas."""
    text = (ROOT / 'docs' / 'CONFIGURATION.md').read_text()
    schemas = [schema for _, schema in SCHEMAS.values()]
    schemas.extend(NODE_SCHEMA.values())
    for schema in schemas:
        for option in schema:
            assert f'| `{option.name}` | {option.unit} |' in text


INI_LINES = st.lists(
    st.sampled_from([
        *DECLARATIONS.splitlines(),
        *NODE_SCHEMA,
        '[node]',
        '[peers]',
        '[account gin',
        ']',
        '[]',
        '= 1',
        'share',
        'rate_per_s = 1e999',
        'burst = -0',
        '  weight = %(x)s',
    ])
    | st.text(max_size=30),
    max_size=30,
)


@seed(20261204)
@settings(max_examples=400, deadline=None)
@given(INI_LINES)
def test_any_ini_text_is_parsed_or_refused_with_problems(lines):
    """Any INI text is parsed or gives a list of problems, no other error."""
    text = '\n'.join(lines)
    for parse in (
        lambda: parse_declarations({'any.ini': text}),
        lambda: parse_settings(text, 'any.ini'),
    ):
        try:
            parse()
        except InvalidDeclarations as exc:
            assert all(exc.problems)
