"""Messages between relay hosts."""

from jacinthmount.endpoint_table import LeavingEndpoint
from jacinthmount.leadership import RunnerState
from jacinthmount.ports import Stored
from jacinthmount.rate_shares import AccountPart, ShareReport
from jacinthmount.records import Record

from jacinthmount_node.relay.object_watch import PrefixSnapshot

__all__ = (
    'BatchAccepted',
    'BatchAdmission',
    'BatchAdmissionReply',
    'EndpointUseReport',
    'EndpointViews',
    'Forward',
    'HostReport',
    'HostReportReply',
    'RelayHost',
    'RunnerClaim',
    'SegmentAsk',
    'SegmentCount',
    'Snapshot',
    'SnapshotAsk',
    'CopyAbsent',
    'CopyRead',
    'CreditAsk',
    'StoreFailed',
    'StoreFound',
    'StoreRead',
    'StoreWrite',
    'StoreWritten',
    'TokenAsk',
    'TokenGrant',
)


class RelayHost(Record):
    """Registration of a host; ``incarnation`` differs for each start of it."""

    __slots__ = (
        'host',
        'incarnation',
        'data_centre',
        'peer_address',
        'runs_batches',
    )

    host: str
    incarnation: str
    data_centre: str
    peer_address: str
    runs_batches: bool


class EndpointUseReport(Record):
    """Online requests in flight from one host to one endpoint."""

    __slots__ = ('endpoint_id', 'online')

    endpoint_id: str
    online: int


class HostReport(Record):
    """Requests in flight from a host, sent to runners on change.

    ``state`` is the state of the host itself if it is a runner. ``active`` is
    the state of the runner that the host considers active. ``leaving`` lists
    endpoints that announced their shutdown. ``shares`` is None except at
    intervals.
    """

    __slots__ = ('host', 'state', 'active', 'uses', 'leaving', 'shares')

    host: str
    state: RunnerState | None
    active: RunnerState | None
    uses: list[EndpointUseReport]
    leaving: list[LeavingEndpoint]
    shares: ShareReport | None


class EndpointViews(Record):
    """Requests in flight by endpoint, from hosts other than the recipient.

    ``online`` and ``batch`` hold one byte for each endpoint, in the order of
    their ids; ``digest`` is that of the ids. A host that knows other endpoints
    has to ignore the counts.
    """

    __slots__ = ('digest', 'online', 'batch')

    digest: int
    online: bytes
    batch: bytes


class HostReportReply(Record):
    """State known to a runner; only the active one fills the last two fields.

    ``revisions`` holds the latest revision that the runner has of each prefix.
    ``leaving`` lists endpoints that announced their shutdown. ``views`` is None
    if the runner is not active. ``parts`` are the parts of account rates that
    the host may use.
    """

    __slots__ = ('state', 'revisions', 'leaving', 'views', 'parts')

    state: RunnerState
    revisions: dict[str, int]
    leaving: list[LeavingEndpoint]
    views: EndpointViews | None
    parts: list[AccountPart]


class SegmentAsk(Record):
    """Requests the number of result segments of a batch."""

    __slots__ = ('key',)

    key: str


class SegmentCount(Record):
    """Number of segments of a batch; None if the runner can't be certain."""

    __slots__ = ('count',)

    count: int | None


class RunnerClaim(Record):
    """Notifies a host that a runner has become the active one.

    ``address`` and ``revisions`` let a host that does not know the runner yet
    fetch the objects that it lacks from it.
    """

    __slots__ = ('state', 'address', 'revisions')

    state: RunnerState
    address: str
    revisions: dict[str, int]


class TokenAsk(Record):
    """Requests rate tokens of an account, and an endpoint for a request.

    ``service`` is the service that the request needs, or empty if no endpoint
    is to be chosen. ``wanted`` is 0 for a request that has its token and needs
    an endpoint only.
    """

    __slots__ = ('host', 'account', 'service', 'wanted')

    host: str
    account: str
    service: str
    wanted: int


class TokenGrant(Record):
    """Tokens granted; ``wait_s`` is the delay before the next request.

    ``known`` is false if the host does not allocate this rate, so that its
    reply carries no information about the rate. ``endpoint_id`` is the endpoint
    that may run the request, or empty if none has known capacity.
    """

    __slots__ = ('known', 'granted', 'wait_s', 'endpoint_id')

    known: bool
    granted: int
    wait_s: float
    endpoint_id: str


class CreditAsk(Record):
    """Requests a token on credit from any runner, if none can be allocated."""

    __slots__ = ('account',)

    account: str


class BatchAdmission(Record):
    """Requests admission of a batch to the waiting tokens of an account.

    ``cap`` bounds the waiting tokens of the account on the route.
    """

    __slots__ = ('account', 'route', 'key', 'tokens', 'cap')

    account: str
    route: str
    key: str
    tokens: int
    cap: int


class BatchAdmissionReply(Record):
    """Whether a batch fits; ``known`` if it has been accepted before."""

    __slots__ = ('fits', 'known')

    fits: bool
    known: bool


class BatchAccepted(Record):
    """Notifies a runner that a batch manifest was written or changed."""

    __slots__ = ('key',)

    key: str


class Forward(Record):
    """Requests that a host forward a message to the active runner."""

    __slots__ = ('body',)

    body: Record


class SnapshotAsk(Record):
    """Requests objects newer than the known revision of each prefix."""

    __slots__ = ('known',)

    known: dict[str, int]


class Snapshot(Record):
    """Objects known to the replying host, by prefix."""

    __slots__ = ('parts',)

    parts: list[PrefixSnapshot]


class StoreRead(Record):
    """Requests a read of an object on behalf of another host."""

    __slots__ = ('name',)

    name: str


class CopyRead(Record):
    """Requests an immutable object of a runner, which reads it if needed."""

    __slots__ = ('name',)

    name: str


class CopyAbsent(Record):
    """Reply of a runner that has just found that an object does not exist."""

    __slots__ = ('name',)

    name: str


class StoreFound(Record):
    """The object read, or None if it does not exist."""

    __slots__ = ('stored',)

    stored: Stored | None


class StoreWrite(Record):
    """Requests a conditional write of an object on behalf of another host."""

    __slots__ = ('name', 'body', 'expected')

    name: str
    body: str
    expected: int


class StoreWritten(Record):
    """The version written, or on a conflict the version found."""

    __slots__ = ('version', 'conflict')

    version: int
    conflict: bool


class StoreFailed(Record):
    """A store call without a reply, or ``refused`` without effect."""

    __slots__ = ('refused',)

    refused: bool
