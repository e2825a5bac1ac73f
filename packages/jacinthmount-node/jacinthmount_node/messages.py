"""Messages between hosts."""

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
    'Take',
    'TakeReply',
    'Withdraw',
)


class Envelope(Record):
    """A message on a peer stream; a reply repeats the number."""

    __slots__ = ('number', 'reply', 'body')

    number: int
    reply: bool
    body: Record


class Hello(Record):
    """First message of a stream: who speaks."""

    __slots__ = ('host', 'incarnation', 'data_centre')

    host: str
    incarnation: str
    data_centre: str


class Ack(Record):
    """Empty reply."""

    __slots__ = ()


class Ping(Record):
    """Question to a host of the same data centre."""

    __slots__ = ('host', 'share_version', 'revision')

    host: str
    share_version: int
    revision: int


class Pong(Record):
    """Answer to a ping; ``unresponsive`` lists hosts that stopped asking."""

    __slots__ = ('share_version', 'revision', 'unresponsive')

    share_version: int
    revision: int
    unresponsive: list[str]


class Push(Record):
    """Changed configuration objects."""

    __slots__ = ('objects',)

    objects: list[Stored]


class Digest(Record):
    """Summary of the configuration held, and withdrawn key ids."""

    __slots__ = ('digest', 'withdrawn')

    digest: list[int]
    withdrawn: list[str]


class DigestReply(Record):
    """Versions in the buckets that differ, and withdrawn key ids."""

    __slots__ = ('buckets', 'withdrawn')

    buckets: list[BucketVersions]
    withdrawn: list[str]


class Fetch(Record):
    """Asks for objects newer than these versions."""

    __slots__ = ('buckets',)

    buckets: list[BucketVersions]


class Withdraw(Record):
    """Key ids that were withdrawn."""

    __slots__ = ('key_ids',)

    key_ids: list[str]


class Take(Record):
    """Asks the owner of an account's bucket for tokens.

    ``forwarded`` tells that another owner asks, which is short itself.
    """

    __slots__ = ('account', 'tokens', 'forwarded')

    account: str
    tokens: float
    forwarded: bool


class TakeReply(Record):
    """Whether tokens were taken; ``owned`` is no where the host can't say."""

    __slots__ = ('granted', 'owned', 'retry_after_s')

    granted: bool
    owned: bool
    retry_after_s: float


class LoanAsk(Record):
    """Asks another data centre for a part of its bucket."""

    __slots__ = ('account', 'loan_id')

    account: str
    loan_id: str


class LoanReply(Record):
    """The part lent; its capacity is zero where nothing is lent."""

    __slots__ = ('loan_id', 'rate_per_s', 'capacity', 'level', 'valid_s')

    loan_id: str
    rate_per_s: float
    capacity: float
    level: float
    valid_s: float


class Give(Record):
    """Buckets handed to their new owner."""

    __slots__ = ('handover',)

    handover: Handover


class EngineClosed(Record):
    """Whether an engine gets no new work while it is given an order."""

    __slots__ = ('engine', 'closed')

    engine: str
    closed: bool


class EngineSilent(Record):
    """Whether an engine has stopped to answer."""

    __slots__ = ('engine', 'silent')

    engine: str
    silent: bool


class EngineOnline(Record):
    """Online requests in flight on one engine, and whether others wait."""

    __slots__ = ('engine', 'online', 'waiting')

    engine: str
    online: int
    waiting: bool


class EngineReport(Record):
    """Online requests of one host on engines that another decides about."""

    __slots__ = ('host', 'engines')

    host: str
    engines: list[EngineOnline]


class EngineView(Record):
    """What the host that runs an engine's batch knows of it."""

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
    """Views of the engines reported."""

    __slots__ = ('views',)

    views: list[EngineView]
