"""Callers of a platform front that tell how an answer ended."""

import contextlib
from http.client import HTTPConnection, HTTPException

from jacinthmount_platform_standin.site import HOST_NAME, KEY

__all__ = ('RawAnswer', 'ask', 'ask_raw')

ENOUGH_S = 20.0


class RawAnswer:
    """Status of an answer, 0 without one, and whether it was complete."""

    __slots__ = ('error', 'is_whole', 'status')

    def __init__(self):
        """Starts without an answer."""
        self.status = 0
        self.is_whole = False
        self.error = ''

    def __repr__(self):
        """Shows all of it for a failed check."""
        return f'<{self.status} whole={self.is_whole} {self.error}>'


def ask_raw(port, method, path, body, request_id, usage):
    """Sends one request on a new connection.

    :param usage: tokens in and out, as the platform writes them.
    """
    answer = RawAnswer()
    conn = HTTPConnection('127.0.0.1', port, timeout=ENOUGH_S)
    headers = {
        'host': HOST_NAME,
        'authorization': f'Bearer {KEY}',
        'attempt-id': request_id,
        'token-usage': usage,
        'deadline-remaining': '5000',
    }
    with contextlib.closing(conn):
        try:
            conn.request(method, path, body, headers)
            _read(conn, answer)
        except (OSError, HTTPException) as exc:
            answer.error = repr(exc)
    return answer


def ask(site, request_id, path='/scan/1', front='front-1'):
    """Sends a request.

    :returns: its status and body; the status is None if the answer was cut.
    """
    try:
        return site.call(
            front,
            'POST',
            path,
            {},
            attempt_id=request_id,
            token_usage='10,2',
            deadline_remaining='3000',
        )
    except (OSError, HTTPException) as exc:
        return None, getattr(exc, 'partial', b'')


def _read(conn, answer):
    response = conn.getresponse()
    answer.status = response.status
    response.read()
    answer.is_whole = True
