"""Fixtures shared by the tests."""

import pytest
from jacinthmount.declarations import parse_declarations
from jacinthmount.ports import Stored
from jacinthmount.records import replaced, serialize_json

from tests.builders import DECLARATIONS


@pytest.fixture
def stored_declarations():
    """The declarations of the builders as the platform holds them."""
    records = parse_declarations({'all.ini': DECLARATIONS})
    return [
        Stored(
            name=name,
            version=number + 1,
            body=serialize_json(replaced(record, write_id=f'w{number}')),
        )
        for number, (name, record) in enumerate(records.items())
    ]
