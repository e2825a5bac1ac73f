"""Exceptions with numeric codes; docs/ERRORS.md lists them."""

import enum

__all__ = (
    'AmbiguousFraming',
    'AnswerNotKept',
    'BatchFileInvalid',
    'BodyTooLarge',
    'CallerMemoryFull',
    'CallInProgress',
    'DeadlineExceeded',
    'DeadlineUnreachable',
    'EndlessAnswer',
    'EndpointFailed',
    'EndpointLost',
    'EndpointsFull',
    'GarbageKind',
    'HeadersTooLarge',
    'HistoryGone',
    'IdempotencyMismatch',
    'InvalidDeclarations',
    'JacinthmountError',
    'KeyMissing',
    'KeyUnknown',
    'MalformedRecord',
    'MalformedRequest',
    'NoEndpointReached',
    'NotConfigured',
    'NotFound',
    'OrderFenced',
    'OtherVersion',
    'OutcomeUnknown',
    'PeerUnavailable',
    'PromptBlocked',
    'QuotaExceeded',
    'RateExceeded',
    'RequestBlocked',
    'RequestCancelled',
    'RequestTimeout',
    'ShareUnconfirmed',
    'ShuttingDown',
    'StoreConflict',
    'StoreRefused',
    'StoreUnavailable',
    'StreamNotResumable',
    'StreamOriginUnavailable',
    'ValueTooLarge',
    'NOT_RUN',
    'OUTCOME_UNKNOWN',
    'RAN',
    'shorten',
)

# Values of ``run_state``: whether the failed request may have been run.
NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'outcome_unknown'
RAN = 'failed'
MAX_SHOWN_CHARS = 80


def shorten(text: object) -> str:
    """Shortens a value that a caller sent for use in a message."""
    return str(text)[:MAX_SHOWN_CHARS]


