"""Index of the declarations in force, and checks over all of them."""

from typing import Any

from jacinthmount.declarations import (
    DataCentre,
    Endpoint,
    Evacuation,
    Profile,
    Route,
    Service,
)
from jacinthmount.records import Record, replaced

__all__ = ('Catalogue', 'check_catalogue')

# Tolerance for the rounding error of a sum of shares.
ROUNDING = 1e-9


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
