"""Durable records of keyed calls that must run at most once."""

import enum
import hashlib

from jacinthmount.records import Record

__all__ = (
    'CallRecord',
    'CallDecision',
    'call_name',
    'hash_request',
    'decide_call',
)

CALL_PREFIX = 'calls/'
CALL_STARTED = 'started'
CALL_ANSWERED = 'answered'
CALL_NOT_RUN = 'not_run'
MAX_KEPT_ANSWER_BYTES = 262_144


class CallRecord(Record):
    """A keyed call: created before dispatch, completed with its answer.

    ``kept`` tells whether the body holds the whole answer.
    """

    __slots__ = (
        'request_hash',
        'state',
        'status',
        'content_type',
        'body',
        'kept',
        'holder',
        'write_id',
    )

    request_hash: str
    state: str
    status: int
    content_type: str
    body: str
    kept: bool
    holder: str
    write_id: str


class CallDecision(enum.Enum):
    """What a resent call gets."""

    RUN = 'run'
    REPLAY = 'replay'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'


def call_name(account: str, idempotency_key: str) -> str:
    """Names the record of a keyed call."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{CALL_PREFIX}{account}/{digest}'


def hash_request(method: str, path: str, body: bytes) -> str:
    """Hashes what must be the same in a resent request."""
    head = f'{method} {path}\n'.encode()
    return hashlib.sha256(head + body).hexdigest()


def decide_call(found: CallRecord | None, request_hash: str) -> CallDecision:
    """Decides what a keyed call gets, given the record found.

    A record in state ``not_run`` is replaced by a conditional update, so that
    only one of several resent calls runs.
    """
    if found is None:
        return CallDecision.RUN
    if found.request_hash != request_hash:
        return CallDecision.MISMATCH
    if found.state == CALL_ANSWERED:
        return CallDecision.REPLAY
    if found.state == CALL_NOT_RUN:
        return CallDecision.RUN
    return CallDecision.UNKNOWN
