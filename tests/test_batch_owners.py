"""Whose a batch is, on public routes and without accounts."""

import json
import time
from http import HTTPStatus

import pytest
from jacinthmount_platform_standin.site import KEY, PlatformSite

from tests.batch_callers import make_items

FRONTS = ('front-1', 'front-2')
ACCOUNT = 'gin-yards'
SECOND_KEY = 'second-key-of-gin-yards'
OTHER_KEY = 'key-of-mills'
UNKNOWN_KEY = 'key-of-nobody'
ITEMS = 3
EVENTS = 5
CAP = 10_000
WAIT_S = 15.0
POLL_S = 0.05


@pytest.fixture
def site(tmp_path):
    """Two fronts, a runner, an engine, two accounts, a public batch route."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=1)
    row = found.config['tenants'][0]
    found.config['tenants'] = [
        {**row, 'api_keys': [KEY, SECOND_KEY]},
        {**row, 'name': 'mills', 'api_keys': [OTHER_KEY]},
    ]
    found.config['routes'] = set_public(found, is_public=True)
    try:
        found.start(engines=1)
        yield found
    finally:
        found.stop()


def set_public(site, *, is_public):
    """Builds the routes with a batch route that is public or not."""
    return [
        {**row, 'public': is_public} if row['kind'] == 'batch' else row
        for row in site.config['routes']
    ]


def change(site, **changes):
    """Writes a configuration and returns once all fronts have applied it."""
    site.write_config(**changes)
    version = site.config['version']
    until = time.monotonic() + WAIT_S
    for front in FRONTS:
        while version not in {
            line.get('version')
            for line in site.read_lines(front)
            if line['message_type'] == 'jacinthmount:config_in_force'
        }:
            assert time.monotonic() < until
            time.sleep(POLL_S)


def submit(site, batch_id, key=KEY, front='front-1', tokens=20):
    """Submits a batch; returns the status of the answer."""
    rows = make_items(batch_id, ITEMS, EVENTS, tokens, b'bale')
    return site.call(
        front,
        'POST',
        '/audit/x',
        {'items': rows},
        key=key,
        attempt_id=batch_id,
    )[0]


def read(site, batch_id, key=KEY, front='front-1'):
    """Reads a batch.

    :returns: the status, and how many items are completed.
    """
    status, answer = site.call(
        front, 'GET', f'/api/lots/{batch_id}?after=0', key=key
    )
    if status != HTTPStatus.OK:
        return status, 0
    states = [one['state'] for one in json.loads(answer)['results']]
    return status, states.count('completed')


def read_body(site, batch_id, key=KEY):
    """Reads the body of the first item; returns status and body."""
    target = f'/api/items/{batch_id}?id={batch_id}-0'
    return site.call('front-1', 'GET', target, key=key)


def end(site, batch_id, key=KEY):
    """Ends a batch; returns the status of the answer."""
    return site.call('front-2', 'DELETE', f'/api/lots/{batch_id}', key=key)[0]


def wait_complete(site, batch_id, key=KEY):
    """Waits until both fronts list all items of a batch."""
    until = time.monotonic() + WAIT_S
    for front in FRONTS:
        while read(site, batch_id, key, front) != (HTTPStatus.OK, ITEMS):
            assert time.monotonic() < until, read(site, batch_id, key, front)
            time.sleep(POLL_S)


def list_accounts(site, batch_id):
    """Lists the accounts for which items of a batch ran."""
    return {
        run['tenant']
        for run in site.ran()
        if run['id'].startswith(f'{batch_id}-')
    }


def slow_down(site):
    """Lets items wait for a while."""
    for port in site.engines.values():
        site.switch(port, event_s=0.5)


def test_batch_of_a_public_route_is_lost(site):
    """Guards against batches that run for no account and can't be read."""
    slow_down(site)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    assert read_body(site, 'b1') == (HTTPStatus.OK, b'bale')
    wait_complete(site, 'b1')
    wait_complete(site, 'b1', SECOND_KEY)
    assert list_accounts(site, 'b1') == {ACCOUNT}
    assert submit(site, 'b1', SECOND_KEY, 'front-2') == HTTPStatus.ACCEPTED
    assert end(site, 'b1', SECOND_KEY) == HTTPStatus.OK
    assert len(site.ran()) == ITEMS


