"""Builders of records and declarations that several tests use."""

from typing import Any

from jacinthmount.batches import BATCH_OPEN, BatchManifest
from jacinthmount.declarations import Endpoint
from jacinthmount.keys import KeyRecord, hash_secret, make_key
from jacinthmount.results import DONE, ResultRecord, Segment
from jacinthmount.shares import ShareSlot, ShareTable

__all__ = (
    'make_batch',
    'make_endpoint',
    'make_key_record',
    'make_segment',
    'make_table',
)

DECLARATIONS = """\
[data_centre east]
region = test
share = 0.5

[profile online]

[service model-a]
profile = online

[endpoint engine-1]
service = model-a
data_centre = east
address = 127.0.0.1:1000

[account gin]
rate_per_s = 5
burst = 10
"""


def make_endpoint(name: str, **changes: Any) -> Endpoint:
    """Builds an endpoint with four slots; ``changes`` replace fields."""
    fields: dict[str, Any] = {
        'name': name,
        'service': 'model-a',
        'data_centre': 'east',
        'address': '127.0.0.1:1000',
        'slots': 4,
        'fenced': False,
        'role': '',
        'leaving': False,
        'write_id': '',
    }
    return Endpoint(**{**fields, **changes})


def make_key_record(account: str) -> tuple[KeyRecord, str]:
    """Builds a key record and the key whose hash it stores."""
    key_id, key = make_key()
    record = KeyRecord(
        key_id=key_id,
        account=account,
        secret_hash=hash_secret(key),
        withdrawn=False,
        write_id='',
    )
    return record, key


def make_segment(holder: str, *lines: int, state: str = DONE) -> Segment:
    """Builds a segment whose records have the holder as their body."""
    return Segment(
        holder=holder,
        records=[
            ResultRecord(line=line, state=state, status=0, body=holder, code=0)
            for line in lines
        ],
        write_id='',
    )


def make_table(
    *hosts: str,
    previous: tuple[str, ...] = (),
    version: int = 0,
) -> ShareTable:
    """Builds a share table with every host in its first incarnation.

    :param previous: hosts of the table that this one replaces.
    :param version: version of the replaced table.
    """
    return ShareTable(
        data_centre='east',
        slots=[ShareSlot(host=host, incarnation='1') for host in hosts],
        previous=[ShareSlot(host=host, incarnation='1') for host in previous],
        previous_version=version,
        write_id='',
    )


def make_batch(batch_id: str, **changes: Any) -> BatchManifest:
    """Builds the manifest of an open batch with a deadline of 100 000 s."""
    fields: dict[str, Any] = {
        'batch_id': batch_id,
        'account': 'gin',
        'input_file': 'file-1',
        'endpoint': '/v1/chat/completions',
        'chunks': 1,
        'lines': 1,
        'targets': ['model-a'],
        'created_s': 0.0,
        'deadline_s': 100_000.0,
        'state': BATCH_OPEN,
        'ended_s': None,
        'completed': 0,
        'failed': 0,
        'window': '24h',
        'metadata': {},
        'request_hash': '',
        'write_id': '',
    }
    return BatchManifest(**{**fields, **changes})
