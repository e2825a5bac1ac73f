"""Durable records of calls with an idempotency key, for at-most-once runs."""

import enum
import hashlib

from jacinthmount.records import Record

__all__ = (
    'CallRecord',
    'CallDecision',
    'call_name',
    'decide_call',
    'hash_request',
)

CALL_PREFIX = 'calls/'
CALL_STARTED = 'started'
CALL_ANSWERED = 'answered'
CALL_NOT_RUN = 'not_run'
# Larger answers are not stored, so a resent call does not get them.
MAX_KEPT_ANSWER_BYTES = 262_144


class CallRecord(Record):
    """Record of a keyed call: created before dispatch, then completed.

    ``kept`` means that ``body`` holds the whole answer.
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
    """How a call with an idempotency key is handled."""

    RUN = 'run'
    REPLAY = 'replay'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'


def call_name(account: str, idempotency_key: str) -> str:
    """Returns the object name of the record of a keyed call."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{CALL_PREFIX}{account}/{digest}'


def hash_request(method: str, path: str, body: bytes) -> str:
    """Hashes the parts that must be equal in a resent request."""
    head = f'{method} {path}\n'.encode()
    return hashlib.sha256(head + body).hexdigest()


def decide_call(record: CallRecord | None, request_hash: str) -> CallDecision:
    """Decides how a keyed call is handled.

    A record in state ``not_run`` is replaced by a conditional update, so that
    only one of several resent calls runs.

    :param record: the stored record of the call, or None.
    :param request_hash: hash of the request that arrived now.
    """
    if record is None:
        return CallDecision.RUN
    if record.request_hash != request_hash:
        return CallDecision.MISMATCH
    if record.state == CALL_ANSWERED:
        return CallDecision.REPLAY
    if record.state == CALL_NOT_RUN:
        return CallDecision.RUN
    return CallDecision.UNKNOWN
