"""Statuses of engines that are no answer, or not that of a whole stream."""

import curio
import pytest
from jacinthmount.errors import EndpointFailed, EndpointLost
from jacinthmount.ports import BackendCall
from jacinthmount_node.callers.plain_service import HttpPlainService
from jacinthmount_node.engines.engine import HttpEngine
from jacinthmount_node.net.client_pool import ClientPool

from tests.early_engine import EarlyEngine, chunked, sized, unframed
from tests.early_site import EVENTS, EarlySite

NO_STATUSES = (b'000 X', b'099 X', b'600 X', b'999 X', b'20 X', b'2000 X')
INTERIM = (b'101 Switch', b'103 Hints')
# Successes, but not of a stream that is whole.
OTHER_SUCCESSES = (b'201 Made', b'202 Later', b'204 Nothing', b'206 Part')
FRAMINGS = (sized, chunked, unframed)
STREAM = b'data: {"choices": [{"text": "a"}]}\n\ndata: [DONE]\n\n'
PATHS = ('/scan/1', '/check/1', '/safe/1', '/unsafe/1')
# Attempts at an item after which it would have been listed.
ITEM_RUNS = 2


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    """A site whose engine a test plans."""
    found = EarlySite(tmp_path_factory.mktemp('site'))
    yield found
    found.stop()


@pytest.fixture(autouse=True)
def whole_requests(site):
    """The engine reads a request before it answers."""
    site.engine.reads_all = True


def plan(site, frame, status, body=EVENTS):
    """Lets the engine answer with a status."""
    then = 'close' if frame is unframed else 'drain'
    site.engine.plan = lambda name, fields: (frame(name, body, status), then)


@pytest.mark.parametrize('front', ['front-1', 'front-2'])
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('status', [*NO_STATUSES, *INTERIM])
def test_status_that_is_none_reaches_the_caller(site, status, path, front):
    """Guards against answers with a status that no caller understands.

    The second front reaches no engine, and sends its requests through the
    first one.
    """
    plan(site, sized, status)
    got = site.ask_until_sent(path, front=front)
    assert got.status == 502


@pytest.mark.parametrize('front', ['front-1', 'front-2'])
@pytest.mark.parametrize('path', ['/scan/1', '/check/1'])
@pytest.mark.parametrize('frame', FRAMINGS)
@pytest.mark.parametrize('status', OTHER_SUCCESSES)
def test_stream_of_another_success_counts_as_whole(
    site, status, frame, path, front
):
    """Guards against a part, or nothing, that ends as a complete stream."""
    plan(site, frame, status)
    got = site.ask_until_sent(path, front=front)
    assert got.status == 502


@pytest.mark.parametrize('frame', FRAMINGS)
@pytest.mark.parametrize('status', [b'201 Made', b'202 Later', b'206 Part'])
def test_success_of_a_request_is_changed(site, status, frame):
    """Where no stream is expected, any success is the engine's to give."""
    plan(site, frame, status)
    got = site.ask_until_sent('/unsafe/1')
    assert got.status == int(status[:3])
    assert got.body == EVENTS


@pytest.mark.parametrize('status', [*NO_STATUSES, *INTERIM, *OTHER_SUCCESSES])
def test_item_is_completed_by_another_status(site, status):
    """Guards against results with a part of a text, or none."""
    plan(site, sized, status)
    before = len(site.engine.asked)
    name = site.submit()
    site.wait_asked(before + ITEM_RUNS)
    assert not site.read_results(name)
    plan(site, sized, b'200 OK')
    site.wait_results(name)


def make_call(request_id, body):
    """Makes a request of the first interface."""
    return BackendCall(
        method='POST',
        target='/v1/completions',
        headers=[],
        body=body,
        request_id=request_id,
        account='gin',
        offset=0,
    )


async def read_answer(backend_type, port, *, streams, body=b'{}'):
    """Sends a request as the first interface does, and reads its answer."""
    backend = backend_type(pool=ClientPool())
    exchange = await backend.open(f'127.0.0.1:{port}', no_reuse=True)
    try:
        await exchange.send(make_call('r1', body))
        if streams:
            return [event.text async for event in exchange.iter_events()]
        return exchange.status, await exchange.read_body()
    finally:
        await exchange.close()


@pytest.fixture
def engine():
    """An engine of the first interface, which a test plans."""
    found = EarlyEngine(None, reads_all=True)
    yield found
    found.close()


@pytest.mark.parametrize('backend', [HttpEngine, HttpPlainService])
@pytest.mark.parametrize('status', [*NO_STATUSES, *INTERIM])
def test_status_that_is_none_is_answered_on_the_first_interface(
    engine, status, backend
):
    """Neither a model nor a plain service may answer with one."""
    engine.plan = lambda name, fields: (sized(name, b'{}', status), 'close')
    with pytest.raises((EndpointFailed, EndpointLost)):
        curio.run(
            lambda: read_answer(backend, engine.port, streams=False),
        )


@pytest.mark.parametrize('status', OTHER_SUCCESSES)
def test_stream_of_another_success_counts_on_the_first_interface(
    engine, status
):
    """Its end marker shows only that this part has ended."""
    engine.plan = lambda name, fields: (sized(name, STREAM, status), 'close')
    with pytest.raises(EndpointFailed):
        curio.run(lambda: read_answer(HttpEngine, engine.port, streams=True))


def test_whole_stream_is_refused_on_the_first_interface(engine):
    """The same with the status of a whole answer."""
    engine.plan = lambda name, fields: (sized(name, STREAM), 'close')
    texts = curio.run(
        lambda: read_answer(HttpEngine, engine.port, streams=True)
    )
    assert texts == ['a']