def test_batch_of_a_public_route_is_read_by_another_account(site):
    """Each account has its own, also under the same id."""
    slow_down(site)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    for key, status in (
        (OTHER_KEY, HTTPStatus.NOT_FOUND),
        (UNKNOWN_KEY, HTTPStatus.UNAUTHORIZED),
        ('', HTTPStatus.UNAUTHORIZED),
    ):
        assert read(site, 'b1', key)[0] == status
        assert read_body(site, 'b1', key)[0] == status
        assert end(site, 'b1', key) == status
    wait_complete(site, 'b1')
    assert submit(site, 'b1', OTHER_KEY) == HTTPStatus.ACCEPTED
    wait_complete(site, 'b1', OTHER_KEY)
    assert list_accounts(site, 'b1') == {ACCOUNT, 'mills'}


@pytest.mark.parametrize('key', ['', UNKNOWN_KEY])
def test_batch_that_nobody_can_read_is_accepted(site, key):
    """It is refused at once, and nothing of it runs."""
    assert submit(site, 'b1', key) == HTTPStatus.UNAUTHORIZED
    assert submit(site, 'b2') == HTTPStatus.ACCEPTED
    wait_complete(site, 'b2')
    assert list_accounts(site, 'b1') == set()


@pytest.mark.parametrize('is_public', [True, False])
def test_batch_is_lost_with_a_change_of_its_route(site, is_public):
    """Whether its route is public does not change whose it is."""
    change(site, routes=set_public(site, is_public=is_public))
    slow_down(site)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    change(site, routes=set_public(site, is_public=not is_public))
    assert submit(site, 'b1', front='front-2') == HTTPStatus.ACCEPTED
    wait_complete(site, 'b1')
    assert list_accounts(site, 'b1') == {ACCOUNT}
    assert len(site.ran()) == ITEMS


def test_accounts_share_the_cap_of_a_public_route(site):
    """All keys of an account have one cap, and each account its own."""
    slow_down(site)
    tokens = CAP // ITEMS
    assert submit(site, 'b1', tokens=tokens) == HTTPStatus.ACCEPTED
    assert submit(site, 'b2', SECOND_KEY, tokens=tokens) == 429
    assert submit(site, 'b3', OTHER_KEY, tokens=tokens) == HTTPStatus.ACCEPTED


@pytest.mark.parametrize('is_public', [True, False])
@pytest.mark.parametrize('key', ['', KEY])
def test_batch_without_accounts_is_lost(site, key, is_public):
    """Guards against 401 at each read where there are no keys."""
    change(site, tenants=[], routes=set_public(site, is_public=is_public))
    slow_down(site)
    assert submit(site, 'b1', key) == HTTPStatus.ACCEPTED
    assert read_body(site, 'b1', key) == (HTTPStatus.OK, b'bale')
    wait_complete(site, 'b1', UNKNOWN_KEY)
    assert list_accounts(site, 'b1') == {''}
    assert end(site, 'b1', key) == HTTPStatus.OK


def test_batch_of_no_account_is_read_by_accounts_that_are_added(site):
    """It is done, but belongs to none of them."""
    tenants = site.config['tenants']
    change(site, tenants=[])
    slow_down(site)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    change(site, tenants=tenants)
    for key in (KEY, OTHER_KEY):
        assert read(site, 'b1', key)[0] == HTTPStatus.NOT_FOUND
        assert end(site, 'b1', key) == HTTPStatus.NOT_FOUND
    assert read(site, 'b1', '')[0] == HTTPStatus.UNAUTHORIZED
    change(site, tenants=[])
    wait_complete(site, 'b1')


def test_batch_of_an_account_is_read_while_there_is_none(site):
    """Nobody can show that it is theirs; it is back with the accounts."""
    tenants = site.config['tenants']
    slow_down(site)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    change(site, tenants=[])
    assert read(site, 'b1')[0] == HTTPStatus.NOT_FOUND
    change(site, tenants=tenants)
    wait_complete(site, 'b1')
    assert list_accounts(site, 'b1') == {ACCOUNT}
