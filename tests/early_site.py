"""A site whose only engine answers as a test asks, and its callers."""

import base64
import json
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from jacinthmount_platform_standin.site import HOST_NAME, KEY, PlatformSite

from tests.early_engine import EarlyEngine
from tests.raw_engine import register

__all__ = ('EVENTS', 'EarlySite', 'Got')

CUT_HOST = Path(__file__).parent / 'cut_host.py'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
SLOTS = 8
# A host that is cut off knows it by then.
KNOWN_S = 1.0
# An engine that fails again and again is tried each 4 s.
WAIT_S = 20.0
POLL_S = 0.05


class Got:
    """What a caller got: status, 0 without one; body; whether it was whole."""

    def __init__(self):
        """Starts without an answer."""
        self.status = 0
        self.body = b''
        self.is_whole = False

    def __repr__(self):
        """Shows all of it for a failed check."""
        return f'<{self.status} whole={self.is_whole} {self.body[:80]}>'

    @property
    def is_success(self):
        """Whether the caller takes it for a complete answer."""
        return self.is_whole and 200 <= self.status < 400


class EarlySite:
    """One engine, one runner and two fronts; the second may be cut off.

    Its routes are ``scan`` and ``check``, whose answers are streams, ``safe``
    and ``unsafe``, and ``audit`` for batches. No rate is limited.
    """

    def __init__(self, folder, *, buffer_bytes=0):
        """Starts all processes.

        :param buffer_bytes: see :class:`~tests.early_engine.EarlyEngine`.
        """
        site = PlatformSite(folder=folder, fronts=2, runners=1)
        site.programs['front-2'] = CUT_HOST
        self.site = site
        self._cut_file = folder / 'front-2.cut'
        self._count = 0
        self.engine = EarlyEngine(None, buffer_bytes=buffer_bytes)
        routes = site.config['routes']
        for kind, attempts in (('safe', 2), ('unsafe', 1)):
            routes.append({
                **routes[0],
                'name': kind,
                'path_prefix': f'/{kind}/',
                'kind': kind,
                'max_attempts': attempts,
            })
        for tenant in site.config['tenants']:
            tenant['rate_per_s'] = 0
        try:
            self._start()
        except BaseException:
            site.stop()
            raise

    def stop(self):
        """Ends all processes."""
        self.engine.close()
        self.site.stop()

    def ask(self, path, body=b'', front='front-1'):
        """Sends a request on a new connection."""
        self._count += 1
        got = Got()
        conn = HTTPConnection(
            '127.0.0.1', self.site.fronts[front], timeout=WAIT_S
        )
        headers = {
            'host': HOST_NAME,
            'authorization': f'Bearer {KEY}',
            'attempt-id': f'r{self._count}',
            'token-usage': '10,2',
            'deadline-remaining': '3000',
        }
        try:
            conn.request('POST', path, body, headers)
            _read(conn, got)
        except (OSError, HTTPException) as exc:
            got.body = getattr(exc, 'partial', b'')
        finally:
            conn.close()
        return got

    def ask_until_sent(self, path, body=b'', front='front-1'):
        """Asks until the engine has a request, as it may count as failed."""
        before = len(self.engine.asked)
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            got = self.ask(path, body, front)
            if len(self.engine.asked) > before:
                return got
            time.sleep(POLL_S)
        raise AssertionError(got)

    def submit(self, body=b''):
        """Submits a batch of one item.

        :returns: its id.
        """
        self._count += 1
        name = f'b{self._count}'
        item = {
            'id': f'{name}-1',
            'path': '/audit/1',
            'headers': {'Token-Usage': '10,2'},
            'body': base64.b64encode(body).decode(),
            'tokens': 20,
        }
        status, answer = self.site.call(
            'front-1', 'POST', '/audit/x', {'items': [item]}, attempt_id=name
        )
        assert status == 202, answer
        return name

    def read_results(self, name):
        """Reads the results of a batch."""
        status, answer = self.site.call(
            'front-1', 'GET', f'/api/lots/{name}?after=0'
        )
        return json.loads(answer)['results'] if status == 200 else []

    def wait_results(self, name):
        """Waits until the item of a batch is completed.

        :returns: its text.
        """
        until = time.monotonic() + WAIT_S
        while not self.read_results(name):
            assert time.monotonic() < until, 'the item was not listed'
            time.sleep(POLL_S)
        found = self.read_results(name)
        assert [one['state'] for one in found] == ['completed']
        return found[0]['text']

    def wait_asked(self, count):
        """Waits until the engine has got so many requests."""
        until = time.monotonic() + WAIT_S
        while len(self.engine.asked) < count:
            assert time.monotonic() < until, self.engine.asked
            time.sleep(POLL_S)

    def _start(self):
        self.site.start(engines=0)
        register(self.site, self.engine.port, SLOTS)
        cut = {'way': 'refuse', 'ports': [self.engine.port]}
        self._cut_file.write_text(json.dumps(cut))
        time.sleep(KNOWN_S)


def _read(conn, got):
    answer = conn.getresponse()
    got.status = answer.status
    got.body = answer.read()
    got.is_whole = True
