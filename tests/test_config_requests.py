"""Requests in flight beside changes of the configuration, on real fronts."""

import base64
import itertools
import json
import threading
import time

import pytest
from jacinthmount_platform_standin.site import SERVICE, PlatformSite

from tests.platform_callers import ask_raw

CALLERS = 10
EVENTS = 8
EVENT_S = 0.04
CHANGE_S = 0.5
# The statuses that tell a caller that its request has not run.
NOT_RUN = frozenset((408, 421, 429, 503))
CODED = frozenset((200, 202, 401, 404, 502, 504, *NOT_RUN))


@pytest.fixture
def site(tmp_path):
    """A site of one front, one runner and two engines with two slots."""
    found = PlatformSite(folder=tmp_path, fronts=1, runners=1)
    try:
        found.start(engines=2, slots=2)
        for port in found.engines.values():
            found.switch(port, event_s=EVENT_S)
        yield found
    finally:
        found.stop()


def change_routes(config, **fields):
    """Returns the routes with other fields."""
    return [{**route, **fields} for route in config['routes']]


def change_account(config, **fields):
    """Returns the accounts with other fields."""
    return [{**account, **fields} for account in config['tenants']]


CHANGES = {
    'route removed': lambda config: {'routes': config['routes'][1:]},
    'routes to a service without endpoints': lambda config: {
        'routes': change_routes(config, service='elsewhere'),
        'services': [
            *config['services'],
            {'name': 'elsewhere', 'engine': {'slots': 4}},
        ],
    },
    'weights': lambda config: {
        'routes': change_routes(
            config,
            split=[
                {'service': SERVICE, 'weight': 1},
                {'service': 'elsewhere', 'weight': 1},
            ],
        ),
    },
    'key withdrawn': lambda config: {
        'tenants': change_account(config, api_keys=['another'])
    },
    'account gone': lambda config: {
        'tenants': [
            {
                'name': 'other',
                'api_keys': ['another'],
                'rate_per_s': 0,
                'burst': 0,
            }
        ],
    },
    'limits lower': lambda config: {
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 65536,
            'header_timeout_ms': 500,
            'idle_timeout_ms': 500,
        },
    },
    'timeout lower': lambda config: {
        'routes': change_routes(config, timeout_ms=1000)
    },
    'rate lower': lambda config: {
        'tenants': change_account(config, rate_per_s=2, burst=2)
    },
}


class Callers:
    """Callers that send one request after another until they are stopped."""

    def __init__(self, *, site):
        """Starts them."""
        self._site = site
        self._going = True
        self._numbers = itertools.count()
        self.answers = []
        self._threads = [
            threading.Thread(target=self._call, args=(one,))
            for one in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Waits for the requests in flight.

        :returns: the answers by request id.
        """
        self._going = False
        for thread in self._threads:
            thread.join()
        return self.answers

    def _call(self, caller):
        while self._going:
            request_id = f'{caller:x}{next(self._numbers):04x}'
            method, path, body = make_request(caller, request_id)
            self.answers.append((
                request_id,
                ask_raw(
                    self._site.fronts['front-1'],
                    method,
                    path,
                    body,
                    request_id,
                    f'10,{EVENTS}',
                ),
            ))


def make_request(caller, request_id):
    """Chooses a kind of request by the number of a caller."""
    if caller == 0:
        return 'GET', '/api/lots/b0?after=0', b''
    if caller == 1:
        return 'DELETE', f'/api/lots/{request_id}', b''
    if caller == 2:
        item = {
            'id': f'i{request_id}',
            'path': '/audit/1',
            'headers': {'Token-Usage': '10,2'},
            'body': base64.b64encode(b'bale').decode(),
            'tokens': 12,
        }
        return 'POST', '/audit/x', json.dumps({'items': [item]}).encode()
    return 'POST', '/check/1' if caller % 2 else '/scan/1', b'{"bale":1}'


def check(site, answers):
    """Checks that each request has a complete or a true coded answer."""
    ran = {run['id'] for run in site.ran()}
    assert answers
    for request_id, answer in answers:
        assert answer.status in CODED, (request_id, answer)
        assert answer.is_whole, (request_id, answer)
        assert not (answer.status in NOT_RUN and request_id in ran), (
            request_id,
            answer,
        )


@pytest.mark.parametrize('change', CHANGES)
def test_request_has_no_answer_beside_a_change(site, change):
    """Each request that was sent whole gets an answer that is true."""
    before = site.config
    callers = Callers(site=site)
    time.sleep(CHANGE_S)
    site.write_config(**CHANGES[change](before))
    time.sleep(2 * CHANGE_S)
    site.write_config(**before)
    time.sleep(2 * CHANGE_S)
    check(site, callers.stop())


def test_request_has_no_answer_beside_many_changes(site):
    """The same for all changes in quick succession."""
    before = site.config
    callers = Callers(site=site)
    time.sleep(CHANGE_S)
    for change in CHANGES.values():
        site.write_config(**{**before, **change(before)})
        time.sleep(0.15)
    site.write_config(**before)
    time.sleep(2 * CHANGE_S)
    answers = callers.stop()
    check(site, answers)
    assert (
        ask_raw(
            site.fronts['front-1'], 'POST', '/scan/1', b'{}', 'ff', '10,2'
        ).status
        == 200
    )
