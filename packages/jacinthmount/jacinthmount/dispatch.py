"""What may follow when an attempt at a request fails."""

import enum

from jacinthmount.errors import (
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
    'next_action',
    'next_action_within',
    'make_failure',
)


class Stage(enum.IntEnum):
    """How far an attempt came."""

    QUEUED = 0
    CONNECTING = 1
    SENT = 2
    ANSWERING = 3
    ANSWERED = 4


class NextAction(enum.Enum):
    """What to do after an attempt ended."""

    DONE = 'done'
    RETRY = 'retry'
    RESUME = 'resume'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Attempt(Record):
    """Facts about a failed attempt.

    ``stage`` is ``SENT`` from the moment before the first byte is written.
    ``relayed`` tells whether the caller has seen a part of the answer.
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
    """Decides what follows an attempt that ended without a whole answer."""
    again = attempt.may_retry and attempt.time_left
    if attempt.stage < Stage.SENT:
        return NextAction.RETRY if again else NextAction.NOT_RUN
    if not attempt.idempotent:
        return NextAction.UNKNOWN
    if attempt.relayed:
        can_resume = again and attempt.resumable
        return NextAction.RESUME if can_resume else NextAction.FAILED
    return NextAction.RETRY if again else NextAction.FAILED


def next_action_within(
    attempt: Attempt,
    budget: RetryBudget,
    now: float,
) -> NextAction:
    """Decides what follows, and spends a retry only where one follows."""
    outcome = next_action(attempt)
    if outcome not in {NextAction.RETRY, NextAction.RESUME} or budget.spend(
        now
    ):
        return outcome
    return next_action(replaced(attempt, may_retry=False))


def make_failure(
    outcome: NextAction,
    *,
    time_left: bool,
    not_run: JacinthmountError,
    retry_after_s: float | None = None,
) -> JacinthmountError:
    """Makes the error that tells a caller how its request ended.

    :param not_run: tells that the request has not run.
    :param retry_after_s: when endpoints that failed are worth another try.
    """
    if outcome is NextAction.NOT_RUN:
        return not_run
    if outcome is NextAction.UNKNOWN:
        return OutcomeUnknown(detail='the connection was lost')
    if not time_left:
        return DeadlineExceeded(detail='no whole answer before the deadline')
    return EndpointFailed(
        detail='endpoints failed',
        retry_after_s=retry_after_s,
    )
