"""Messages between the hosts of the relay."""

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
    """Registration of a host: where it listens and which start it is."""

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
    """What a host has in flight; sent to runners as it changes.

    ``state`` is what a runner says of itself, ``active`` the runner that the
    host takes for the active one. ``leaving`` names endpoints that announced
    their end. ``shares`` is None except at intervals.
    """

    __slots__ = ('host', 'state', 'active', 'uses', 'leaving', 'shares')

    host: str
    state: RunnerState | None
    active: RunnerState | None
    uses: list[EndpointUseReport]
    leaving: list[LeavingEndpoint]
    shares: ShareReport | None


class EndpointViews(Record):
    """What others than the asking host have in flight, by endpoint.

    The lists go with each other: one entry of each for an endpoint. They are
    lists, as every answer holds all endpoints.
    """

    __slots__ = ('endpoint_ids', 'online', 'batch')

    endpoint_ids: list[str]
    online: list[int]
    batch: list[int]


class HostReportReply(Record):
    """What a runner knows; only the active one fills the last two.

    ``leaving`` names endpoints that announced their end. ``views`` is None
    where the runner is not active.

    ``revisions`` tells by prefix how new the objects are that it holds,
    ``parts`` which parts of rates the host may use.
    """

    __slots__ = ('state', 'revisions', 'leaving', 'views', 'parts')

    state: RunnerState
    revisions: dict[str, int]
    leaving: list[LeavingEndpoint]
    views: EndpointViews | None
    parts: list[AccountPart]


class SegmentAsk(Record):
    """Asks the active runner for the result segments of a batch."""

    __slots__ = ('key',)

    key: str


class SegmentCount(Record):
    """Counts the segments of a batch; None where that can't be told surely."""

    __slots__ = ('count',)

    count: int | None


class RunnerClaim(Record):
    """Tells a host which runner has become the active one.

    ``address`` and ``revisions`` let a host that does not know the runner yet
    fetch from it what it lacks.
    """

    __slots__ = ('state', 'address', 'revisions')

    state: RunnerState
    address: str
    revisions: dict[str, int]


class TokenAsk(Record):
    """Asks for tokens of the rate of an account, and where a request may run.

    ``service`` is the one that the request needs.
    """

    __slots__ = ('host', 'account', 'service', 'wanted')

    host: str
    account: str
    service: str
    wanted: int


class TokenGrant(Record):
    """Tokens granted; ``wait_s`` is when to ask again.

    ``known`` is false where the host does not allocate this rate, so that its
    answer tells nothing about the rate. ``endpoint_id`` names where the request
    may run, or nothing where the runner knows of no room.
    """

    __slots__ = ('known', 'granted', 'wait_s', 'endpoint_id')

    known: bool
    granted: int
    wait_s: float
    endpoint_id: str


class CreditAsk(Record):
    """Asks any runner for a token that the one that allocates can't give."""

    __slots__ = ('account',)

    account: str


class BatchAdmission(Record):
    """Asks for room among the waiting tokens of an account on a route."""

    __slots__ = ('account', 'route', 'key', 'tokens', 'cap')

    account: str
    route: str
    key: str
    tokens: int
    cap: int


class BatchAdmissionReply(Record):
    """Tells whether a batch fits; ``known`` that it was accepted before."""

    __slots__ = ('fits', 'known')

    fits: bool
    known: bool


class BatchAccepted(Record):
    """Tells that the manifest of a batch was written, or changed."""

    __slots__ = ('key',)

    key: str


class Forward(Record):
    """Asks a host to pass a question on to the active runner."""

    __slots__ = ('body',)

    body: Record


class SnapshotAsk(Record):
    """Asks for objects newer than the revisions known, by prefix."""

    __slots__ = ('known',)

    known: dict[str, int]


class Snapshot(Record):
    """What the answering host knows, by prefix."""

    __slots__ = ('parts',)

    parts: list[PrefixSnapshot]


class StoreRead(Record):
    """Asks a host to read an object for another one."""

    __slots__ = ('name',)

    name: str


class CopyRead(Record):
    """Asks a runner for its copy of an object that does not change."""

    __slots__ = ('name',)

    name: str


class StoreFound(Record):
    """The object read, or None where it does not exist."""

    __slots__ = ('stored',)

    stored: Stored | None


class StoreWrite(Record):
    """Asks a host to write an object for another one, conditionally."""

    __slots__ = ('name', 'body', 'expected')

    name: str
    body: str
    expected: int


class StoreWritten(Record):
    """The version written, or the one found where it is another."""

    __slots__ = ('version', 'conflict')

    version: int
    conflict: bool


class StoreFailed(Record):
    """The store did not answer a call, or ``refused`` it without effect."""

    __slots__ = ('refused',)

    refused: bool
