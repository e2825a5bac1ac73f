"""Requests of the first interface in flight beside changes, on real hosts."""

import json
import signal
import threading
import time

import pytest

from tests.site import Site, eventually

HOST = 'east-h1'
ENGINES = {'engine-1': 'east', 'engine-2': 'east'}
SLOTS = 2
TOKENS = 20
TOKEN_S = 0.02
CHANGE_S = 0.5
RATE = (900, 900)
# The statuses that an answer of the system itself may have.
CODED = frozenset((401, 404, 429, 502, 503, 504))
KINDS = ('stream', 'chat', 'brief', 'glossary', 'read')


@pytest.fixture
def site(tmp_path):
    """One host, and two engines with two slots."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 1},
        engines=ENGINES,
        accounts={'gin': RATE},
        slots=SLOTS,
        token_s=TOKEN_S,
    )
    yield made
    made.fleet.stop()


def remove_engine(site, key_id):
    """Takes away the declaration of an engine."""
    site.declared.engines.pop('engine-1')
    site.apply()


def remove_engines(site, key_id):
    """Takes away the declarations of all engines."""
    site.declared.engines.clear()
    site.apply()


def remove_model(site, key_id):
    """Takes away the model and its engines."""
    site.declared.engines.clear()
    site.declared.left_out.add('service provenance-llm')
    site.apply()


def remove_route(site, key_id):
    """Takes away the route of a plain service."""
    site.declared.left_out.add('route brief')
    site.apply()


def lower_rate(site, key_id):
    """Lowers the rate of the account."""
    site.declared.accounts['gin'] = (2, 2)
    site.apply()


def lower_deadline(site, key_id):
    """Lowers the deadline of requests to the model."""
    site.declared.deadline_s = 1
    site.apply()


def forbid_repeats(site, key_id):
    """Declares that requests to the model may not be repeated."""
    site.declared.idempotent = False
    site.apply()


def withdraw_key(site, key_id):
    """Withdraws the key of the callers."""
    site.withdraw(key_id, HOST)


def reload(site, key_id):
    """Lets the host read its settings again."""
    site.fleet.signal(HOST, signal.SIGHUP)


CHANGES = {
    'engine removed': remove_engine,
    'all engines removed': remove_engines,
    'model removed': remove_model,
    'route removed': remove_route,
    'rate lower': lower_rate,
    'deadline lower': lower_deadline,
    'repeats forbidden': forbid_repeats,
    'key withdrawn': withdraw_key,
    'reload': reload,
}


class Callers:
    """Callers that send one request after another until they are stopped."""

    def __init__(self, *, site, key):
        """Starts two callers of each kind."""
        self._site = site
        self._key = key
        self._going = True
        self.answers = []
        self._threads = [
            threading.Thread(target=self._call, args=(kind, number))
            for kind in KINDS
            for number in range(2)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Waits for the requests in flight.

        :returns: the kind, the name and the answer of each.
        """
        self._going = False
        for thread in self._threads:
            thread.join()
        return self.answers

    def _call(self, kind, number):
        while self._going:
            name = f'{kind}-{number}-{time.monotonic()}'
            self.answers.append((kind, name, self._ask(kind, name)))

    def _ask(self, kind, name):
        if kind in {'stream', 'chat'}:
            return self._site.chat(
                HOST,
                self._key,
                name,
                stream=kind == 'stream',
                max_tokens=TOKENS,
            )
        if kind == 'read':
            return self._site.get(HOST, '/v1/batches', self._key)
        path = f'/services/{kind}/x'
        return self._site.call(HOST, 'POST', path, name.encode(), self._key)


def check(site, answers):
    """Checks that each request has a complete or a true coded answer."""
    ran = site.stats(site.fleet.plain_port)['counts']
    assert {kind for kind, _, _ in answers} == set(KINDS)
    for kind, name, answer in answers:
        shown = (kind, answer.status, answer.body[-200:])
        if answer.status == 200:
            end = b'[DONE]' if kind == 'stream' else b'}'
            assert answer.body.rstrip().endswith(end), shown
            continue
        assert answer.status in CODED, shown
        assert json.loads(answer.body)['error']['code'], shown
        if answer.error['run_state'] == 'not_run':
            assert name not in ran, shown


@pytest.mark.parametrize('change', CHANGES)
def test_call_has_no_answer_beside_a_change(site, change):
    """Each request that was sent whole gets an answer that is true."""
    key_id, key = site.grant('gin')
    eventually(lambda: site.chat(HOST, key, 'warm').status == 200)
    callers = Callers(site=site, key=key)
    time.sleep(CHANGE_S)
    CHANGES[change](site, key_id)
    time.sleep(4 * CHANGE_S)
    check(site, callers.stop())
    assert site.fleet.alive(HOST)


def test_call_has_no_answer_beside_a_planned_stop(site):
    """The same for requests that were sent before the host stops."""
    _, key = site.grant('gin')
    eventually(lambda: site.chat(HOST, key, 'warm').status == 200)
    callers = Callers(site=site, key=key)
    time.sleep(CHANGE_S)
    stopped_at = time.monotonic()
    stopping = threading.Thread(target=site.fleet.terminate, args=(HOST,))
    stopping.start()
    answers = callers.stop()
    stopping.join()
    check(
        site,
        [row for row in answers if row[2].asked_at < stopped_at],
    )
