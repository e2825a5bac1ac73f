"""Configuration propagation: a host never reverts an object to an old version.

The platform creates, changes, deletes and recreates one object. Two hosts
receive it by watches, listings, digests and delayed pushes; one of them
restarts with an empty table. The tables are the production code.
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


class DropsTombstones(ConfigTable):
    """Broken variant: a deletion leaves no tombstone."""

    __slots__ = ()

    def merge(self, objects: list[Stored]) -> list[Stored]:
        """Merges objects and removes the tombstones."""
        changed = super().merge(objects)
        for stored in changed:
            if stored.body is None:
                self._current.pop(stored.name, None)
                for bucket in self._buckets:
                    bucket.pop(stored.name, None)
        return changed


class AcceptsAnyVersion(ConfigTable):
    """Broken variant: the last message wins, whatever its version."""

    __slots__ = ()

    def merge(self, objects: list[Stored]) -> list[Stored]:
        """Merges objects of any version."""
        for stored in objects:
            self._current.pop(stored.name, None)
            for bucket in self._buckets:
                bucket.pop(stored.name, None)
        return super().merge(objects)


class IgnoresListingRevision(ConfigTable):
    """Broken variant: the revision of a listing is ignored.

    Objects that the listing lacks are then not known to be deleted.
    """

    __slots__ = ()

    def load(self, listing: Listing) -> list[Stored]:
        """Merges only the objects in the listing."""
        return self.merge(listing.objects)


class Rules:
    """Table class under test, which broken variants replace."""

    __slots__ = ('table',)

    def __init__(self, *, table: type[ConfigTable] = ConfigTable) -> None:
        self.table = table


def build(rules: Rules) -> Protocol:
    """Builds the specification."""
    empty = freeze(rules.table())
    return Protocol(
        name='configuration spread',
        candidate=False,
        # ``known`` is the newest version that each host has received.
        fields=('revision', 'tables', 'known', 'restarts'),
        initial=(0, (empty, empty), (0, 0), 0),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={'never_reverts': _never_reverts},
    )


def _never_reverts(fields: dict) -> bool:
    return all(
        _is_current(thaw(table), known)
        for table, known in zip(fields['tables'], fields['known'], strict=True)
    )


def _is_current(table: ConfigTable, known: int) -> bool:
    stored = table.read(NAME)
    if stored is not None:
        return stored.version >= known
    return known == 0 or HISTORY[known - 1].body is None


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    revision, tables, known, restarts = fields
    successors = []
    if revision < len(HISTORY):
        successors.append((
            f'platform writes {revision + 1}',
            (revision + 1, tables, known, restarts),
        ))
    for host in range(2):
        successors.extend(_host_steps(fields, host))
    if not restarts:
        successors.append((
            'host 1 restarts',
            (
                revision,
                (tables[0], freeze(rules.table())),
                (known[0], 0),
                1,
            ),
        ))
    return successors


def _host_steps(fields: tuple, host: int) -> list[tuple[str, tuple]]:
    revision, tables, known, _ = fields
    successors = []
    for version in range(1, revision + 1):
        # A watch delivers the newest version; a push from a slow host may
        # deliver any older one.
        table = thaw(tables[host])
        changed = table.merge([HISTORY[version - 1]])
        newest_known = max([
            known[host],
            *(stored.version for stored in changed),
        ])
        successors.append((
            f'host {host} is sent {version}',
            _with(fields, host, table, newest_known),
        ))
    if revision:
        table = thaw(tables[host])
        newest = HISTORY[revision - 1]
        listed = [] if newest.body is None else [newest]
        table.load(Listing(objects=listed, revision=revision))
        successors.append((
            f'host {host} lists',
            _with(fields, host, table, revision),
        ))
    successors.append((f'host {host} compares', _compare(fields, host)))
    return successors


def _compare(fields: tuple, host: int) -> tuple:
    _, tables, known, _ = fields
    own = thaw(tables[host])
    other = thaw(tables[1 - host])
    differing_buckets = other.differing(own.digest())
    changed = own.merge(
        other.newer_than(
            own.versions_in_buckets(
                [bucket.bucket for bucket in differing_buckets],
            )
        )
    )
    newest_known = max([known[host], *(stored.version for stored in changed)])
    return _with(fields, host, own, newest_known)


def _with(
    fields: tuple,
    host: int,
    table: ConfigTable,
    newest_known: int,
) -> tuple:
    revision, tables, known, restarts = fields
    new_tables = list(tables)
    new_tables[host] = freeze(table)
    new_known = list(known)
    new_known[host] = newest_known
    return (revision, tuple(new_tables), tuple(new_known), restarts)
