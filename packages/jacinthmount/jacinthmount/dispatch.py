"""Decides what follows a failed attempt at a request."""

import enum

from jacinthmount.errors import (
    NOT_RUN,
    DeadlineExceeded,
    EndpointFailed,
    JacinthmountError,
    OutcomeUnknown,
)
from jacinthmount.records import Record, replaced
from jacinthmount.retries import RetryBudget

__all__ = (
    'Attempt',
    'NextAction',
    'Stage',
    'correct_refusal',
    'next_action',
    'next_action_within',
    'make_failure',
)


class Stage(enum.IntEnum):
    """Stage that an attempt has reached."""

    QUEUED = 0
    CONNECTING = 1
    SENT = 2
    ANSWERING = 3
    ANSWERED = 4


class NextAction(enum.Enum):
    """Action after an attempt has ended."""

    DONE = 'done'
    RETRY = 'retry'
    RESUME = 'resume'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Attempt(Record):
    """Facts about a failed attempt.

    ``stage`` is ``SENT`` from just before the first byte is written.
    ``relayed`` is true if a part of the response was already sent to the
    caller.
    """

    __slots__ = (
        'stage',
        'idempotent',
        'relayed',
        'resumable',
        'may_retry',
        'time_left',
    )

    stage: int
    idempotent: bool
    relayed: bool
    resumable: bool
    may_retry: bool
    time_left: bool


def next_action(attempt: Attempt) -> NextAction:
    """Returns what follows an attempt without a complete response."""
    can_retry = attempt.may_retry and attempt.time_left
    if attempt.stage < Stage.SENT:
        return NextAction.RETRY if can_retry else NextAction.NOT_RUN
    if not attempt.idempotent:
        return NextAction.UNKNOWN
    if attempt.relayed:
        can_resume = can_retry and attempt.resumable
        return NextAction.RESUME if can_resume else NextAction.FAILED
    return NextAction.RETRY if can_retry else NextAction.FAILED


def next_action_within(
    attempt: Attempt,
    budget: RetryBudget,
    now: float,
) -> NextAction:
    """Returns what follows, and uses the retry budget only for a retry."""
    outcome = next_action(attempt)
    if outcome not in {NextAction.RETRY, NextAction.RESUME} or budget.spend(
        now
    ):
        return outcome
    return next_action(replaced(attempt, may_retry=False))


def correct_refusal(
    exc: JacinthmountError,
    *,
    may_have_run: bool,
) -> JacinthmountError:
    """Returns the error for the caller of a request that is refused.

    :param exc: refusal of another attempt.
    :param may_have_run: whether an earlier attempt was sent.
    """
    if may_have_run and exc.run_state == NOT_RUN:
        return EndpointFailed(
            detail=exc.detail,
            retry_after_s=exc.retry_after_s,
        )
    return exc


def make_failure(
    outcome: NextAction,
    *,
    time_left: bool,
    not_run: JacinthmountError,
    retry_after_s: float | None = None,
) -> JacinthmountError:
    """Creates the error for the caller of a failed request.

    :param not_run: error to use if the request was certainly not executed.
    :param retry_after_s: seconds until failed endpoints may be tried again.
    """
    if outcome is NextAction.NOT_RUN:
        return not_run
    if outcome is NextAction.UNKNOWN:
        return OutcomeUnknown(detail='the connection was lost')
    if not time_left:
        return DeadlineExceeded(
            detail='no complete response before the deadline'
        )
    return EndpointFailed(
        detail='endpoints failed',
        retry_after_s=retry_after_s,
    )
