"""Ports to callers and endpoints whose formats an adapter translates."""

from typing import Any

from jacinthmount.errors import JacinthmountError
from jacinthmount.item_batches import BatchItem, ItemResult
from jacinthmount.ports import EngineLoad
from jacinthmount.records import Record

from jacinthmount_node.net.http_server import HttpRequest

__all__ = (
    'CallerProtocol',
    'EndBatch',
    'EndpointResponse',
    'EndpointProtocol',
    'EndpointRequest',
    'ReadItemBody',
    'ReadResults',
    'RelayedRequest',
    'RetirementRequests',
)


class RelayedRequest(Record):
    """A request to a service, or the submission of a batch.

    ``headers`` are those that the endpoint may see. ``left_s`` is how long the
    caller waits; ``received_events`` is the number of the last event that a
    resumed stream already gave it, or None.
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


class ReadResults(Record):
    """Asks for the results of a batch from a position on."""

    __slots__ = ('batch_id', 'key', 'after', 'wait_s')

    batch_id: str
    key: str
    after: int
    wait_s: float


class ReadItemBody(Record):
    """Asks for the body of an item that has no result yet."""

    __slots__ = ('batch_id', 'key', 'item_id')

    batch_id: str
    key: str
    item_id: str


class EndBatch(Record):
    """Ends a batch."""

    __slots__ = ('batch_id', 'key')

    batch_id: str
    key: str


class CallerProtocol:
    """Format of the requests of callers and of the answers to them."""

    def parse_call(self, request: HttpRequest) -> Record:
        """Tells which call a request is.

        :raises MalformedRequest: a field of it is missing or not valid.
        """
        raise NotImplementedError

    def read_id(self, request: HttpRequest) -> str:
        """Reads the id that the caller gave its request, or nothing."""
        raise NotImplementedError

    def parse_items(self, body: bytes) -> list[BatchItem]:
        """Parses the submission of a batch.

        :raises MalformedRequest: it is not valid.
        """
        raise NotImplementedError

    def make_results(
        self,
        total: int,
        after: int,
        found: list[ItemResult],
    ) -> Any:
        """Shapes results as a JSON body."""
        raise NotImplementedError

    def make_error_headers(
        self,
        exc: JacinthmountError,
    ) -> list[tuple[str, str]]:
        """Tells what an error answer carries beside its body."""
        raise NotImplementedError


class EndpointRequest(Record):
    """One attempt at an endpoint.

    ``left_s`` is None where the endpoint may take its time. ``after_event``
    resumes a stream after the event of that number.
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
    """Head of an endpoint's answer.

    ``own`` tells that it answers this very request, ``not_run`` that the
    endpoint promises not to have run it, ``signed`` that it carries the
    endpoint's signature, ``leaving`` that the endpoint announces its end.
    ``headers`` may go to the caller. ``idle_s`` is how long the connection may
    stay idle, or None.
    """

    __slots__ = (
        'own',
        'not_run',
        'other_endpoint',
        'signed',
        'leaving',
        'headers',
        'load',
        'idle_s',
    )

    own: bool
    not_run: bool
    other_endpoint: bool
    signed: bool
    leaving: bool
    headers: list[tuple[str, str]]
    load: EngineLoad | None
    idle_s: float | None


class EndpointProtocol:
    """Format of requests to endpoints and of their answers."""

    def make_headers(self, request: EndpointRequest) -> list[tuple[str, str]]:
        """Makes the headers of an attempt."""
        raise NotImplementedError

    def parse_response(
        self,
        request_id: str,
        status: int,
        headers: dict[str, str],
    ) -> EndpointResponse:
        """Reads the head of an answer."""
        raise NotImplementedError


class RetirementRequests:
    """Requests of the operator to empty a host before it is removed.

    :param prefix: prefix of the objects, each named by its host.
    """

    prefix = ''

    async def write_completed(self, host: str) -> None:
        """Says that nothing of worth is left on a host.

        :raises StoreUnavailable: no answer; repeat it.
        """
        raise NotImplementedError
