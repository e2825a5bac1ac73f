"""Refusals of requests that go through another host."""

import json
import random

import curio
import pytest
from jacinthmount.errors import (
    EndpointFailed,
    JacinthmountError,
    KeyUnknown,
    NotFound,
    ShuttingDown,
)
from jacinthmount.fleet_config import AccountRule, FleetConfig
from jacinthmount.memory import ManualClock
from jacinthmount.records import replaced
from jacinthmount.stores import MemoryStore
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_messages import error_body
from jacinthmount_node.relay.helper_relay import HelperRelay
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.protocols import (
    EndpointResponse,
    RelayedRequest,
    RelayMark,
)
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import (
    make_config,
    make_relay_settings,
    make_route,
)

OLDER, NEWER = 1, 2
HOST = RelayHost(
    host='h2',
    incarnation='i',
    data_centre='east',
    peer_address='h2:1',
    runs_batches=False,
)


class _Exchange:
    """An answer of another host."""

    def __init__(self, status, body=b'{}'):
        self.status = status
        self._body = body

    async def read_body(self):
        """Returns an error, without a code if none was given."""
        return self._body


class _Responder:
    """Records the status that the caller gets."""

    def __init__(self):
        self.started = False
        self.status = 0

    async def send(self, status, body, headers):
        """Records the status."""
        self.status = status


@pytest.fixture
def state():
    """A host without others."""
    return RelayState(
        settings=make_relay_settings(),
        store=MemoryStore(),
        clock=ManualClock(),
        rng=random.Random(1),
    )


class _Helper:
    """Another host, whose configuration this one can catch up with."""

    def __init__(self, state):
        self._state = state
        self.newer = None

    async def catch_up(self, address):
        """Applies the configuration of the other host if it is newer."""
        if self.newer is not None:
            self._state.apply_config(self.newer, NEWER)


@pytest.fixture
def helper(state):
    """Another host, whose configuration is older at first."""
    state.apply_config(make_config(make_route('check')), OLDER)
    return _Helper(state)


@pytest.fixture
def helpers(state, helper):
    """The relay through other hosts."""
    return HelperRelay(
        state=state,
        links=None,
        pool=ClientPool(),
        callers=None,
        endpoints=None,
        catch_up=helper.catch_up,
    )


def make_mark(attempts):
    """Builds the mark of a request of another host."""
    return RelayMark(host='h', attempts=attempts, has_token=True, recipient='i')


def make_call(mark):
    """Builds a request that may be repeated."""
    return OnlineCall(
        request=RelayedRequest(
            request_id='r1',
            key='secret',
            host_name='scans.example',
            path='/check/1',
            target='/check/1',
            method='POST',
            headers=[],
            left_s=5.0,
            received_events=None,
            first_attempt='',
            shared_parts=[],
            mark=mark,
        ),
        route=make_route('check', idempotent=True, max_attempts=2),
        account='gin',
        body=b'',
        arrived_at=0.0,
        deadline=5.0,
        service='model-a',
        mark=mark,
    )


UNSIGNED = EndpointResponse(
    request_id='r1',
    own=True,
    not_run=False,
    other_endpoint=False,
    signed=False,
    leaving=False,
    headers=[],
    load=None,
    idle_s=None,
    limit_per_s=0.0,
)


@pytest.mark.parametrize('status', [401, 404, 429, 503])
def test_request_that_ran_is_refused_by_another_host(helpers, status):
    """A key or a route that has gone since makes no attempt undone."""
    responder = _Responder()
    with pytest.raises(EndpointFailed):
        curio.run(
            helpers._relay_error,
            make_call(None),
            HOST,
            make_mark(attempts=1),
            _Exchange(status),
            UNSIGNED,
            responder,
        )
    assert not responder.status


@pytest.mark.parametrize('status', [401, 404, 429, 503])
def test_request_that_never_ran_is_refused_by_another_host(helpers, status):
    """Its caller gets that refusal."""
    responder = _Responder()
    is_reached = curio.run(
        helpers._relay_error,
        make_call(None),
        HOST,
        make_mark(attempts=0),
        _Exchange(status),
        UNSIGNED,
        responder,
    )
    assert is_reached
    assert responder.status == status


def refuse(helpers, error, attempts=0):
    """Lets another host refuse a request by an error of its own.

    :returns: whether the refusal was passed on, the call and its responder.
    """
    responder = _Responder()
    call = make_call(None)
    call.attempts = 1
    body = json.dumps(error_body(error(detail='unknown'))).encode()
    is_served = curio.run(
        helpers._relay_error,
        call,
        HOST,
        make_mark(attempts=attempts),
        _Exchange(error.http_status, body),
        UNSIGNED,
        responder,
    )
    return is_served, call, responder


@pytest.mark.parametrize('attempts', [0, 1])
@pytest.mark.parametrize('error', [NotFound, KeyUnknown])
def test_route_or_key_that_a_helper_does_not_know_yet_is_refused(
    helpers, error, attempts
):
    """Guards against 404 and 401 for a route or key that was just added.

    This host has admitted the request; a host with an older configuration
    has not run it, so another one may.
    """
    is_served, call, responder = refuse(helpers, error, attempts)
    assert not is_served
    assert not responder.status
    assert not call.attempts


@pytest.mark.parametrize('attempts', [0, 1])
def test_helper_that_stops_refuses_a_request_for_good(helpers, attempts):
    """Guards against 503 of a host that ends, while others could help."""
    is_served, call, responder = refuse(helpers, ShuttingDown, attempts)
    assert not is_served
    assert not responder.status
    assert not call.attempts


@pytest.mark.parametrize(
    ('error', 'config'),
    [
        (NotFound, make_config(make_route('other'), version=2)),
        (
            KeyUnknown,
            FleetConfig(
                version=2,
                routes=[make_route('check')],
                services=[],
                accounts=[
                    AccountRule(
                        name='gin', key_hashes=[], rate_per_s=0.0, burst=0.0
                    )
                ],
                limits=make_config().limits,
            ),
        ),
    ],
)
def test_removed_route_or_key_is_tried_at_another_helper(
    helpers, helper, error, config
):
    """The host that refused it has a newer configuration; it is right."""
    helper.newer = config
    is_served, _, responder = refuse(helpers, error)
    assert is_served
    assert responder.status == error.http_status


def test_failure_of_an_endpoint_is_replaced_after_an_attempt(helpers):
    """What an endpoint has answered is passed on."""
    responder = _Responder()
    is_reached = curio.run(
        helpers._relay_error,
        make_call(None),
        HOST,
        make_mark(attempts=1),
        _Exchange(404),
        replaced(UNSIGNED, signed=True),
        responder,
    )
    assert is_reached
    assert responder.status == 404


def test_request_that_ran_at_a_helper_is_answered_as_not_run(helpers, state):
    """A helper that is cut off after an attempt of its own says so."""
    state.reach.isolated = True
    call = make_call(make_mark(attempts=0))
    call.attempts = 1
    with pytest.raises(JacinthmountError) as raised:
        helpers.is_needed(call)
    assert raised.value.run_state != NotFound.run_state
    assert raised.value.http_status == 502
