"""Crowds of clients that hold bodies at each interface that reads them.

Run one at a time, apart from other load.
"""

import json

import pytest
from jacinthmount_platform_standin.site import HOST_NAME, KEY, PlatformSite
from jacinthmount_standin.fleet import ADMIN_TOKEN

from tests.hostile_clients import CASES, CLIENTS, Crowd, Target
from tests.process_watch import WAIT_S, Served, outlives
from tests.site import MODEL, Site, eventually
from tests.test_platform_site import make_items, submit

# Memory that a process has, by its settings.
FRONT_MEMORY_MB = 64
HOST_MEMORY_MB = 80
LIMIT_BYTES = 2_097_152
BOUNDARY = b'hostile'
FORM_HEAD = (
    b'--%b\r\ncontent-disposition: form-data; name="file"; '
    b'filename="lot.jsonl"\r\n\r\n' % BOUNDARY
)
FORM_END = b'\r\n--%b--\r\n' % BOUNDARY
LINE_BYTES = 200_000
LONG_IDS = 300
ITEM_CHARS = 900_000
# A crowd of those that hold less each, and one of those that hold more.
HEADS_CROWD = 200
FEW = 3
CHAT = {
    'model': MODEL,
    'max_tokens': 8,
    'messages': [{'role': 'user', 'content': 'bale 42'}],
}


@pytest.fixture(scope='module')
def platform_site(tmp_path_factory):
    """A front, a runner and two engines of the platform."""
    made = PlatformSite(
        folder=tmp_path_factory.mktemp('platform'),
        fronts=1,
        runners=1,
        memory_mb=FRONT_MEMORY_MB,
    )
    limits = {**made.config['limits'], 'max_body_bytes': LIMIT_BYTES}
    made.config = {**made.config, 'limits': limits}
    try:
        made.start()
        yield made
    finally:
        made.stop()


@pytest.fixture(scope='module')
def fleet_site(tmp_path_factory):
    """A host of the first interface, with one engine."""
    made = Site(
        folder=tmp_path_factory.mktemp('fleet'),
        data_centres={'east': 1},
        engines={'engine-1': 'east'},
        accounts={'gin': (900, 900)},
        memory_mb=HOST_MEMORY_MB,
    )
    yield made
    made.fleet.stop()


@pytest.fixture(scope='module')
def fleet_key(fleet_site):
    """A key of the account gin."""
    return fleet_site.grant('gin')[1]


@pytest.fixture
def front(platform_site):
    """The front, started anew."""
    platform_site.kill('front-1')
    platform_site.start_host('front-1')
    platform_site.wait_ready('front-1')
    eventually(lambda: ask_platform(platform_site)[0] == 200, WAIT_S)
    return platform_site


@pytest.fixture
def host(fleet_site, fleet_key):
    """The host of the first interface, started anew."""
    fleet_site.fleet.kill('east-h1')
    fleet_site.fleet.start_host('east-h1')
    fleet_site.fleet.wait_ready('east-h1')
    eventually(lambda: ask_fleet(fleet_site, fleet_key) == 200, WAIT_S)
    return fleet_site


def ask_platform(site):
    """Sends one ordinary request to the front."""
    return site.call(
        'front-1',
        'POST',
        '/check/1',
        b'bale 42',
        attempt_id='ordinary',
        token_usage='450,5',
        deadline_remaining='5000',
    )


def ask_fleet(site, key):
    """Sends one ordinary request to the host, and returns its status."""
    return site.chat('east-h1', key, 'bale 42').status


def make_head(path, *rows):
    """Builds a head without framing."""
    return b''.join([
        b'POST %b HTTP/1.1\r\n' % path.encode(),
        *(b'%b\r\n' % row.encode() for row in rows),
    ])


def make_json(start, size):
    """Builds a JSON object of a size in bytes."""
    packed = json.dumps({**start, 'pad': ''}).encode()
    return packed[:-2] + b' ' * (size - len(packed)) + packed[-2:]


