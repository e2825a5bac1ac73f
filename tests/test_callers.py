"""Callers' routes on a running fleet."""

import contextlib
import json
import random
import socket

import openai
import pytest
from jacinthmount_standin.engine import answer_text

from tests.site import MODEL, Site, eventually, make_lines

ACCOUNTS = {'gin': (500, 500), 'audit': (500, 500)}


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    """Two hosts in two data centres with an engine each."""
    made = Site(
        folder=tmp_path_factory.mktemp('callers'),
        data_centres={'east': 1, 'west': 1},
        engines={'engine-1': 'east', 'engine-2': 'west'},
        accounts=ACCOUNTS,
    )
    yield made
    made.fleet.stop()


@pytest.fixture(scope='module')
def key(site):
    """A key of the account gin."""
    return site.grant('gin')[1]


@pytest.fixture(scope='module')
def other_key(site):
    """A key of the account audit."""
    return site.grant('audit')[1]


@pytest.fixture
def client(site, key):
    """The official OpenAI client."""
    port = site.fleet.hosts['east-h1'].front
    return openai.OpenAI(
        api_key=key,
        base_url=f'http://127.0.0.1:{port}/v1',
        max_retries=2,
    )


def messages(prompt):
    """Builds the messages of a chat."""
    return [{'role': 'user', 'content': prompt}]


def test_official_client_chats(client):
    """An answer that is not streamed equals the engine's answer."""
    answer = client.chat.completions.create(
        model=MODEL,
        messages=messages('hello'),
        max_tokens=5,
    )
    expected = answer_text(json.dumps(messages('hello')), 5)
    assert answer.choices[0].message.content == expected


def test_official_client_streams(client):
    """A stream has the same answer in pieces."""
    stream = client.chat.completions.create(
        model=MODEL,
        messages=messages('hello'),
        max_tokens=7,
        stream=True,
    )
    pieces = [chunk.choices[0].delta.content for chunk in stream]
    assert len(pieces) == 7
    assert ''.join(pieces) == answer_text(json.dumps(messages('hello')), 7)


def test_official_client_lists_models(client):
    """Declared models are listed."""
    assert MODEL in {model.id for model in client.models.list()}


def test_official_client_runs_a_batch(client, site, key):
    """The client uploads a file, creates a batch and downloads the output."""
    uploaded = client.files.create(
        file=('lot.jsonl', make_lines(30)),
        purpose='batch',
    )
    assert client.files.retrieve(uploaded.id).filename == 'lot.jsonl'
    assert client.files.content(uploaded.id).content == make_lines(30)
    batch = client.batches.create(
        input_file_id=uploaded.id,
        endpoint='/v1/chat/completions',
        completion_window='24h',
        metadata={'lot': '7'},
    )
    site.wait_batch('west-h1', key, batch.id)
    batch = client.batches.retrieve(batch.id)
    assert batch.status == 'completed'
    assert batch.metadata == {'lot': '7'}
    assert batch.request_counts.completed == 30
    output = client.files.content(batch.output_file_id).text.splitlines()
    assert {json.loads(line)['custom_id'] for line in output} == {
        f'item-{number}' for number in range(30)
    }
    assert batch.id in {one.id for one in client.batches.list()}


def test_official_client_cancels_a_batch(client):
    """A cancelled batch has the status "cancelled"."""
    uploaded = client.files.create(
        file=make_lines(400, max_tokens=50),
        purpose='batch',
    )
    batch = client.batches.create(
        input_file_id=uploaded.id,
        endpoint='/v1/chat/completions',
        completion_window='24h',
    )
    assert client.batches.cancel(batch.id).status == 'cancelled'


def test_official_client_sees_coded_errors(client):
    """The client parses error codes and run states."""
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model='none', messages=messages('x'))
    assert caught.value.code == '1201'
    assert caught.value.body['run_state'] == 'not_run'


