"""Declarations made by operators: their records and INI schemas."""

import types
from collections.abc import Mapping

from jacinthmount.ini import Option, make_option
from jacinthmount.records import Record

__all__ = (
    'Account',
    'DataCentre',
    'Endpoint',
    'Evacuation',
    'Profile',
    'Route',
    'SCHEMAS',
    'Service',
    'object_name',
)

CONFIG_PREFIX = 'fleet/config/'


class DataCentre(Record):
    """A data centre and its fraction of every account's rate and burst."""

    __slots__ = (
        'name',
        'region',
        'share',
        'loads',
        'load_rate_mib_per_s',
        'write_id',
    )

    name: str
    region: str
    share: float
    loads: int
    load_rate_mib_per_s: float
    write_id: str


class Profile(Record):
    """Queueing, deadline and retry rules for the requests of a service."""

    __slots__ = (
        'name',
        'lane',
        'deadline_s',
        'queue_limit',
        'idempotent',
        'max_attempts',
        'batch_share',
        'write_id',
    )

    name: str
    lane: str
    deadline_s: float
    queue_limit: int
    idempotent: bool
    max_attempts: int
    batch_share: float
    write_id: str


class Service(Record):
    """A model or a plain HTTP service that callers can address."""

    __slots__ = (
        'name',
        'kind',
        'profile',
        'weights',
        'version',
        'adapters',
        'write_id',
    )

    name: str
    kind: str
    profile: str
    weights: str
    version: str
    adapters: list[str]
    write_id: str


class Endpoint(Record):
    """One engine, or one address of a plain service."""

    __slots__ = (
        'name',
        'service',
        'data_centre',
        'address',
        'slots',
        'fenced',
        'role',
        'leaving',
        'write_id',
    )

    name: str
    service: str
    data_centre: str
    address: str
    slots: int
    fenced: bool
    role: str
    leaving: bool
    write_id: str


class Account(Record):
    """A client account and its limits for the whole fleet."""

    __slots__ = ('name', 'rate_per_s', 'burst', 'weight', 'write_id')

    name: str
    rate_per_s: float
    burst: float
    weight: float
    write_id: str


class Route(Record):
    """A path of a plain service; an open route requires no key."""

    __slots__ = ('name', 'service', 'open', 'write_id')

    name: str
    service: str
    open: bool
    write_id: str


class Evacuation(Record):
    """Requests that a data centre's endpoints get no new requests.

    ``name`` is the name of the data centre.
    """

    __slots__ = ('name', 'write_id')

    name: str
    write_id: str


SCHEMAS: Mapping[str, tuple[type[Record], tuple[Option, ...]]] = (
    types.MappingProxyType({
        'data_centre': (
            DataCentre,
            (
                make_option(
                    'region', 'text', 'name', 'Region of the data centre.'
                ),
                make_option(
                    'share',
                    'float',
                    'fraction',
                    'Fraction of each rate and burst; the sum is at most 1.',
                    low=0,
                    high=1,
                ),
                make_option(
                    'loads',
                    'int',
                    'engines',
                    'Engines that load weights from the store at a time.',
                    default='1',
                    low=1,
                    high=64,
                ),
                make_option(
                    'load_rate_mib_per_s',
                    'float',
                    'MiB a second',
                    "Part of the weight store's rate; 0 means no limit.",
                    default='0',
                    low=0,
                    high=1000000,
                ),
            ),
        ),
        'evacuation': (Evacuation, ()),
        'profile': (
            Profile,
            (
                make_option(
                    'lane',
                    'text',
                    'word',
                    'Priority lane.',
                    choices=['online', 'batch'],
                    default='online',
                ),
                make_option(
                    'deadline_s',
                    'float',
                    'seconds',
                    'Longest time from arrival to the last byte.',
                    default='60',
                    low=0.1,
                    high=86400,
                ),
                make_option(
                    'queue_limit',
                    'int',
                    'requests',
                    'Requests that may wait in the queue of one host.',
                    default='200',
                    low=0,
                    high=100000,
                ),
                make_option(
                    'idempotent',
                    'bool',
                    'yes or no',
                    'Whether a request of unknown outcome may be retried.',
                    default='yes',
                ),
                make_option(
                    'max_attempts',
                    'int',
                    'attempts',
                    'Most attempts for one idempotent request.',
                    default='3',
                    low=1,
                    high=10,
                ),
                make_option(
                    'batch_share',
                    'float',
                    'fraction',
                    'Fraction of the slots of an engine for batch items.',
                    default='1.0',
                    low=0,
                    high=1,
                ),
            ),
        ),
        'service': (
            Service,
            (
                make_option(
                    'kind',
                    'text',
                    'word',
                    'Model engine or plain HTTP service.',
                    choices=['model', 'plain'],
                    default='model',
                ),
                make_option(
                    'profile', 'text', 'name', 'Profile of the service.'
                ),
                make_option(
                    'weights',
                    'text',
                    'name',
                    'Weights that its engines load; empty sends no orders.',
                    default='',
                ),
                make_option(
                    'version',
                    'text',
                    'name',
                    'Version of the weights; required with weights.',
                    default='',
                ),
                make_option(
                    'adapters',
                    'list',
                    'name, ...',
                    'Adapters that its engines load.',
                    default='',
                ),
            ),
        ),
        'endpoint': (
            Endpoint,
            (
                make_option(
                    'service', 'text', 'name', 'Service that it serves.'
                ),
                make_option('data_centre', 'text', 'name', 'Its location.'),
                make_option(
                    'address', 'text', 'IP:port', 'Address for requests.'
                ),
                make_option(
                    'slots',
                    'int',
                    'requests',
                    'Requests that run at the same time.',
                    default='8',
                    low=1,
                    high=4096,
                ),
                make_option(
                    'fenced',
                    'bool',
                    'yes or no',
                    'Whether it rejects orders with a lower fencing number.',
                    default='no',
                ),
                make_option(
                    'role',
                    'text',
                    'name',
                    'Role of the engine; empty leaves it unchanged.',
                    default='',
                ),
                make_option(
                    'leaving',
                    'bool',
                    'yes or no',
                    'Whether it receives no new requests.',
                    default='no',
                ),
            ),
        ),
        'account': (
            Account,
            (
                make_option(
                    'rate_per_s',
                    'float',
                    'requests per second',
                    'Sustained rate over the fleet.',
                    low=0.01,
                    high=100000,
                ),
                make_option(
                    'burst',
                    'float',
                    'requests',
                    'Requests above the rate that are accepted at once.',
                    low=1,
                    high=1000000,
                ),
                make_option(
                    'weight',
                    'float',
                    'ratio',
                    'Relative part of an engine under contention.',
                    default='1',
                    low=0.01,
                    high=100,
                ),
            ),
        ),
        'route': (
            Route,
            (
                make_option(
                    'service', 'text', 'name', 'Plain service behind the path.'
                ),
                make_option(
                    'open',
                    'bool',
                    'yes or no',
                    'Whether callers may call it without a key.',
                    default='no',
                ),
            ),
        ),
    })
)


def object_name(kind: str, name: str) -> str:
    """Returns the object name of a declaration in the object API."""
    return f'{CONFIG_PREFIX}{kind}/{name}'
