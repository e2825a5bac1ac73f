"""Messages between the hosts of the relay."""

from jacinthmount.leadership import RunnerState
from jacinthmount.records import Record

from jacinthmount_node.relay.object_watch import PrefixSnapshot

__all__ = (
    'BatchAccepted',
    'BatchAdmission',
    'BatchAdmissionReply',
    'EndpointUseReport',
    'EndpointView',
    'HostReport',
    'HostReportReply',
    'RelayHost',
    'Snapshot',
    'SnapshotAsk',
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

    ``waiting`` counts online requests that wait for an endpoint.
    """

    __slots__ = ('host', 'state', 'waiting', 'uses')

    host: str
    state: RunnerState | None
    waiting: int
    uses: list[EndpointUseReport]


class EndpointView(Record):
    """What others than the asking host have in flight on an endpoint."""

    __slots__ = ('endpoint_id', 'online', 'batch')

    endpoint_id: str
    online: int
    batch: int


class HostReportReply(Record):
    """What a runner knows; ``views`` is empty unless it is the active one."""

    __slots__ = ('state', 'config_revision', 'views')

    state: RunnerState
    config_revision: int
    views: list[EndpointView]


class TokenAsk(Record):
    """Asks for tokens of the rate of an account."""

    __slots__ = ('account', 'wanted')

    account: str
    wanted: int


class TokenGrant(Record):
    """Tokens granted; ``wait_s`` is when to ask again."""

    __slots__ = ('granted', 'wait_s')

    granted: int
    wait_s: float


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


class SnapshotAsk(Record):
    """Asks for configuration and registrations newer than what is known."""

    __slots__ = ('config_revision',)

    config_revision: int


class Snapshot(Record):
    """What the answering host knows, by prefix."""

    __slots__ = ('parts',)

    parts: list[PrefixSnapshot]