def test_unknown_items_fail_and_the_rest_completes(site, key):
    """An item for an unknown model does not block its batch."""
    bad = make_lines(1, model='no-such-model').replace(b'item-0', b'bad')
    batch = site.caller('east-h1', key).submit(
        make_lines(5) + bad,
        '1h',
        '',
    )
    ended = site.wait_batch('east-h1', key, batch['id'])
    assert ended['request_counts'] == {
        'total': 6,
        'completed': 5,
        'failed': 1,
    }
    failed = [
        row for row in site.results('west-h1', key, batch['id']) if row['error']
    ]
    assert [row['custom_id'] for row in failed] == ['bad']
    assert failed[0]['error']['code'] == '1201'


def test_other_account_sees_nothing(site, key, other_key):
    """Files, batches and results of an account are visible only to it."""
    batch = site.caller('east-h1', key).submit(make_lines(2), '1h', '')
    site.wait_batch('east-h1', key, batch['id'])
    for path in (
        f'/v1/batches/{batch["id"]}',
        f'/v1/files/{batch["input_file_id"]}',
        f'/v1/files/{batch["input_file_id"]}/content',
        f'/v1/files/{batch["output_file_id"]}/content',
    ):
        assert site.get('west-h1', path, key).status == 200
        assert site.get('west-h1', path, other_key).status == 404
    answer = site.call(
        'west-h1',
        'POST',
        f'/v1/batches/{batch["id"]}/cancel',
        None,
        other_key,
    )
    assert answer.status == 404
    listed = json.loads(site.get('west-h1', '/v1/batches', other_key).body)
    assert batch['id'] not in {one['id'] for one in listed['data']}


def test_open_route_needs_no_key_and_others_do(site):
    """Only open routes work without a key."""
    assert (
        site.call(
            'east-h1',
            'POST',
            '/services/notices/x',
            b'hi',
            '',
        ).status
        == 200
    )
    refused = site.call('east-h1', 'POST', '/services/glossary/x', b'hi', '')
    assert refused.status == 401
    assert refused.error['run_state'] == 'not_run'


def test_no_key_reaches_an_endpoint(site, key):
    """Wherever a caller puts its key, it reaches no endpoint and no log."""
    host = 'east-h1'
    site.call(
        host,
        'POST',
        f'/services/glossary/x?key={key}&q=1',
        b'hi',
        key,
        x_api_key=key,
        cookie=f'k={key}',
        x_other=key,
        accept='text/plain',
    )
    held = site.call(host, 'POST', '/services/glossary/x', key.encode(), key)
    assert held.status == 400
    site.chat(host, key, 'hello')
    assert site.chat(host, key, f'my key is {key}').status == 400
    seen = json.dumps(site.stats(site.fleet.plain_port))
    assert key not in seen
    assert 'q' in seen
    for engine in ('engine-1', 'engine-2'):
        assert not site.stats(site.fleet.engine_port(engine))['keys']
    secret = key.split('-')[2]
    for path in site.folder.glob('*.log'):
        assert secret not in path.read_text()


@pytest.mark.parametrize(
    ('raw', 'status', 'code'),
    [
        (
            b'GET /v1/models HTTP/1.1\r\nHost: a\r\nX: '
            + b'a' * 40000
            + b'\r\n\r\n',
            431,
            '1002',
        ),
        (
            b'POST /v1/files HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
            400,
            '1004',
        ),
        (b'\x00\x01\x02 nonsense\r\n\r\n', 400, '1001'),
        (b'GET / HTTP/1.1\r\n\r\n', 400, '1001'),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n\r\n',
            400,
            '1001',
        ),
    ],
)
def test_bad_framing_is_refused_and_closed(site, raw, status, code):
    """A request with malformed framing closes its connection."""
    port = site.fleet.hosts['east-h1'].front
    with socket.create_connection(('127.0.0.1', port), 5) as sock:
        sock.sendall(raw)
        received = b''
        while piece := sock.recv(65536):
            received += piece
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(f'HTTP/1.1 {status} '.encode())
    assert json.loads(body)['error']['code'] == code


REQUEST = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
    b'Authorization: Bearer none\r\nContent-Length: 13\r\n\r\n{"model": "a"'
)
DAMAGES = 200


