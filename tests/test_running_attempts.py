"""Attempts under way, and moves from silent endpoints to free slots."""

import math
import random

import pytest
from jacinthmount.memory import ManualClock
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.protocols import RelayedRequest
from jacinthmount_node.relay.running_attempts import (
    SILENT_AFTER_S,
    RunningAttempts,
    has_key,
)
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.stream_registry import make_origin

from tests.relay_builders import (
    make_config,
    make_entry,
    make_relay_settings,
    make_route,
)

SERVICE = 'model-a'
DEADLINE_S = 105.0


class _Crashes:
    """Evidence of crashes, without any."""

    def may_repeat(self, service, suspect):
        """Returns whether a request may be sent to another endpoint."""
        return True


class _Exchange:
    """An exchange that can be aborted."""

    def __init__(self):
        self.aborted = False

    def abort(self):
        """Ends the exchange."""
        self.aborted = True


class Relay:
    """A host with two endpoints, and one request at the first of them."""

    def __init__(self, *, slots=1, **route):
        self.clock = ManualClock()
        self.clock.advance(100)
        self.state = RelayState(
            settings=make_relay_settings(),
            store=MemoryStore(),
            clock=self.clock,
            rng=random.Random(1),
        )
        for number in range(2):
            entry = make_entry(
                f'e{number}', address=f'e{number}:1', slots=slots
            )
            self.state.endpoints.put(entry, number + 1)
        self.placement = self.state.placement(SERVICE)
        self.placement.set_entries(self.state.endpoints.entries(), 100.0)
        self.first = self.placement.find('e0')
        self.other = self.placement.find('e1')
        self.attempts = RunningAttempts(state=self.state, crashes=_Crashes())
        self.exchange = _Exchange()
        self.call = make_call(**route)
        self.first.begin(100.0)
        self.first.on_sent(100.0)
        self.attempts.begin(self.call, self.first, self.exchange)

    def pass_silence(self):
        """Lets time pass without data, and moves what may move."""
        self.clock.advance(SILENT_AFTER_S + 0.1)
        self.attempts.note_silent()
        self.attempts.move_silent(SERVICE)
        return self.exchange.aborted


def make_call(key='', account='gin', **route):
    """Builds a request that may be sent to two endpoints."""
    fields = {'idempotent': True, 'max_attempts': 2, 'public': True}
    call = OnlineCall(
        request=RelayedRequest(
            method='POST',
            target='/a',
            host_name='scans.example',
            headers=[],
            request_id='r1',
            key=key,
            path='/a',
            left_s=None,
            received_events=None,
            first_attempt='',
            shared_parts=[],
            mark=None,
        ),
        route=make_route('check', **{**fields, **route}),
        account=account,
        body=b'',
        arrived_at=100.0,
        deadline=DEADLINE_S,
        service=SERVICE,
    )
    call.attempts = 1
    return call


def test_slot_is_free_while_it_is_held():
    """It counts as used before the attempt is aborted, until it is taken."""
    relay = Relay()
    assert relay.pass_silence()
    assert relay.other.online == 1
    assert relay.attempts.take(relay.call) is relay.other


def test_held_slot_is_never_freed():
    """It is free again when the request ends in another way."""
    relay = Relay()
    relay.pass_silence()
    relay.attempts.forget(relay.call)
    assert relay.other.online == 0
    assert not relay.attempts.holds(relay.call)


def fill(relay):
    """Uses the only slot of the other endpoint."""
    relay.other.begin(100.0)


def silence(relay):
    """Lets the other endpoint be silent as well."""
    relay.other.on_sent(100.0)


def eject(relay):
    """Lets the other endpoint fail."""
    relay.other.on_failure(100.5)


def try_other(relay):
    """Marks the other endpoint as one that failed this request."""
    relay.call.tried.add('e1')


@pytest.mark.parametrize('change', [fill, silence, eject, try_other])
def test_attempt_is_given_up_without_a_slot(change):
    """It stays at the silent endpoint and counts there."""
    relay = Relay()
    change(relay)
    assert not relay.pass_silence()
    assert not relay.attempts.holds(relay.call)


@pytest.mark.parametrize('route', [{'idempotent': False}, {'max_attempts': 1}])
def test_attempt_that_may_not_be_repeated_is_given_up(route):
    """A free slot elsewhere is of no use to it."""
    assert not Relay(**route).pass_silence()


def test_attempt_at_an_endpoint_that_has_deregistered_is_given_up():
    """Without another place: its process may still end its requests."""
    relay = Relay()
    fill(relay)
    relay.state.endpoints.remove('e0', 10, relay.state.now())
    assert not relay.pass_silence()


def test_caller_that_reads_slowly_moves_its_request():
    """The endpoint has sent what the caller has not read yet."""
    relay = Relay()
    relay.call.last_reply_at = math.inf
    assert not relay.pass_silence()
    assert relay.other.online == 0


def drain(relay):
    """Lets the registration of the other endpoint end."""
    relay.placement.set_entries([relay.first.entry], relay.state.now())


def evacuate(relay):
    """Lets the data centre of the other endpoint be evacuated."""
    relay.other.evacuated = True


@pytest.mark.parametrize('change', [drain, evacuate, eject])
def test_request_is_sent_to_a_held_slot_that_may_not_be_used(change):
    """The slot is freed, and the request looks for another one."""
    relay = Relay()
    relay.pass_silence()
    change(relay)
    assert relay.attempts.take(relay.call) is None
    assert relay.other.online == 0


def test_stream_whose_version_is_in_doubt_is_moved():
    """It could not go on elsewhere, so it would be cut."""
    relay = Relay()
    entry = relay.first.entry
    versions = relay.state.versions
    versions.note_registration(entry, 100.0)
    relay.call.begin(make_origin(relay.first, 100.0), 100.0)
    versions.note_registration(
        make_entry('e0', version='v9', started_at_ms=9), 100.1
    )
    assert not relay.pass_silence()


def test_slow_request_that_may_not_be_repeated_costs_connections():
    """Only silences that could move a request suspect the reach of a host."""
    relay = Relay(idempotent=False)
    relay.clock.advance(SILENT_AFTER_S + 0.1)
    assert not relay.attempts.note_silent()


def test_endpoint_stays_ejected_after_its_silence():
    """Its next data make it available at once."""
    relay = Relay()
    relay.pass_silence()
    relay.attempts.note_failed(relay.call, relay.first)
    relay.first.on_idle()
    now = relay.state.now()
    assert not relay.placement.is_available(relay.first, now)
    relay.first.on_contact(now)
    assert relay.placement.is_available(relay.first, now)


def test_endpoint_that_failed_is_available_at_its_next_data():
    """Only the ejection for a silence ends early."""
    relay = Relay()
    relay.attempts.note_failed(relay.call, relay.first)
    relay.first.on_contact(relay.state.now())
    assert not relay.placement.is_available(relay.first, relay.state.now())


@pytest.mark.parametrize(
    ('key', 'account', 'is_valid'),
    [
        ('secret', 'gin', True),
        # It came when the configuration had no accounts.
        ('secret', '', True),
        ('secret', 'mills', False),
        ('withdrawn', 'gin', False),
    ],
)
def test_key_of_another_account_runs_a_request(key, account, is_valid):
    """Guards against runs for an account that has lost the key to another."""
    relay = Relay()
    relay.state.apply_config(make_config(), 1)
    call = make_call(key=key, account=account, public=False)
    assert has_key(relay.state, call) is is_valid
