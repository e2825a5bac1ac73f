"""Answers of engines that begin before the request was read."""

import time

import curio
import pytest
from jacinthmount.errors import EndpointFailed, EndpointLost
from jacinthmount_node.callers.plain_service import HttpPlainService
from jacinthmount_node.engines.engine import HttpEngine

from tests.early_engine import EarlyEngine, chunked, sized, unframed
from tests.early_site import EVENTS, EarlySite
from tests.test_odd_statuses import PATHS, read_answer

LARGE = b'x' * 3_000_000
# An item is written in base64 and has to fit the limit of a body.
LARGE_ITEM = b'x' * 2_000_000
SMALL = b'x' * 10
SMALL_BUFFER = 4096
FRONTS = ('front-1', 'front-2')
ENDS = ('reset', 'close', 'half')
# A caller need not wait until its deadline for an answer that is there.
AT_ONCE_S = 1.5
REFUSAL = b'413 Too large'
FIRST, SECOND = b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n'
TEXT = 'a\nb'
ITEM_RUNS = 2


@pytest.fixture(
    scope='module', params=[0, SMALL_BUFFER], ids=['buffered', 'unbuffered']
)
def site(request, tmp_path_factory):
    """A site whose engine a test plans, and takes much or little unread."""
    found = EarlySite(
        tmp_path_factory.mktemp('site'), buffer_bytes=request.param
    )
    yield found
    found.stop()


def plan(site, frame, then, *, status=b'200 OK', delay_s=0.0, body=EVENTS):
    """Lets the engine answer once it has a head."""
    site.engine.delay_s = delay_s
    site.engine.plan = lambda name, fields: (frame(name, body, status), then)


@pytest.mark.parametrize('front', FRONTS)
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
@pytest.mark.parametrize('then', ENDS)
def test_part_of_an_answer_counts_as_whole(site, then, delay_s, path, front):
    """An answer without a length ends before the engine has the request.

    Guards against a part that a caller takes for the complete answer.
    """
    plan(site, unframed, then, delay_s=delay_s)
    got = site.ask_until_sent(path, LARGE, front)
    assert not got.is_success
    assert EVENTS.startswith(got.body) or got.status == 502


@pytest.mark.parametrize('path', PATHS)
def test_reset_after_a_small_request_counts_as_the_end(site, path):
    """The engine had the request, and reset its answer."""
    plan(site, unframed, 'reset')
    assert not site.ask_until_sent(path, SMALL).is_success


@pytest.mark.parametrize('front', FRONTS)
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('then', ['reset', 'close', 'hold', 'drain'])
@pytest.mark.parametrize('frame', [sized, chunked])
def test_early_refusal_is_lost(site, frame, then, path, front):
    """Guards against 502, or a wait until the deadline, in its place."""
    plan(site, frame, then, status=REFUSAL, body=b'{}')
    asked_at = time.monotonic()
    got = site.ask_until_sent(path, LARGE, front)
    took_s = time.monotonic() - asked_at
    assert (got.status, got.body, got.is_whole) == (413, b'{}', True)
    assert took_s < AT_ONCE_S


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('then', ['reset', 'close'])
@pytest.mark.parametrize('frame', [sized, chunked])
def test_request_goes_over_a_connection_that_ends(site, frame, then, path):
    """Guards against a lost request after an early answer.

    The engine ends the connection soon, as it has not read the first one.
    """
    plan(site, frame, then, delay_s=0.02)
    site.ask_until_sent(path, LARGE)
    for _ in range(4):
        before = len(site.engine.asked)
        got = site.ask(path, LARGE)
        assert (got.status, got.body) == (200, EVENTS)
        assert len(site.engine.asked) == before + 1


@pytest.mark.parametrize('then', ENDS)
def test_item_is_completed_by_a_part(site, then):
    """It goes on after that part until an answer is whole."""
    events = {None: FIRST}
    site.engine.plan = lambda name, fields: (
        unframed(name, events.get(fields.get(b'last-event-id'), b'')),
        then,
    )
    before = len(site.engine.asked)
    name = site.submit(LARGE_ITEM)
    site.wait_asked(before + ITEM_RUNS)
    assert not site.read_results(name)
    site.engine.plan = lambda name, fields: (sized(name, SECOND), 'drain')
    assert site.wait_results(name) == TEXT


@pytest.fixture(params=[0, SMALL_BUFFER], ids=['buffered', 'unbuffered'])
def engine(request):
    """An engine of the first interface, which a test plans."""
    found = EarlyEngine(None, buffer_bytes=request.param)
    yield found
    found.close()


@pytest.mark.parametrize('backend', [HttpEngine, HttpPlainService])
@pytest.mark.parametrize('then', ENDS)
def test_part_of_an_answer_counts_on_the_first_interface(engine, then, backend):
    """There, no answer without a length counts."""
    engine.plan = lambda name, fields: (unframed(name, b'{}'), then)
    with pytest.raises((EndpointFailed, EndpointLost)):
        curio.run(
            lambda: read_answer(backend, engine.port, streams=False, body=LARGE)
        )


@pytest.mark.parametrize('backend', [HttpEngine, HttpPlainService])
@pytest.mark.parametrize('then', ['reset', 'close', 'hold', 'drain'])
@pytest.mark.parametrize('frame', [sized, chunked])
def test_early_refusal_is_lost_on_the_first_interface(
    engine, frame, then, backend
):
    """A model or a plain service may refuse what it has not read."""
    engine.plan = lambda name, fields: (frame(name, b'{}', REFUSAL), then)
    asked_at = time.monotonic()
    got = curio.run(
        lambda: read_answer(backend, engine.port, streams=False, body=LARGE)
    )
    assert got == (413, b'{}')
    assert time.monotonic() - asked_at < AT_ONCE_S
