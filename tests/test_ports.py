"""Tests of the port implementations: in memory and over HTTP."""

import contextlib
import functools
import json

import curio
import pytest
from jacinthmount.dispatch import Stage
from jacinthmount.errors import (
    EndpointFailed,
    EndpointLost,
    NotFound,
    OrderFenced,
    PeerUnavailable,
)
from jacinthmount.memory import (
    BackendReply,
    ManualClock,
    MemoryBackend,
    MemoryCacheEvents,
    MemoryEngineControl,
    MemoryHostList,
    MemoryLoadReports,
    MemoryWeightStore,
)
from jacinthmount.ports import (
    CACHE_STORED,
    BackendCall,
    CacheEvent,
    CachePage,
    EngineLoad,
    EngineOrder,
    EngineState,
    HostState,
    StreamEvent,
)
from jacinthmount.routing import prefix_key
from jacinthmount_node.callers.plain_service import HttpPlainService
from jacinthmount_node.engines.engine import (
    EngineCacheEvents,
    EngineLoadReports,
    HttpEngine,
)
from jacinthmount_node.engines.engine_control import HttpEngineControl
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.object_api import HttpHostList, HttpWeightStore
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_standin.addresses import PortReserve
from jacinthmount_standin.engine import answer_text
from jacinthmount_standin.fleet import Fleet

from tests.site import eventually

MEMORY_ADDRESS = '192.0.2.1:1'
TOKENS = 6
PROMPT = json.dumps([{'role': 'user', 'content': 'bale'}])
WHOLE = answer_text(PROMPT, TOKENS)
FIRST = answer_text(PROMPT, 2)
KINDS = ('memory', 'http')


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """A stand-in platform, an engine and a plain service."""
    created = Fleet(folder=tmp_path_factory.mktemp('ports'), data_centres={})
    created.start_platform()
    created.start_engine('engine-1', slots=8, token_s=0.001)
    created.start_plain()
    yield created
    created.stop()


@pytest.fixture
def unused():
    """An address on which nothing listens."""
    with contextlib.closing(PortReserve()) as reserve:
        yield f'127.0.0.1:{reserve.take(1)[0]}'


@pytest.fixture(params=KINDS)
def host_list(request, fleet):
    """A list of a live and a leaving host, in memory, then over HTTP."""
    states = [
        HostState(host='a', data_centre='east', leaving=False),
        HostState(host='b', data_centre='east', leaving=True),
    ]
    if request.param == 'memory':
        created = MemoryHostList()
        created.hosts = states
        return created
    fleet.list_states(states)
    return HttpHostList(addresses=[platform(fleet)], pool=ClientPool())


def platform(fleet):
    """Returns the address of the platform."""
    return f'127.0.0.1:{fleet.platform_port}'


def test_host_list_tells_who_leaves(host_list):
    """The list marks the hosts that are leaving."""
    states = curio.run(host_list.read_hosts)
    assert [(state.host, state.leaving) for state in states] == [
        ('a', False),
        ('b', True),
    ]


@pytest.fixture(params=KINDS)
def weight_store(request, fleet):
    """A store of one version of weights, in memory, then over HTTP."""
    if request.param == 'memory':
        created = MemoryWeightStore()
        created.sizes['big model', '1'] = 5000
        return created
    fleet.switch(fleet.platform_port, weights={'big model/1': 5000})
    return HttpWeightStore(addresses=[platform(fleet)], pool=ClientPool())


def test_weight_store_tells_sizes(weight_store):
    """The store returns sizes in bytes and an error for unknown versions."""
    assert curio.run(weight_store.read_size, 'big model', '1') == 5000
    with pytest.raises(NotFound):
        curio.run(weight_store.read_size, 'big model', '2')


@pytest.fixture(params=KINDS)
def reports(request, fleet):
    """Load reports and the address of an idle engine."""
    if request.param == 'memory':
        created = MemoryLoadReports()
        created.loads[MEMORY_ADDRESS] = EngineLoad(
            running=0,
            waiting=0,
            slots=8,
            age_s=0.1,
        )
        return created, MEMORY_ADDRESS
    port = fleet.engine_port('engine-1')
    return EngineLoadReports(pool=ClientPool()), f'127.0.0.1:{port}'


def test_load_reports(reports, unused):
    """A report has an age; an unreachable engine gives an error."""
    port, address = reports
    load = curio.run(port.read_load, address)
    assert (load.running, load.slots) == (0, 8)
    assert load.age_s >= 0
    with pytest.raises(PeerUnavailable):
        curio.run(port.read_load, unused)


