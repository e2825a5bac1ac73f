"""Calls to plain services and their answers."""

from jacinthmount.crash_strikes import Suspect
from jacinthmount.request_digest import digest_request

__all__ = ('PlainAnswer', 'PlainCall')


class PlainCall:
    """A call to a plain service."""

    __slots__ = (
        'account',
        'body',
        'deadline',
        'headers',
        'idempotency_key',
        'key_id',
        'method',
        'request_id',
        'runs',
        'service',
        'suspect',
        'target',
    )

    def __init__(
        self,
        *,
        account: str,
        key_id: str,
        service: str,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        idempotency_key: str,
        deadline: float,
    ) -> None:
        """Initialises the call; the deadline is in monotonic seconds."""
        self.account = account
        self.key_id = key_id
        self.service = service
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.deadline = deadline
        self.suspect = Suspect(
            request=digest_request(account, service, method, target, body),
            parts=[],
        )
        # Number of endpoints that may have run it.
        self.runs = 0


class PlainAnswer:
    """A complete answer of a plain service."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Initialises the answer.

        :param headers: headers that are relayed to the caller.
        """
        self.status = status
        self.headers = headers
        self.body = body