def make_form(size):
    """Builds an upload of valid lines, of about a size in bytes."""
    lines = []
    left = size - len(FORM_HEAD) - len(FORM_END)
    while left > 0:
        line = {
            'custom_id': f'item-{len(lines)}',
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': CHAT,
        }
        packed = b'%b\n' % make_json(line, min(left, LINE_BYTES) - 1)
        lines.append(packed)
        left -= len(packed)
    return FORM_HEAD + b''.join(lines) + FORM_END


def make_batch(size):
    """Builds a submission of a size in bytes."""
    return make_json({'items': make_items(1)}, size)


def make_small_objects(size):
    """Builds a JSON object of a size in bytes that holds many others."""
    return b'{"items": [%b{}]}' % (b'{},' * ((size - 20) // 3))


def platform_target(site, path, make_body):
    """Returns a route of the front as a target."""
    head = make_head(
        path,
        f'host: {HOST_NAME}',
        f'authorization: Bearer {KEY}',
        'attempt-id: hostile',
        'token-usage: 450,5',
        'deadline-remaining: 8000',
    )
    return Target(
        port=site.fronts['front-1'],
        head=head,
        limit_bytes=LIMIT_BYTES,
        make_body=make_body,
    )


def fleet_target(port, path, key, make_body, *rows):
    """Returns an interface of the host as a target."""
    head = make_head(
        path, 'host: jacinthmount', f'authorization: Bearer {key}', *rows
    )
    return Target(
        port=port, head=head, limit_bytes=LIMIT_BYTES, make_body=make_body
    )


def serve_front(site):
    """Returns the front, of which the checks hold."""
    process = site.processes['front-1']
    return Served(
        pid=process.pid,
        port=site.fronts['front-1'],
        memory_mb=FRONT_MEMORY_MB,
        is_alive=lambda: process.poll() is None,
        ask=lambda: ask_platform(site)[0],
    )


def serve_host(site, key, port):
    """Returns the host of the first interface, of which the checks hold."""
    return Served(
        pid=site.fleet.process_id('east-h1'),
        port=port,
        memory_mb=HOST_MEMORY_MB,
        is_alive=lambda: site.fleet.alive('east-h1'),
        ask=lambda: ask_fleet(site, key),
    )


def check_front(front, case, target, clients=CLIENTS):
    """Lets a crowd call the front, and checks what must hold."""
    with outlives(serve_front(front), clients):
        Crowd(target=target, case=case).run(clients)


def check_host(host, key, case, target, clients=CLIENTS):
    """Lets a crowd call the first interface, and checks what must hold."""
    with outlives(serve_host(host, key, target.port), clients):
        Crowd(target=target, case=case).run(clients)


@pytest.mark.parametrize('case', CASES)
@pytest.mark.parametrize(
    ('path', 'make_body'),
    [
        ('/check/1', lambda size: b'x' * size),
        ('/audit/1', make_batch),
    ],
    ids=['requests', 'batches'],
)
def test_front_outlives_crowd(front, path, make_body, case):
    """A crowd holds bodies at a front of the platform."""
    check_front(front, case, platform_target(front, path, make_body))


@pytest.mark.parametrize('case', CASES)
@pytest.mark.parametrize(
    ('path', 'make_body', 'rows'),
    [
        ('/v1/chat/completions', lambda size: make_json(CHAT, size), ()),
        ('/services/brief/send', lambda size: b'x' * size, ()),
        (
            '/v1/files',
            make_form,
            ('content-type: multipart/form-data; boundary=hostile',),
        ),
        ('/v1/batches', lambda size: make_json({}, size), ()),
    ],
    ids=['chat', 'services', 'files', 'batches'],
)
def test_host_outlives_crowd(host, fleet_key, path, make_body, rows, case):
    """A crowd holds bodies at a host of the first interface."""
    port = host.fleet.hosts['east-h1'].front
    target = fleet_target(port, path, fleet_key, make_body, *rows)
    check_host(host, fleet_key, case, target)


@pytest.mark.parametrize('case', CASES)
def test_host_outlives_crowd_of_operators(host, fleet_key, case):
    """A crowd holds bodies at the listener for operators."""
    target = fleet_target(
        host.fleet.hosts['east-h1'].admin,
        '/admin/withdraw',
        ADMIN_TOKEN,
        lambda size: make_json({'key_id': 'none'}, size),
    )
    check_host(host, fleet_key, case, target)


def test_front_outlives_heads_of_many_rows(front):
    """A crowd sends heads of many short rows, and no body."""
    target = platform_target(front, '/check/1', None)
    check_front(front, 'many header rows', target, HEADS_CROWD)


def test_front_outlives_pipelined_bytes(front):
    """A crowd sends on while its requests wait for engines."""
    for port in front.engines.values():
        front.switch(port, silent=True)
    target = platform_target(front, '/check/1', lambda size: b'x' * size)
    with outlives(serve_front(front), CLIENTS):
        try:
            Crowd(target=target, case='pipelined').run()
        finally:
            for port in front.engines.values():
                front.switch(port, silent=False)


def test_front_outlives_unread_answers(front):
    """A crowd asks for a large item and doesn't read it."""
    text = 'A' * ITEM_CHARS
    items = [{**one, 'body': text} for one in make_items(1)]
    assert submit(front, items, 'unread') == 202
    head = make_head(
        '/api/items/unread?id=item-0',
        f'host: {HOST_NAME}',
        f'authorization: Bearer {KEY}',
    ).replace(b'POST', b'GET')
    target = Target(
        port=front.fronts['front-1'], head=head, limit_bytes=0, make_body=None
    )
    check_front(front, 'unread answers', target)


def test_front_outlives_small_objects(front):
    """A few submissions have many small objects."""
    check_front(
        front,
        'complete',
        platform_target(front, '/audit/1', make_small_objects),
        FEW,
    )


@pytest.mark.parametrize('path', ['/v1/chat/completions', '/v1/batches'])
def test_host_outlives_small_objects(host, fleet_key, path):
    """A few requests of the first interface have many small objects."""
    port = host.fleet.hosts['east-h1'].front
    target = fleet_target(port, path, fleet_key, make_small_objects)
    check_host(host, fleet_key, 'complete', target, FEW)


def test_host_outlives_long_ids(host, fleet_key):
    """One upload has lines with ids of nearly their whole length."""
    lines = b'\n'.join(
        json.dumps({
            'custom_id': f'{number}-'.ljust(LINE_BYTES, 'i'),
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': CHAT,
        }).encode()
        for number in range(LONG_IDS)
    )
    port = host.fleet.hosts['east-h1'].front
    with outlives(serve_host(host, fleet_key, port), 1):
        answer = host.call(
            'east-h1',
            'POST',
            '/v1/files',
            b'%b%b%b' % (FORM_HEAD, lines, FORM_END),
            fleet_key,
            content_type='multipart/form-data; boundary=hostile',
        )
        assert answer.status == 200


def test_lone_body_is_served_in_calm(front):
    """One request at the limit is served."""
    status, _ = front.call(
        'front-1',
        'POST',
        '/check/1',
        b'x' * LIMIT_BYTES,
        attempt_id='large',
        token_usage='450,5',
        deadline_remaining='8000',
    )
    assert status == 200


def test_lone_submission_is_accepted_in_calm(front):
    """One submission of just the limit is accepted, half of it one item."""
    text = 'A' * (LIMIT_BYTES // 2)
    items = [{**one, 'body': text} for one in make_items(1)]
    status, _ = front.call(
        'front-1',
        'POST',
        '/audit/x',
        make_json({'items': items}, LIMIT_BYTES),
        attempt_id='b1',
    )
    assert status == 202


def test_lone_body_of_first_interface_is_served_in_calm(host, fleet_key):
    """One request at the limit is served."""
    packed = make_json(CHAT, LIMIT_BYTES)
    answer = host.call(
        'east-h1', 'POST', '/v1/chat/completions', packed, fleet_key
    )
    assert answer.status == 200