@pytest.fixture(params=KINDS)
def cache_events(request, fleet):
    """Cache events and the address of an engine that answered one request."""
    prefix = prefix_key(PROMPT)
    if request.param == 'memory':
        created = MemoryCacheEvents()
        stored = CacheEvent(kind=CACHE_STORED, prefix=prefix, age_s=1.0)
        created.pages[MEMORY_ADDRESS] = CachePage(
            events=[stored],
            oldest=1,
            newest=1,
        )
        return created, MEMORY_ADDRESS
    fleet.start_engine('cached')
    address = f'127.0.0.1:{fleet.engine_port("cached")}'
    engine = Endpoints(
        backend=HttpEngine(pool=ClientPool()),
        address=address,
        fail=None,
    )
    curio.run(read_stream, engine, make_call(), [])
    return EngineCacheEvents(pool=ClientPool()), address


def test_cache_events_come_late_and_once(cache_events, unused):
    """The event of a request is returned late, and not after its number."""
    port, address = cache_events

    def read(after):
        return curio.run(port.read_events, address, after)

    eventually(lambda: read(0).newest == 1)
    page = read(0)
    assert [(event.kind, event.prefix) for event in page.events] == [
        (CACHE_STORED, prefix_key(PROMPT)),
    ]
    assert page.events[0].age_s > 0
    assert not read(1).events
    with pytest.raises(PeerUnavailable):
        curio.run(port.read_events, unused, 0)


@pytest.fixture(params=KINDS)
def control(request, fleet):
    """Engine control and the address of an engine without weights."""
    if request.param == 'memory':
        created = MemoryEngineControl()
        created.states[MEMORY_ADDRESS] = EngineState(
            weights='',
            version='',
            adapters=[],
            role='',
            loading=False,
            fencing=0,
        )
        return created, MEMORY_ADDRESS
    fleet.start_engine('ordered')
    port = fleet.engine_port('ordered')
    return HttpEngineControl(pool=ClientPool()), f'127.0.0.1:{port}'


def make_order(**changes):
    """Builds an order with fencing number 5."""
    fields = {
        'weights': 'w',
        'version': '1',
        'adapters': ['a'],
        'role': '',
        'fencing': 5,
    }
    return EngineOrder(**{**fields, **changes})


def test_orders_are_taken_and_fenced(control, unused):
    """An order takes effect; a lower fencing number is rejected."""
    port, address = control

    async def check():
        await port.send_order(address, make_order())
        state = await port.read_state(address)
        assert (state.weights, state.version) == ('w', '1')
        assert (state.adapters, state.fencing) == (['a'], 5)
        with pytest.raises(OrderFenced):
            await port.send_order(address, make_order(version='0', fencing=4))
        await port.send_order(address, make_order(role='decode', fencing=6))
        state = await port.read_state(address)
        assert (state.version, state.role) == ('1', 'decode')
        with pytest.raises(PeerUnavailable):
            await port.read_state(unused)
        with pytest.raises(PeerUnavailable):
            await port.send_order(unused, make_order())

    curio.run(check)


def make_call(**changes):
    """Builds a streamed request to an engine."""
    fields = {
        'method': 'POST',
        'target': '/v1/chat/completions',
        'headers': [],
        'body': json.dumps({
            'model': 'm',
            'stream': True,
            'max_tokens': TOKENS,
            'messages': json.loads(PROMPT),
        }).encode(),
        'request_id': 'req-1',
        'account': 'gin',
        'offset': 0,
    }
    return BackendCall(**{**fields, **changes})


def reply_of(call, *, body=b'', request_id='', lost=False):
    """Builds the answer of an in-memory engine."""
    text = WHOLE[call.offset :]
    if lost:
        text = FIRST
    return BackendReply(
        status=200,
        headers={'x-request-id': request_id or call.request_id},
        body=body,
        events=[
            StreamEvent(payload='', text=f'{word} ', finished=False)
            for word in text.split()
        ],
        lost=lost,
    )


class Endpoints:
    """An engine or a plain service that can be made to fail."""

    __slots__ = ('address', 'backend', 'fail')

    def __init__(self, *, backend, address, fail):
        """Creates a client and its address.

        :param fail: function that makes the next answer fail in a given way.
        """
        self.backend = backend
        self.address = address
        self.fail = fail


FAILURES = {'crossed': {'request_id': 'another'}, 'cut': {'lost': True}}


def make_memory_endpoint(reply):
    """Creates an in-memory endpoint that answers by a function."""
    backend = MemoryBackend()
    backend.replies[MEMORY_ADDRESS] = reply

    def fail(failure):
        changes = FAILURES[failure]
        backend.replies[MEMORY_ADDRESS] = functools.partial(reply, **changes)

    return Endpoints(backend=backend, address=MEMORY_ADDRESS, fail=fail)


