"""Requests of the first interface to sound engines that fall silent."""

import contextlib
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.site import Site, eventually

HOST = 'east-h1'
ENGINES = {'engine-1': 'east', 'engine-2': 'east'}
SLOTS = 8
TOKENS = 40
TOKEN_S = 0.02
REQUESTS = 12
# Long enough for an engine to be found silent, whenever it is polled.
SILENT_S = 4.0
# Requests are under way, and no answer is complete yet.
BETWEEN_EVENTS_S = 0.4


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    """One host with two engines."""
    made = Site(
        folder=tmp_path_factory.mktemp('silent'),
        data_centres={'east': 1},
        engines=ENGINES,
        accounts={'gin': (5000, 5000)},
        slots=SLOTS,
        token_s=TOKEN_S,
    )
    yield made
    made.fleet.stop()


@pytest.fixture(scope='module')
def key(site):
    """A key of the account."""
    return site.grant('gin')[1]


def declare_idempotent(site, *, idempotent):
    """Declares whether requests may be repeated, and waits until it holds."""
    site.declared.idempotent = idempotent
    version = site.apply()
    eventually(lambda: site.fleet.status(HOST)['revision'] >= version)
    eventually(lambda: set(ENGINES) <= list_available(site))


def list_available(site):
    """Returns the endpoints that the host would use."""
    rows = site.fleet.status(HOST)['endpoints']
    return {row['name'] for row in rows if row['available']}


@contextlib.contextmanager
def stopped(site, *engines):
    """Keeps engines silent."""
    for engine in engines:
        site.fleet.signal(engine, signal.SIGSTOP)
    try:
        yield
    finally:
        for engine in engines:
            site.fleet.signal(engine, signal.SIGCONT)


def start_chats(site, key, pool, *, stream, count=REQUESTS):
    """Starts requests with prompts of their own."""
    return [
        pool.submit(
            site.chat,
            HOST,
            key,
            f'{time.monotonic()} {number}',
            stream=stream,
            max_tokens=TOKENS,
        )
        for number in range(count)
    ]


def find_incomplete(answers):
    """Lists the statuses and bodies of answers that are not complete."""
    return [
        (answer.status, answer.body[-200:])
        for answer in answers
        if answer.status != 200
        or not answer.body.rstrip().endswith((b'[DONE]', b'}'))
    ]


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('begun_s', [0, BETWEEN_EVENTS_S])
def test_request_ends_although_no_engine_is_better(
    site, key, idempotent, stream, begun_s
):
    """A silence of all engines ends no request, and none runs twice."""
    declare_idempotent(site, idempotent=idempotent)
    before = site.engine_runs(*ENGINES)
    with ThreadPoolExecutor(REQUESTS) as pool:
        futs = []
        if begun_s:
            futs = start_chats(site, key, pool, stream=stream)
            time.sleep(begun_s)
        with stopped(site, *ENGINES):
            futs = futs or start_chats(site, key, pool, stream=stream)
            time.sleep(SILENT_S)
        answers = [fut.result() for fut in futs]
    assert not find_incomplete(answers)
    runs = site.engine_runs(*ENGINES) - before
    assert len(runs) == REQUESTS
    assert max(runs.values()) == 1


def test_request_that_may_run_once_ends_beside_a_better_engine(site, key):
    """It stays at the silent engine, since no other may run it."""
    declare_idempotent(site, idempotent=False)
    before = site.engine_runs(*ENGINES)
    with ThreadPoolExecutor(REQUESTS) as pool:
        with stopped(site, 'engine-1'):
            futs = start_chats(site, key, pool, stream=True)
            time.sleep(SILENT_S)
        answers = [fut.result() for fut in futs]
    assert not find_incomplete(answers)
    runs = site.engine_runs(*ENGINES) - before
    assert len(runs) == REQUESTS
    assert max(runs.values()) == 1


def test_request_stays_at_an_engine_that_is_mute(site, key):
    """It moves to one with a free slot long before the silence ends."""
    declare_idempotent(site, idempotent=True)
    with ThreadPoolExecutor(SLOTS) as pool, stopped(site, 'engine-1'):
        futs = start_chats(site, key, pool, stream=True, count=SLOTS)
        answers = [fut.result() for fut in futs]
    assert not find_incomplete(answers)


def test_silent_engine_is_missing_afterwards(site, key):
    """It is used again at once, and is not taken for crashed."""
    declare_idempotent(site, idempotent=True)
    with ThreadPoolExecutor(REQUESTS) as pool:
        with stopped(site, *ENGINES):
            futs = start_chats(site, key, pool, stream=True)
            time.sleep(SILENT_S)
        eventually(lambda: set(ENGINES) <= list_available(site), 2.0)
        answers = [fut.result() for fut in futs]
    assert not find_incomplete(answers)
    log = (site.folder / f'{HOST}.log').read_text()
    assert 'endpoint_crashed' not in log
    assert 'suspects_blocked' not in log


def test_request_moves_although_its_key_was_withdrawn(site):
    """It stays where it was admitted, and runs nowhere else."""
    declare_idempotent(site, idempotent=True)
    key_id, key = site.grant('gin')
    before = site.engine_runs(*ENGINES)
    with ThreadPoolExecutor(SLOTS) as pool:
        with stopped(site, 'engine-1'):
            futs = start_chats(site, key, pool, stream=True, count=SLOTS)
            time.sleep(BETWEEN_EVENTS_S)
            site.withdraw(key_id, HOST)
            time.sleep(SILENT_S)
        answers = [fut.result() for fut in futs]
    assert not find_incomplete(answers)
    runs = site.engine_runs(*ENGINES) - before
    assert len(runs) == SLOTS
    assert max(runs.values()) == 1
