"""Declarations made by operators: records, INI schemas and validation."""

import types
from collections.abc import Mapping
from typing import Any

from jacinthmount.errors import InvalidDeclarations
from jacinthmount.ini import Option, iter_sections, make_option, parse_section
from jacinthmount.records import Record, replaced

__all__ = (
    'Account',
    'Catalogue',
    'DataCentre',
    'Endpoint',
    'Evacuation',
    'Profile',
    'Route',
    'SCHEMAS',
    'Service',
    'check_catalogue',
    'object_name',
    'parse_declarations',
)

CONFIG_PREFIX = 'fleet/config/'
MAX_NAME_LENGTH = 63
# Tolerance for the rounding error of a sum of shares.
ROUNDING = 1e-9
NAME_ALPHABET = frozenset('abcdefghijklmnopqrstuvwxyz0123456789-_.')


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


class Catalogue:
    """Index of the declarations in force, by kind and name."""

    __slots__ = ('_kinds', '_endpoints')

    def __init__(self, *, records: list[Record]) -> None:
        self._kinds: dict[type[Record], dict[str, Any]] = {}
        for record in records:
            name = getattr(record, 'name', '')
            self._of_kind(type(record))[name] = record
        self._mark_evacuated()
        self._endpoints: dict[tuple[str, str], list[Endpoint]] = {}
        for endpoint in self._of_kind(Endpoint).values():
            key = (endpoint.service, endpoint.data_centre)
            self._endpoints.setdefault(key, []).append(endpoint)

    def find(self, record_type: type, name: str) -> Any:
        """Returns the record of a kind and name, or None."""
        return self._of_kind(record_type).get(name)

    def list_records(self, record_type: type) -> list[Any]:
        """Lists the records of one kind in name order."""
        return [
            record for _, record in sorted(self._of_kind(record_type).items())
        ]

    def endpoints(self, service: str, data_centre: str) -> list[Endpoint]:
        """Lists the endpoints of a service in one data centre."""
        return self._endpoints.get((service, data_centre), [])

    def profile_of(self, service: str) -> Profile | None:
        """Returns the profile of a service, or None."""
        declared = self.find(Service, service)
        return self.find(Profile, declared.profile) if declared else None

    def kind_of(self, service: str) -> str:
        """Returns the kind of a service, or an empty string if unknown."""
        declared = self.find(Service, service)
        return declared.kind if declared else ''

    def _mark_evacuated(self) -> None:
        evacuated = self._of_kind(Evacuation)
        endpoints = self._of_kind(Endpoint)
        for name, endpoint in endpoints.items():
            if endpoint.data_centre in evacuated:
                endpoints[name] = replaced(endpoint, leaving=True)

    def _of_kind(self, record_type: type) -> dict[str, Any]:
        return self._kinds.setdefault(record_type, {})


def object_name(kind: str, name: str) -> str:
    """Returns the object name of a declaration in the object API."""
    return f'{CONFIG_PREFIX}{kind}/{name}'


def parse_declarations(sources: dict[str, str]) -> dict[str, Record]:
    """Parses and validates all declaration files of a directory.

    :param sources: INI text by file name.
    :returns: records by object name.
    :raises InvalidDeclarations: with a list of all problems.
    """
    problems: list[str] = []
    records: dict[str, Record] = {}
    for source, text in sorted(sources.items()):
        for section, raw in iter_sections(text, source, problems):
            _parse_declaration(f'{source}: [{section}]', raw, records, problems)
    problems.extend(check_catalogue(list(records.values())))
    if problems:
        raise InvalidDeclarations(problems=problems)
    return records


def check_catalogue(records: list[Record]) -> list[str]:
    """Lists invalid references between records and invalid share sums."""
    catalogue = Catalogue(records=records)
    problems = _check_shares(catalogue.list_records(DataCentre))
    for service in catalogue.list_records(Service):
        if catalogue.find(Profile, service.profile) is None:
            problems.append(
                f'[service {service.name}]: profile: '
                f'no profile {service.profile!r}',
            )
        if bool(service.weights) is not bool(service.version):
            problems.append(
                f'[service {service.name}]: version: '
                'give weights and version together, or neither',
            )
    for endpoint in catalogue.list_records(Endpoint):
        problems.extend(_check_endpoint(catalogue, endpoint))
    for evacuation in catalogue.list_records(Evacuation):
        if catalogue.find(DataCentre, evacuation.name) is None:
            problems.append(
                f'[evacuation {evacuation.name}]: '
                f'no data centre {evacuation.name!r}',
            )
    for route in catalogue.list_records(Route):
        target = catalogue.find(Service, route.service)
        if target is None or target.kind != 'plain':
            problems.append(
                f'[route {route.name}]: service: '
                f'no plain service {route.service!r}',
            )
    return problems


def _parse_declaration(
    location: str,
    raw: dict[str, str],
    records: dict[str, Record],
    problems: list[str],
) -> None:
    kind, _, name = location.split('[', 1)[1].rstrip(']').partition(' ')
    if kind not in SCHEMAS:
        allowed = ', '.join(sorted(SCHEMAS))
        problems.append(f'{location}: unknown kind; allowed: {allowed}')
        return
    if not _is_valid_name(name):
        problems.append(
            f'{location}: name: use 1 to {MAX_NAME_LENGTH} of a-z 0-9 - _ .',
        )
        return
    if object_name(kind, name) in records:
        problems.append(f'{location}: declared twice')
        return
    record_type, schema = SCHEMAS[kind]
    problem_count = len(problems)
    fields = parse_section(schema, raw, location, problems)
    if len(problems) == problem_count:
        record = record_type(name=name, write_id='', **fields)
        records[object_name(kind, name)] = record


def _is_valid_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_LENGTH and set(name) <= NAME_ALPHABET


def _check_shares(data_centres: list[DataCentre]) -> list[str]:
    total = sum(data_centre.share for data_centre in data_centres)
    if total > 1 + ROUNDING:
        return [f'[data_centre]: share: the parts sum to {total:g}, above 1']
    return []


def _check_endpoint(catalogue: Catalogue, endpoint: Endpoint) -> list[str]:
    location = f'[endpoint {endpoint.name}]'
    problems = []
    if catalogue.find(Service, endpoint.service) is None:
        problems.append(f'{location}: service: no service {endpoint.service!r}')
    if catalogue.find(DataCentre, endpoint.data_centre) is None:
        problems.append(
            f'{location}: data_centre: no data centre {endpoint.data_centre!r}',
        )
    host, _, port = endpoint.address.rpartition(':')
    if not host or not port.isdecimal():
        problems.append(
            f'{location}: address: {endpoint.address!r} is not IP:port'
        )
    return problems