class JacinthmountError(Exception):
    """Base of all errors that have a numeric code.

    :param detail: description for callers and logs, without keys or bodies.
    :param retry_after_s: seconds until a retry can succeed, or None.
    """

    code = 1000
    http_status = 500
    run_state = RAN

    def __init__(
        self,
        *,
        detail: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{self.code} {type(self).__name__}: {detail}')
        self.detail = detail
        self.retry_after_s = retry_after_s


class MalformedRequest(JacinthmountError):
    """The request is not valid."""

    code = 1001
    http_status = 400
    run_state = NOT_RUN


class HeadersTooLarge(MalformedRequest):
    """The request line and headers exceed their limit."""

    code = 1002
    http_status = 431


class BodyTooLarge(MalformedRequest):
    """The request body exceeds its limit."""

    code = 1003
    http_status = 413


class AmbiguousFraming(MalformedRequest):
    """The headers of the request leave the length of its body ambiguous."""

    code = 1004


class RequestTimeout(MalformedRequest):
    """The caller sent its request too slowly."""

    code = 1005
    http_status = 408


class MalformedRecord(JacinthmountError, ValueError):
    """Stored or received bytes do not describe the expected record."""

    code = 1006
    http_status = 400
    run_state = NOT_RUN


class KeyMissing(JacinthmountError):
    """The request carries no key."""

    code = 1101
    http_status = 401
    run_state = NOT_RUN


class KeyUnknown(KeyMissing):
    """The key is unknown or withdrawn."""

    code = 1102


class NotFound(JacinthmountError):
    """The object, model or route does not exist for this account."""

    code = 1201
    http_status = 404
    run_state = NOT_RUN


class RateExceeded(JacinthmountError):
    """The client account has used up its rate and burst."""

    code = 1301
    http_status = 429
    run_state = NOT_RUN


class DeadlineUnreachable(JacinthmountError):
    """The queue is too long for the request to meet its deadline."""

    code = 1302
    http_status = 503
    run_state = NOT_RUN


class ShareUnconfirmed(JacinthmountError):
    """No host has a confirmed share of the account's rate now."""

    code = 1303
    http_status = 503
    run_state = NOT_RUN


class ShuttingDown(JacinthmountError):
    """The host accepts no new requests."""

    code = 1304
    http_status = 503
    run_state = NOT_RUN


class EndpointFailed(JacinthmountError):
    """No endpoint answered the request within the allowed attempts."""

    code = 1401
    http_status = 502


class EndpointLost(EndpointFailed):
    """The endpoint connection failed, was cut or violated its protocol."""

    code = 1405


class GarbageKind(enum.Enum):
    """The part of an answer in which an endpoint exceeded a limit."""

    INTERIM = 'interim'
    FRAMING = 'framing'
    EVENT = 'event'
    UNNUMBERED = 'unnumbered'
    BODY = 'body'
    RESULT = 'result'
    MEMORY = 'memory'


class EndlessAnswer(EndpointFailed):
    """The endpoint sent more data than a valid answer can have.

    :param kind: the part of the answer that exceeded its limit.
    :param taken: amount received until then, in bytes or (interim) responses.
    :param allowed: the limit, in the same unit.
    """

    code = 1406

    def __init__(self, *, kind: GarbageKind, taken: int, allowed: int) -> None:
        super().__init__(
            detail=f'endless {kind.value}: {taken} of {allowed} allowed',
        )
        self.kind = kind
        self.taken = taken
        self.allowed = allowed

    @classmethod
    def check(cls, kind: GarbageKind, taken: int, allowed: int) -> None:
        """Checks what was received of a part of an answer.

        :raises EndlessAnswer: it is more than allowed.
        """
        if taken > allowed:
            raise cls(kind=kind, taken=taken, allowed=allowed)


class OutcomeUnknown(JacinthmountError):
    """The request may have run and is not retried."""

    code = 1402
    http_status = 502
    run_state = OUTCOME_UNKNOWN


class DeadlineExceeded(JacinthmountError):
    """The deadline passed before the answer was complete."""

    code = 1404
    http_status = 504
    run_state = OUTCOME_UNKNOWN


class RequestCancelled(JacinthmountError):
    """The request was cancelled before it completed."""

    code = 1403
    http_status = 409


class IdempotencyMismatch(JacinthmountError):
    """The idempotency key was used with another request body."""

    code = 1501
    http_status = 422
    run_state = NOT_RUN


class CallInProgress(JacinthmountError):
    """The request with this idempotency key is still running."""

    code = 1502
    http_status = 409
    run_state = OUTCOME_UNKNOWN


class AnswerNotKept(JacinthmountError):
    """The first request with this key ran; its answer was too large to keep."""

    code = 1503
    http_status = 410


class StoreUnavailable(JacinthmountError):
    """The object API did not answer; a write may have taken effect."""

    code = 1601
    http_status = 503
    run_state = NOT_RUN


class StoreRefused(StoreUnavailable):
    """The object API rejected a call or was unreachable; nothing changed."""

    code = 1605


class StoreConflict(JacinthmountError):
    """The object does not have the version that the write expected.

    :param version: current version, 0 if the object does not exist.
    """

    code = 1602
    http_status = 409
    run_state = NOT_RUN

    def __init__(self, *, detail: str = '', version: int = 0) -> None:
        super().__init__(detail=detail)
        self.version = version


class ValueTooLarge(JacinthmountError):
    """The value exceeds the limit of the object API."""

    code = 1603
    http_status = 413
    run_state = NOT_RUN


class HistoryGone(JacinthmountError):
    """The object API no longer has the changes that a watch requested."""

    code = 1604
    http_status = 503
    run_state = NOT_RUN


class InvalidDeclarations(JacinthmountError):
    """Settings or declarations are not valid.

    :param problems: one line each: file, section, option, what is allowed.
    """

    code = 1701
    http_status = 400
    run_state = NOT_RUN

    def __init__(self, *, problems: list[str]) -> None:
        super().__init__(detail='; '.join(problems))
        self.problems = problems


class NotConfigured(JacinthmountError):
    """The host has no configuration yet."""

    code = 1305
    http_status = 503
    run_state = NOT_RUN


class EndpointsFull(JacinthmountError):
    """No endpoint can start the request in time."""

    code = 1306
    http_status = 503
    run_state = NOT_RUN


class QuotaExceeded(JacinthmountError):
    """The batches of the account already queue too many tokens."""

    code = 1307
    http_status = 429
    run_state = NOT_RUN


class NoEndpointReached(JacinthmountError):
    """This host reaches no endpoint, nor does one that could help."""

    code = 1311
    http_status = 503
    run_state = NOT_RUN


class CallerMemoryFull(JacinthmountError):
    """Callers make the host keep too much; the request was not read whole."""

    code = 1312
    http_status = 503
    run_state = NOT_RUN


class StreamOriginUnavailable(JacinthmountError):
    """The version that began the stream can't be looked up yet."""

    code = 1310
    http_status = 503
    run_state = NOT_RUN


class StreamNotResumable(JacinthmountError):
    """No endpoint may go on with the stream; the caller has to begin anew."""

    code = 1407
    http_status = 502
    run_state = RAN


class OtherVersion(EndpointFailed):
    """The engine has another version than the one that began the answer."""

    code = 1408


class PromptBlocked(JacinthmountError):
    """Endpoints crashed on prompts with the same parts."""

    code = 1308
    http_status = 503
    run_state = NOT_RUN


class RequestBlocked(JacinthmountError):
    """Endpoints crashed on the same request."""

    code = 1309
    http_status = 503
    run_state = NOT_RUN


class PeerUnavailable(JacinthmountError):
    """A peer host did not answer in time."""

    code = 1801
    http_status = 503
    run_state = NOT_RUN


class OrderFenced(JacinthmountError):
    """The engine has accepted an order with a higher fencing number."""

    code = 1802
    http_status = 409
    run_state = NOT_RUN


class PeerClosed(PeerUnavailable):
    """A peer host closed the connection without an answer."""

    code = 1803


class BatchFileInvalid(JacinthmountError):
    """Lines of a batch file are not valid.

    :param lines: numbers of the first invalid lines, from 1.
    """

    code = 1901
    http_status = 400
    run_state = NOT_RUN

    def __init__(self, *, detail: str, lines: list[int]) -> None:
        super().__init__(detail=detail)
        self.lines = lines