@pytest.fixture(params=KINDS)
def engine(request, fleet):
    """An engine in memory, then one over HTTP."""
    if request.param == 'memory':
        return make_memory_endpoint(reply_of)
    port = fleet.engine_port('engine-1')

    def switch(failure):
        fleet.switch(
            port,
            **{
                'crossed': {'crossed': 1},
                'cut': {'cut_after_tokens': 2, 'cuts': 1},
            }[failure],
        )

    return Endpoints(
        backend=HttpEngine(pool=ClientPool()),
        address=f'127.0.0.1:{port}',
        fail=switch,
    )


async def read_stream(endpoints, call, texts):
    """Sends a call and appends the texts of its answer and the last stage."""
    exchange = await endpoints.backend.open(endpoints.address, no_reuse=False)
    try:
        await exchange.send(call)
        async for event in exchange.iter_events():
            texts.append(event.text)
    finally:
        texts.append(exchange.stage)
        await exchange.close()


def test_stream_is_whole_and_resumes(engine):
    """A stream has the whole text, a resumed stream the rest of it."""
    texts = []
    curio.run(read_stream, engine, make_call(), texts)
    assert texts.pop() is Stage.ANSWERED
    assert ''.join(texts) == WHOLE
    rest = []
    call = make_call(offset=len(FIRST))
    curio.run(read_stream, engine, call, rest)
    assert rest.pop() is Stage.ANSWERED
    assert FIRST + ''.join(rest) == WHOLE


def test_cut_stream_is_told(engine):
    """A cut stream gives the text before the cut and then an error."""
    engine.fail('cut')
    texts = []
    with pytest.raises(EndpointLost):
        curio.run(read_stream, engine, make_call(), texts)
    assert texts.pop() is Stage.ANSWERING
    assert ''.join(texts) == FIRST


def test_answer_to_another_request_is_refused(engine):
    """The body of an answer to another request is not read."""
    engine.fail('crossed')
    texts = []
    with pytest.raises(EndpointFailed):
        curio.run(read_stream, engine, make_call(), texts)
    assert texts == [Stage.ANSWERING]


def test_unreachable_engine_has_got_nothing(engine, unused):
    """Without a connection there is no exchange and no text."""
    engine.address = unused
    texts = []
    with pytest.raises(EndpointLost):
        curio.run(read_stream, engine, make_call(), texts)
    assert not texts


def echo_of(call, *, request_id='', lost=False):
    """Builds the answer of an in-memory plain service."""
    return BackendReply(
        status=200,
        headers={'x-request-id': request_id or call.request_id},
        body=json.dumps({'echo': call.body.decode()}).encode(),
        events=[],
        lost=lost,
    )


@pytest.fixture(params=KINDS)
def service(request, fleet):
    """A plain service in memory, then one over HTTP."""
    if request.param == 'memory':
        return make_memory_endpoint(echo_of)

    def switch(failure):
        name = {'crossed': 'crossed', 'cut': 'cut_before_answer'}[failure]
        fleet.switch(fleet.plain_port, **{name: 1})

    return Endpoints(
        backend=HttpPlainService(pool=ClientPool()),
        address=f'127.0.0.1:{fleet.plain_port}',
        fail=switch,
    )


async def call_service(endpoints, stages):
    """Calls a service and reads its whole answer."""
    call = make_call(target='/x', body=b'term')
    exchange = await endpoints.backend.open(endpoints.address, no_reuse=True)
    try:
        await exchange.send(call)
        return await exchange.read_body()
    finally:
        stages.append(exchange.stage)
        await exchange.close()


def test_service_answers_whole(service):
    """The whole body is read."""
    stages = []
    answer = curio.run(call_service, service, stages)
    assert json.loads(answer)['echo'] == 'term'
    assert stages == [Stage.ANSWERED]


def test_service_cut_after_sending(service):
    """After a cut before the answer the stage shows that the call was sent."""
    service.fail('cut')
    stages = []
    with pytest.raises(EndpointLost):
        curio.run(call_service, service, stages)
    assert stages == [Stage.SENT]


def test_service_with_another_answer(service):
    """An answer to another request is rejected."""
    service.fail('crossed')
    with pytest.raises(EndpointFailed):
        curio.run(call_service, service, [])


@pytest.mark.parametrize('clock', [ManualClock(), SystemClock()])
def test_clock_never_goes_back(clock):
    """A clock never goes back."""
    first = clock.now()
    if isinstance(clock, ManualClock):
        clock.advance(1)
    assert clock.now() >= first
