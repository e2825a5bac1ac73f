"""Messages between hosts on peer connections."""

from jacinthmount.crash_strikes import CrashStrike
from jacinthmount.ports import Stored
from jacinthmount.records import Record
from jacinthmount.shares import Handover
from jacinthmount.table import BucketVersions

__all__ = (
    'Ack',
    'Digest',
    'DigestReply',
    'EngineClosed',
    'EngineOnline',
    'EngineReport',
    'EngineReportReply',
    'EngineSilent',
    'EngineView',
    'Envelope',
    'Fetch',
    'Give',
    'Hello',
    'LoanAsk',
    'LoanReply',
    'Ping',
    'Pong',
    'Push',
    'Strikes',
    'Take',
    'TakeReply',
    'Withdraw',
)


class Envelope(Record):
    """A message on a peer connection.

    A reply repeats the number of its request.
    """

    __slots__ = ('number', 'reply', 'body')

    number: int
    reply: bool
    body: Record


class Hello(Record):
    """First message on a peer connection; identifies the sender."""

    __slots__ = ('host', 'incarnation', 'data_centre')

    host: str
    incarnation: str
    data_centre: str


class Ack(Record):
    """Empty reply."""

    __slots__ = ()


class Ping(Record):
    """Liveness check of a host in the same data centre."""

    __slots__ = ('host', 'share_version', 'revision')

    host: str
    share_version: int
    revision: int


class Pong(Record):
    """Reply to a ping.

    ``unresponsive`` lists hosts that stopped sending pings.
    """

    __slots__ = ('share_version', 'revision', 'unresponsive')

    share_version: int
    revision: int
    unresponsive: list[str]


class Push(Record):
    """Changed configuration objects."""

    __slots__ = ('objects',)

    objects: list[Stored]


class Digest(Record):
    """Digest of the sender's configuration, and withdrawn key ids."""

    __slots__ = ('digest', 'withdrawn')

    digest: list[int]
    withdrawn: list[str]


class DigestReply(Record):
    """Object versions in the buckets that differ, and withdrawn key ids."""

    __slots__ = ('buckets', 'withdrawn')

    buckets: list[BucketVersions]
    withdrawn: list[str]


class Fetch(Record):
    """Requests the objects newer than these versions."""

    __slots__ = ('buckets',)

    buckets: list[BucketVersions]


class Withdraw(Record):
    """Ids of withdrawn keys."""

    __slots__ = ('key_ids',)

    key_ids: list[str]


class Take(Record):
    """Requests tokens from the host that owns an account's bucket.

    ``forwarded`` marks a request of an owner in another data centre whose own
    bucket lacks tokens.
    """

    __slots__ = ('account', 'tokens', 'forwarded')

    account: str
    tokens: float
    forwarded: bool


class TakeReply(Record):
    """Result of a token request.

    ``owned`` is false if the host has no usable bucket of the account.
    """

    __slots__ = ('granted', 'owned', 'retry_after_s')

    granted: bool
    owned: bool
    retry_after_s: float


class LoanAsk(Record):
    """Requests a loan from an account's bucket in another data centre."""

    __slots__ = ('account', 'loan_id')

    account: str
    loan_id: str


class LoanReply(Record):
    """The loan granted; its capacity is zero if there is none."""

    __slots__ = ('loan_id', 'rate_per_s', 'capacity', 'level', 'valid_s')

    loan_id: str
    rate_per_s: float
    capacity: float
    level: float
    valid_s: float


class Give(Record):
    """Hands buckets over to their new owner."""

    __slots__ = ('handover',)

    handover: Handover


class EngineClosed(Record):
    """Whether an engine is closed to new work, as it is before an order."""

    __slots__ = ('engine', 'closed')

    engine: str
    closed: bool


class EngineSilent(Record):
    """Whether an engine is unresponsive to load polls."""

    __slots__ = ('engine', 'silent')

    engine: str
    silent: bool


class EngineOnline(Record):
    """Online requests in flight on one engine, and whether more wait."""

    __slots__ = ('engine', 'online', 'waiting')

    engine: str
    online: int
    waiting: bool


class EngineReport(Record):
    """Online requests of one host on engines that the receiver owns."""

    __slots__ = ('host', 'engines')

    host: str
    engines: list[EngineOnline]


class EngineView(Record):
    """State of an engine that its owner returns to a reporting host.

    ``elsewhere`` counts the online requests of other hosts; ``contenders``
    counts the hosts that use the engine for online requests or wait for it.
    The newest load report of the engine is ``age_s`` seconds old.
    """

    __slots__ = (
        'engine',
        'elsewhere',
        'contenders',
        'silent',
        'running',
        'waiting',
        'age_s',
    )

    engine: str
    elsewhere: int
    contenders: int
    silent: bool
    running: int
    waiting: int
    age_s: float


class EngineReportReply(Record):
    """Views of the reported engines."""

    __slots__ = ('views',)

    views: list[EngineView]


class Strikes(Record):
    """Strikes against requests that were in flight at crashes of endpoints.

    ``asks`` requests those of the recipient as well.
    """

    __slots__ = ('strikes', 'asks')

    strikes: list[CrashStrike]
    asks: bool
