"""Callers that submit batches to a platform front and read the results."""

import base64
import json
import time

__all__ = (
    'count_results',
    'make_items',
    'read_texts',
    'submit',
    'wait_results',
)

WAIT_S = 30.0
POLL_S = 0.2
BODY = bytes(3)


def make_items(batch_id, items, events, tokens=10, body=BODY):
    """Builds the items of a batch."""
    return [
        {
            'id': f'{batch_id}-{number}',
            'path': '/audit/1',
            'headers': {'token-usage': f'10,{events}'},
            'body': base64.b64encode(body).decode(),
            'tokens': tokens,
        }
        for number in range(items)
    ]


def submit(site, batch_id, items, events):
    """Submits a batch."""
    rows = make_items(batch_id, items, events)
    status, answer = site.call(
        'front-1', 'POST', '/audit/1', {'items': rows}, attempt_id=batch_id
    )
    assert status == 202, answer


def read_texts(site, batch_id, count):
    """Reads the texts of all items once they are complete."""
    return [one['text'] for one in wait_results(site, batch_id, count)]


def wait_results(site, batch_id, count, wait_s=WAIT_S):
    """Reads the results of a batch once there are as many."""
    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        found = _read(site, batch_id)
        if len(found) == count:
            return found
        time.sleep(POLL_S)
    raise AssertionError(found)


def count_results(site, batch_id):
    """Counts the items that are complete by now."""
    return len(_read(site, batch_id))


def _read(site, batch_id):
    status, answer = site.call(
        'front-1', 'GET', f'/api/lots/{batch_id}?after=0'
    )
    if status != 200:
        return []
    return json.loads(answer)['results']
