"""Requests that are being read beside a change, on a real front.

For each change of the configuration one caller is midway in its head, one in
its body, one idle on a connection that it keeps; all go on right after it.
"""

import contextlib
import itertools
import signal
import socket
import time

import pytest
from jacinthmount_platform_standin.site import HOST_NAME, KEY, PlatformSite

from tests.test_config_requests import CHANGES, CODED, NOT_RUN

FRONT = 'front-1'
ENOUGH_S = 10.0
READ_BYTES = 65_536
# How long after a change the callers go on.
MOMENTS_S = (0.0, 0.15, 0.6)
BODY = b'{"bale":1}'
ROUTES = ('check', 'scan')
# Until each of the front's rules on connections in a stop has begun.
STOP_MOMENTS_S = (0.0, 1.0, 2.9)

prefixes = (f'{number:x}' for number in itertools.count())


@pytest.fixture(scope='module')
def shared_site(tmp_path_factory):
    """A site of one front, one runner and two engines."""
    found = PlatformSite(
        folder=tmp_path_factory.mktemp('site'), fronts=1, runners=1
    )
    try:
        found.start(engines=2)
        yield found
    finally:
        found.stop()


@pytest.fixture
def site(shared_site):
    """The site, whose first configuration is written again at the end."""
    first = shared_site.config
    yield shared_site
    version = shared_site.config['version']
    shared_site.config = {**first, 'version': version}
    shared_site.write_config()
    time.sleep(0.5)


class Caller:
    """A caller that sends its request in two parts."""

    def __init__(self, *, site, route, request_id, sent_first):
        """Connects, and sends the first part.

        :param sent_first: the number of bytes in it, 0 for a connection on
            which another request is answered first, and negative for those
            of the end that are left out.
        """
        self.request_id = request_id
        self.kind = f'{route} after {sent_first}'
        self._conn = socket.create_connection(
            ('127.0.0.1', site.fronts[FRONT]), ENOUGH_S
        )
        if not sent_first:
            self._conn.sendall(make_request(route, f'{request_id}f'))
            self.first = self.read()
        packed = make_request(route, request_id)
        self._conn.sendall(packed[:sent_first])
        self._rest = packed[sent_first:]

    def go_on(self):
        """Sends the rest, which the front may no longer accept."""
        with contextlib.suppress(OSError):
            self._conn.sendall(self._rest)

    def read(self):
        """Reads one answer.

        :returns: its status, or 0 if there is no complete one.
        """
        received = b''
        with contextlib.suppress(OSError):
            while not is_complete(received):
                piece = self._conn.recv(READ_BYTES)
                if not piece:
                    return 0
                received += piece
            return int(received.split()[1])
        return 0

    def close(self):
        """Closes the connection."""
        self._conn.close()


def make_request(route, request_id):
    """Builds a request with a body."""
    rows = [
        f'POST /{route}/1 HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Authorization: Bearer {KEY}',
        f'Attempt-Id: {request_id}',
        'Token-Usage: 10,3',
        'Deadline-Remaining: 5000',
        f'Content-Length: {len(BODY)}',
        '',
        '',
    ]
    return '\r\n'.join(rows).encode() + BODY


def is_complete(received):
    """Returns whether an answer has its end."""
    head, _, body = received.partition(b'\r\n\r\n')
    lowered = head.lower()
    if b'transfer-encoding: chunked' in lowered:
        return body.endswith(b'0\r\n\r\n')
    _, found, length = lowered.partition(b'content-length: ')
    return bool(found) and len(body) >= int(length.split()[0])


def connect_callers(site, prefix):
    """Connects one caller of each kind and route."""
    in_head = 40
    in_body = -len(BODY) // 2
    return [
        Caller(
            site=site,
            route=route,
            request_id=f'{prefix}{route[0]}{number}',
            sent_first=sent_first,
        )
        for route in ROUTES
        for number, sent_first in enumerate((in_head, in_body, 0))
    ]


def finish(site, callers):
    """Lets callers go on and checks their answers.

    :returns: the statuses.
    """
    for caller in callers:
        caller.go_on()
    answers = {caller: caller.read() for caller in callers}
    ran = {run['id'] for run in site.ran()}
    for caller, status in answers.items():
        caller.close()
        assert status in CODED, (caller.kind, status)
        assert not (status in NOT_RUN and caller.request_id in ran), (
            caller.kind,
            status,
        )
    return list(answers.values())


@pytest.mark.parametrize('moment_s', MOMENTS_S)
@pytest.mark.parametrize('change', CHANGES)
def test_request_that_is_being_read_has_no_answer(site, change, moment_s):
    """It gets one by the configuration before or after the change."""
    callers = connect_callers(site, next(prefixes))
    site.write_config(**CHANGES[change](site.config))
    time.sleep(moment_s)
    finish(site, callers)


def test_request_that_is_being_read_has_no_answer_beside_a_reload(site):
    """A reload changes nothing for it."""
    for moment_s in MOMENTS_S:
        callers = connect_callers(site, next(prefixes))
        site.signal(FRONT, signal.SIGHUP)
        time.sleep(moment_s)
        assert set(finish(site, callers)) == {200}


def restart(site):
    """Starts the front again once it has ended."""
    site.wait_end(FRONT, ENOUGH_S)
    site.start_host(FRONT)
    site.wait_ready(FRONT)


@pytest.mark.parametrize('moment_s', STOP_MOMENTS_S)
def test_request_that_is_being_read_has_no_answer_in_a_stop(site, moment_s):
    """It is answered until the front closes the connections."""
    callers = connect_callers(site, next(prefixes))
    site.signal(FRONT, signal.SIGTERM)
    time.sleep(moment_s)
    try:
        assert set(finish(site, callers)) == {200}
    finally:
        restart(site)
