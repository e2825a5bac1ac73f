"""Requests around a planned stop of a front, on real processes."""

import base64
import json
import select
import signal
import socket
import threading
import time
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException

import pytest
from jacinthmount_platform_standin.site import HOST_NAME, KEY, PlatformSite

FRONT = 'front-1'
# The balancer may send for this long after the host stops being ready.
BALANCER_S = 2.8
STEP_S = 0.2
# While run times of the same route still count.
EARLY_S = 2.0
# Later, while new connections are still served.
LATE_S = 3.0
# After the last connection has been taken.
CLOSED_S = 3.4
GRACE_S = 8.0
LONG_TIMEOUT_MS = 20_000
EVENTS = 5
READ_BYTES = 65_536
SHUTTING_DOWN = '1304'


@pytest.fixture
def site(tmp_path):
    """A site with a route whose requests may not be repeated."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=1)
    weigh = {
        **found.config['routes'][0],
        'name': 'weigh',
        'path_prefix': '/weigh/',
        'kind': 'unsafe',
        'timeout_ms': LONG_TIMEOUT_MS,
    }
    found.config['routes'].append(weigh)
    try:
        found.start()
        yield found
    finally:
        found.stop()


class Caller:
    """A connection to the front that stays open between requests."""

    __slots__ = ('_conn', '_sent_at')

    def __init__(self, *, site):
        """Connects without sending anything."""
        self._conn = HTTPConnection(
            '127.0.0.1', site.fronts[FRONT], timeout=LONG_TIMEOUT_MS / 1000
        )
        self._conn.connect()
        self._sent_at = 0.0

    def ask(self, request_id, path='/weigh/1', method='POST', **fields):
        """Sends one request.

        :returns: status (0 if the connection ended without a complete
            answer), body, and the ``Connection`` header of the answer.
        """
        headers = make_headers(request_id, **fields)
        try:
            self._conn.request(method, path, b'{}', headers)
            answer = self._conn.getresponse()
            named = answer.getheader('connection', '')
            return answer.status, answer.read(), named
        except (OSError, HTTPException):
            return 0, b'', ''

    def is_closed(self):
        """Returns whether the front has ended the connection."""
        readable, _, _ = select.select([self._conn.sock], [], [], 0)
        return bool(readable)


def make_headers(request_id, events=EVENTS, **fields):
    """Builds the headers of a request that waits as long as its route."""
    named = {name.replace('_', '-'): text for name, text in fields.items()}
    return {
        'Host': HOST_NAME,
        'Authorization': f'Bearer {KEY}',
        'Attempt-Id': request_id,
        'Token-Usage': f'10,{events}',
        'Deadline-Remaining': str(LONG_TIMEOUT_MS),
        **named,
    }


def slow_down(site, event_s):
    """Sets the time of each event of all engines."""
    for port in site.engines.values():
        site.switch(port, event_s=event_s)


def ran_ids(site):
    """Lists the ids of the requests that ran."""
    return {run['id'] for run in site.ran()}


def read_code(body):
    """Returns the code of an error and whether its request ran."""
    error = json.loads(body)['error']
    return error['code'], error['run_state']


def in_background(func, *args, **fields):
    """Runs a call in a thread.

    :returns: the thread, and the list that gets the result.
    """
    results = []
    thread = threading.Thread(
        target=lambda: results.append(func(*args, **fields))
    )
    thread.start()
    return thread, results


def test_new_connections_reset_in_a_planned_stop(site):
    """They are answered for as long as the balancer may send them."""
    site.signal(FRONT, signal.SIGTERM)
    until = time.monotonic() + BALANCER_S
    seen = []
    while time.monotonic() < until:
        time.sleep(STEP_S)
        status, _, named = Caller(site=site).ask(
            f'n{len(seen)}', '/scan/1', deadline_remaining='2000'
        )
        seen.append((status, named))
    assert set(seen) == {(HTTPStatus.OK, 'close')}
    assert site.wait_end(FRONT, GRACE_S) == 0


def test_late_request_cut_at_the_end_of_a_planned_stop(site):
    """One that may not end inside the grace is refused and never runs."""
    slow_down(site, 2.0)
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(LATE_S)
    status, body, named = Caller(site=site).ask('late')
    assert status == HTTPStatus.SERVICE_UNAVAILABLE
    assert read_code(body) == (SHUTTING_DOWN, 'not_run')
    assert named == 'close'
    assert site.wait_end(FRONT, GRACE_S) == 0
    assert 'late' not in ran_ids(site)
    lines = [
        line for line in site.read_lines(FRONT) if line.get('request') == 'late'
    ]
    assert [line['code'] for line in lines] == [int(SHUTTING_DOWN)]


@pytest.mark.parametrize('path', ['/scan/1', '/check/1', '/weigh/1'])
def test_long_request_of_a_short_route_cut_in_a_planned_stop(site, path):
    """Guards against requests that are run and cut, as others were short.

    Within their limit of 5 s they may end after the host does.
    """
    for number in range(3):
        assert Caller(site=site).ask(f's{number}', path)[0] == HTTPStatus.OK
    slow_down(site, 0.9)
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(LATE_S)
    status, body, _ = Caller(site=site).ask(
        'late', path, deadline_remaining='5000'
    )
    assert status == HTTPStatus.SERVICE_UNAVAILABLE
    assert read_code(body) == (SHUTTING_DOWN, 'not_run')
    assert site.wait_end(FRONT, GRACE_S) == 0
    assert 'late' not in ran_ids(site)


def test_late_request_of_a_kept_connection_read_in_a_planned_stop(site):
    """Its caller learns before that the idle connection ends."""
    kept = Caller(site=site)
    assert kept.ask('first')[0] == HTTPStatus.OK
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(LATE_S)
    assert kept.is_closed()
    assert Caller(site=site).ask('new', deadline_remaining='2000')[0] == 200
    time.sleep(CLOSED_S - LATE_S)
    assert kept.ask('late')[0] == 0
    assert site.wait_end(FRONT, GRACE_S) == 0
    assert ran_ids(site) == {'first', 'new'}


def test_running_request_cut_at_the_end_of_a_planned_stop(site):
    """One that runs longer than the grace gets an answer that is no refusal."""
    slow_down(site, 3.0)
    thread, results = in_background(Caller(site=site).ask, 'long')
    while 'long' not in ran_ids(site):
        time.sleep(STEP_S)
    site.signal(FRONT, signal.SIGTERM)
    assert site.wait_end(FRONT, GRACE_S) == 0
    thread.join()
    status, body, _ = results[0]
    assert status == HTTPStatus.GATEWAY_TIMEOUT
    assert read_code(body)[1] == 'outcome_unknown'
    cuts = [
        line
        for line in site.read_lines(FRONT)
        if line['message_type'] == 'jacinthmount:cut_in_stop'
    ]
    assert len(cuts) == 1


def test_late_request_of_a_short_route_refused_in_a_planned_stop(site):
    """What its route lately took counts while the balancer may send."""
    late = Caller(site=site)
    for number in range(3):
        assert Caller(site=site).ask(f's{number}')[0] == HTTPStatus.OK
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(EARLY_S)
    assert late.ask('late')[::2] == (HTTPStatus.OK, 'close')
    time.sleep(STEP_S)
    assert Caller(site=site).ask('new')[::2] == (HTTPStatus.OK, 'close')


def test_deadline_longer_than_a_planned_stop(site):
    """An endpoint is told how much of the grace is left."""
    caller = Caller(site=site)
    assert caller.ask('first')[0] == HTTPStatus.OK
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(1.0)
    assert caller.ask('second')[0] == HTTPStatus.OK
    told = {run['id']: run['headers'] for run in site.ran()}
    assert int(told['second']['deadline-remaining']) < GRACE_S * 1000


def test_second_signal_cuts_a_planned_stop_short(site):
    """Another SIGTERM changes nothing; the stream gets its end."""
    slow_down(site, 0.6)
    thread, results = in_background(Caller(site=site).ask, 's1', '/scan/1')
    while 's1' not in ran_ids(site):
        time.sleep(STEP_S)
    for _ in range(2):
        site.signal(FRONT, signal.SIGTERM)
        time.sleep(1.0)
    thread.join()
    assert results[0][0] == HTTPStatus.OK
    assert results[0][1].endswith(b'data: s1 5\n\n')
    assert site.wait_end(FRONT, GRACE_S) == 0


def test_body_that_is_read_in_a_planned_stop(site):
    """A request whose body is still on its way at SIGTERM is answered."""
    named = make_headers('half', deadline_remaining='3000')
    rows = [f'{name}: {text}' for name, text in named.items()]
    head = ['POST /scan/1 HTTP/1.1', *rows, 'Content-Length: 4', '', 'ab']
    with socket.create_connection(('127.0.0.1', site.fronts[FRONT])) as conn:
        conn.sendall('\r\n'.join(head).encode())
        time.sleep(STEP_S)
        site.signal(FRONT, signal.SIGTERM)
        time.sleep(1.0)
        conn.sendall(b'cd')
        received = read_all(conn)
    assert received.startswith(b'HTTP/1.1 200')
    assert b'half 5' in received


def read_all(conn):
    """Reads until the connection ends."""
    received = b''
    while piece := conn.recv(READ_BYTES):
        received += piece
    return received


def submit(site, batch_id):
    """Submits a batch of one item.

    :returns: the status of the answer.
    """
    item = {
        'id': f'i-{batch_id}',
        'path': '/audit/1',
        'headers': {'Token-Usage': '10,5'},
        'body': base64.b64encode(b'bale').decode(),
        'tokens': 20,
    }
    return site.call(
        FRONT, 'POST', '/audit/x', {'items': [item]}, attempt_id=batch_id
    )[0]


def read_results(site, batch_id, after, poll_wait):
    """Reads the results of a batch.

    :returns: the status of the answer, 0 if there was none.
    """
    target = f'/api/lots/{batch_id}?after={after}'
    try:
        return site.call(FRONT, 'GET', target, poll_wait=poll_wait)[0]
    except (OSError, HTTPException):
        return 0


def test_batch_calls_reset_in_a_planned_stop(site):
    """A submission, a read with a wait and an end are answered."""
    slow_down(site, 0.5)
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(0.5)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    assert read_results(site, 'b1', 0, '1000') == HTTPStatus.OK
    assert site.call(FRONT, 'DELETE', '/api/lots/b1')[0] == HTTPStatus.OK
    assert site.wait_end(FRONT, GRACE_S) == 0


def test_read_with_a_long_wait_cut_at_the_end_of_a_planned_stop(site):
    """It gets what there is before the host ends."""
    slow_down(site, 3.0)
    assert submit(site, 'b1') == HTTPStatus.ACCEPTED
    thread, results = in_background(read_results, site, 'b1', 0, '60000')
    time.sleep(STEP_S)
    site.signal(FRONT, signal.SIGTERM)
    thread.join()
    assert results == [HTTPStatus.OK]
    assert site.wait_end(FRONT, GRACE_S) == 0
