"""Configuration spread: no host shows an older state of an object again.

The platform creates, changes, deletes and creates one object again. Two hosts
learn of it by watches, listings, digests and old pushes that arrive late; one
of them restarts empty. The tables are the project's own code.
"""

from jacinthmount.ports import Listing, Stored
from jacinthmount.table import ConfigTable
from minicheck import Protocol

from spec.checking import freeze, thaw

__all__ = ('Rules', 'build')

NAME = 'fleet/config/account/a'
HISTORY = (
    Stored(name=NAME, version=1, body='first'),
    Stored(name=NAME, version=2, body='second'),
    Stored(name=NAME, version=3, body=None),
    Stored(name=NAME, version=4, body='again'),
)


class DropsDeleted(ConfigTable):
    """Broken variant: a deletion leaves nothing behind."""

    __slots__ = ()

    def merge(self, objects: list[Stored]) -> list[Stored]:
        """Forgets deleted objects."""
        changed = super().merge(objects)
        for one in changed:
            if one.body is None:
                self._current.pop(one.name, None)
                for bucket in self._buckets:
                    bucket.pop(one.name, None)
        return changed


class TakesAny(ConfigTable):
    """Broken variant: the last message wins."""

    __slots__ = ()

    def merge(self, objects: list[Stored]) -> list[Stored]:
        """Takes objects of any version."""
        for one in objects:
            self._current.pop(one.name, None)
            for bucket in self._buckets:
                bucket.pop(one.name, None)
        return super().merge(objects)


class NoFloor(ConfigTable):
    """Broken variant: a listing does not tell what was deleted before."""

    __slots__ = ()

    def load(self, listing: Listing) -> list[Stored]:
        """Takes only what the listing holds."""
        return self.merge(listing.objects)


class Rules:
    """What a broken variant changes."""

    __slots__ = ('table',)

    def __init__(self, *, table: type[ConfigTable] = ConfigTable) -> None:
        """Keeps every rule by default."""
        self.table = table


def build(rules: Rules) -> Protocol:
    """Builds the specification."""
    empty = freeze(rules.table())
    return Protocol(
        name='configuration spread',
        candidate=False,
        # ``known`` is the newest version each host was ever told of.
        fields=('revision', 'tables', 'known', 'restarts'),
        initial=(0, (empty, empty), (0, 0), 0),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={'never_reverts': _never_reverts},
    )


def _never_reverts(fields: dict) -> bool:
    return all(
        _shows(thaw(table), known)
        for table, known in zip(fields['tables'], fields['known'], strict=True)
    )


def _shows(table: ConfigTable, known: int) -> bool:
    found = table.read(NAME)
    if found is not None:
        return found.version >= known
    return known == 0 or HISTORY[known - 1].body is None


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    revision, tables, known, restarts = fields
    found = []
    if revision < len(HISTORY):
        found.append((
            f'platform writes {revision + 1}',
            (revision + 1, tables, known, restarts),
        ))
    for host in range(2):
        found.extend(_host_steps(fields, host))
    if not restarts:
        found.append((
            'host 1 restarts',
            (
                revision,
                (tables[0], freeze(rules.table())),
                (known[0], 0),
                1,
            ),
        ))
    return found


def _host_steps(fields: tuple, host: int) -> list[tuple[str, tuple]]:
    revision, tables, known, _ = fields
    found = []
    for version in range(1, revision + 1):
        # A watch brings the newest; a push from a slow host any older one.
        table = thaw(tables[host])
        changed = table.merge([HISTORY[version - 1]])
        told = max([known[host], *(one.version for one in changed)])
        found.append((
            f'host {host} is sent {version}',
            _with(fields, host, table, told),
        ))
    if revision:
        table = thaw(tables[host])
        newest = HISTORY[revision - 1]
        listed = [] if newest.body is None else [newest]
        table.load(Listing(objects=listed, revision=revision))
        found.append((
            f'host {host} lists',
            _with(fields, host, table, revision),
        ))
    found.append((f'host {host} compares', _compare(fields, host)))
    return found


def _compare(fields: tuple, host: int) -> tuple:
    _, tables, known, _ = fields
    own = thaw(tables[host])
    other = thaw(tables[1 - host])
    theirs = other.differing(own.digest())
    changed = own.merge(
        other.newer_than(
            own.versions_in_buckets(
                [bucket.bucket for bucket in theirs],
            )
        )
    )
    told = max([known[host], *(one.version for one in changed)])
    return _with(fields, host, own, told)


def _with(
    fields: tuple,
    host: int,
    table: ConfigTable,
    told: int,
) -> tuple:
    revision, tables, known, restarts = fields
    new_tables = list(tables)
    new_tables[host] = freeze(table)
    new_known = list(known)
    new_known[host] = told
    return (revision, tuple(new_tables), tuple(new_known), restarts)
