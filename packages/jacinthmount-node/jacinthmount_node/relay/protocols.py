"""Ports of the relay: formats of callers and endpoints, and retirements."""

from typing import Any

from jacinthmount.errors import JacinthmountError
from jacinthmount.item_batches import BatchItem, ItemResult
from jacinthmount.ports import EngineLoad
from jacinthmount.records import Record

from jacinthmount_node.net.http_messages import HttpRequest

__all__ = (
    'CallerProtocol',
    'EndBatch',
    'EndpointResponse',
    'EndpointProtocol',
    'EndpointRequest',
    'HelperRequest',
    'ReadItemBody',
    'ReadResults',
    'RelayMark',
    'RelayedRequest',
    'RetirementRequests',
)


class RelayMark(Record):
    """Mark of a request that a host sends to another one for its caller.

    ``attempts`` counts the attempts so far, ``has_token`` is true if a token of
    the rate was taken for it. ``recipient`` is the incarnation of the other
    host, which no caller knows.
    """

    __slots__ = ('host', 'attempts', 'has_token', 'recipient')

    host: str
    attempts: int
    has_token: bool
    recipient: str


class RelayedRequest(Record):
    """A request to a service, or the submission of a batch.

    ``headers`` are those that are passed on to the endpoint. ``left_s`` is how
    many more seconds the caller waits, or None if it states no limit.
    ``received_events`` is the number of the last event that the caller received
    of a stream it resumes, or None, and ``first_attempt`` the id of the request
    that brought its first event, empty if none is named. ``shared_parts`` are
    the ids of the parts of its prompt that other requests may have as well.
    ``mark`` is that of the host that sent it for its caller, if any; it counts
    only if it names this host as the recipient.
    """

    __slots__ = (
        'request_id',
        'key',
        'host_name',
        'path',
        'target',
        'method',
        'headers',
        'left_s',
        'received_events',
        'first_attempt',
        'shared_parts',
        'mark',
    )

    request_id: str
    key: str
    host_name: str
    path: str
    target: str
    method: str
    headers: list[tuple[str, str]]
    left_s: float | None
    received_events: int | None
    first_attempt: str
    shared_parts: list[str]
    mark: RelayMark | None


class HelperRequest(Record):
    """A request of a caller that is sent to the front of another host.

    ``left_s`` is how many seconds remain. ``after_event`` resumes a stream
    after the event with that number, or is None.
    """

    __slots__ = ('request', 'mark', 'left_s', 'after_event')

    request: RelayedRequest
    mark: RelayMark
    left_s: float
    after_event: int | None


class ReadResults(Record):
    """Requests the results of a batch after a position."""

    __slots__ = ('batch_id', 'key', 'after', 'wait_s')

    batch_id: str
    key: str
    after: int
    wait_s: float


class ReadItemBody(Record):
    """Requests the body of an item that has no result yet."""

    __slots__ = ('batch_id', 'key', 'item_id')

    batch_id: str
    key: str
    item_id: str


class EndBatch(Record):
    """Requests the end of a batch."""

    __slots__ = ('batch_id', 'key')

    batch_id: str
    key: str


class CallerProtocol:
    """Format of the requests of callers and of the responses to them."""

    def parse_call(self, request: HttpRequest) -> Record:
        """Parses a request into one of the call records of this module.

        :raises MalformedRequest: a field is missing or invalid.
        """
        raise NotImplementedError

    def read_id(self, request: HttpRequest) -> str:
        """Returns the request id that the caller set, or an empty string."""
        raise NotImplementedError

    def parse_items(self, body: bytes) -> list[BatchItem]:
        """Parses the items of a batch submission.

        :raises MalformedRequest: the submission is invalid.
        """
        raise NotImplementedError

    def make_results(
        self,
        total: int,
        after: int,
        found: list[ItemResult],
    ) -> Any:
        """Makes a JSON body of batch results.

        :param total: number of items of the batch.
        :param after: position after which the results were read.
        """
        raise NotImplementedError

    def make_helper_headers(
        self, request: HelperRequest
    ) -> list[tuple[str, str]]:
        """Makes the headers of a request to the front of another host."""
        raise NotImplementedError

    def make_error_headers(
        self,
        exc: JacinthmountError,
    ) -> list[tuple[str, str]]:
        """Makes the additional headers of an error response."""
        raise NotImplementedError


class EndpointRequest(Record):
    """One attempt to run a request on an endpoint.

    ``left_s`` is how many seconds remain, or None if there is no deadline.
    ``after_event`` resumes a stream after the event with that number, or is
    None.
    """

    __slots__ = (
        'request_id',
        'endpoint_id',
        'account',
        'host_name',
        'headers',
        'left_s',
        'after_event',
    )

    request_id: str
    endpoint_id: str
    account: str
    host_name: str
    headers: list[tuple[str, str]]
    left_s: float | None
    after_event: int | None


class EndpointResponse(Record):
    """Head of an endpoint's response.

    ``request_id`` is the id that it names, or an empty string, and ``own`` is
    true if the response belongs to the request that was sent.
    ``not_run`` is true if the endpoint guarantees that it did not run the
    request, ``other_endpoint`` if another endpoint now has the address,
    ``signed`` if the response carries the endpoint's signature, ``leaving`` if
    the endpoint announces its shutdown. ``headers`` may be passed on to the
    caller. ``idle_s`` is how long the connection may stay idle, or None.
    ``limit_per_s`` is how many requests per second the endpoint takes from all
    hosts together, 0 if it names no limit.
    """

    __slots__ = (
        'request_id',
        'own',
        'not_run',
        'other_endpoint',
        'signed',
        'leaving',
        'headers',
        'load',
        'idle_s',
        'limit_per_s',
    )

    request_id: str
    own: bool
    not_run: bool
    other_endpoint: bool
    signed: bool
    leaving: bool
    headers: list[tuple[str, str]]
    load: EngineLoad | None
    idle_s: float | None
    limit_per_s: float


class EndpointProtocol:
    """Format of requests to endpoints and of their responses."""

    def make_headers(self, request: EndpointRequest) -> list[tuple[str, str]]:
        """Makes the headers of an attempt."""
        raise NotImplementedError

    def parse_shared_parts(self, headers: dict[str, str]) -> list[str]:
        """Returns the ids of the parts of a prompt that others may share.

        :param headers: headers of a batch item.
        """
        raise NotImplementedError

    def parse_response(
        self,
        request_id: str,
        status: int,
        headers: dict[str, str],
    ) -> EndpointResponse:
        """Parses the head of a response."""
        raise NotImplementedError


class RetirementRequests:
    """Operator requests to drain a host before it is removed.

    :param prefix: prefix of the objects, each named by its host.
    """

    prefix = ''

    async def write_completed(self, host: str) -> None:
        """Reports that a host is drained and may be removed.

        :raises StoreUnavailable: no reply; the call may be repeated.
        """
        raise NotImplementedError