def damaged(rng):
    """Changes, repeats, drops or inserts bytes of a request."""
    packed = REQUEST
    for _ in range(rng.randint(1, 6)):
        place = rng.randrange(len(packed))
        piece = rng.choice([b'', rng.randbytes(3), b'\r\n', b'\x00', b':'])
        rest = packed[place + rng.randint(0, 4) :]
        packed = packed[:place] + piece + rest
    return packed


def test_damaged_requests_are_refused(site, key):
    """Damaged requests get an error or a closed connection; others succeed."""
    rng = random.Random(20261204)
    port = site.fleet.hosts['east-h1'].front
    for _ in range(DAMAGES):
        with socket.create_connection(('127.0.0.1', port), 5) as sock:
            sock.sendall(damaged(rng))
            sock.shutdown(socket.SHUT_WR)
            received = b''
            with contextlib.suppress(ConnectionResetError):
                while piece := sock.recv(65536):
                    received += piece
        assert not received or received.startswith(b'HTTP/1.1 4'), received
    assert site.chat('east-h1', key, 'still here').status == 200


def test_slow_sender_affects_nobody(site, key):
    """A connection with an incomplete request does not block others."""
    port = site.fleet.hosts['east-h1'].front
    with socket.create_connection(('127.0.0.1', port), 5) as sock:
        sock.sendall(b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n')
        assert site.chat('east-h1', key, 'hello').status == 200


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        (b'{', 400),
        (b'[]', 400),
        (b'[' * 100000, 400),
        (b'x' * 3_000_000, 413),
    ],
)
def test_bad_body_is_refused(site, key, body, status):
    """A body that is not JSON, not an object or too large is refused."""
    answer = site.call(
        'east-h1',
        'POST',
        '/v1/chat/completions',
        body,
        key,
    )
    assert answer.status == status
    assert answer.error['run_state'] == 'not_run'


@pytest.mark.parametrize('field', ['max_tokens', 'max_completion_tokens'])
@pytest.mark.parametrize('digits', [20, 400])
def test_number_of_hundreds_of_digits_is_an_error_of_the_host(
    site, key, field, digits
):
    """A limit of tokens that no engine can have is refused with 400."""
    limits = {'max_tokens': None, field: int('9' * digits)}
    answer = site.chat('east-h1', key, 'hello', **limits)
    assert (answer.status, answer.error['run_state']) == (400, 'not_run')


def test_bad_batch_file_names_lines_and_leaves_nothing(site, key):
    """An invalid file is refused with its line number and not stored."""
    before = site.get('east-h1', '/v1/files', key).body
    with pytest.raises(Exception, match='line 3'):
        site.caller('east-h1', key).submit(
            b''.join((make_lines(2), b'broken\n')),
            '1h',
            '',
        )
    assert site.get('east-h1', '/v1/files', key).body == before


def test_resent_batch_finds_the_first(site, key):
    """A resend with the same idempotency key returns the same batch."""
    uploaded = site.caller('east-h1', key).submit(make_lines(2), '1h', 'lot-9')
    body = {
        'input_file_id': uploaded['input_file_id'],
        'endpoint': '/v1/chat/completions',
        'completion_window': '1h',
    }
    resent = site.call(
        'west-h1',
        'POST',
        '/v1/batches',
        body,
        key,
        idempotency_key='lot-9',
    )
    assert json.loads(resent.body)['id'] == uploaded['id']
    changed = {**body, 'completion_window': '2h'}
    refused = site.call(
        'west-h1',
        'POST',
        '/v1/batches',
        changed,
        key,
        idempotency_key='lot-9',
    )
    assert (refused.status, refused.error['code']) == (422, '1501')


def test_caller_that_leaves_stops_its_request(site, key):
    """Closing the connection frees the engine."""
    port = site.fleet.hosts['east-h1'].front
    body = json.dumps({
        'model': MODEL,
        'messages': messages('long'),
        'max_tokens': 5000,
        'stream': True,
    }).encode()
    with socket.create_connection(('127.0.0.1', port), 5) as sock:
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
            f'Authorization: Bearer {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        sock.sendall(b''.join((head.encode(), body)))
        assert sock.recv(1000)
    engine = site.fleet.engine_port('engine-1')
    eventually(lambda: site.stats(engine)['running'] == 0, 5)
