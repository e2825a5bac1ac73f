"""Differences between declarations and the configuration in force."""

from jacinthmount.declarations import CONFIG_PREFIX, DataCentre
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import Record, parse_json, replaced, serialize_json

__all__ = ('Change', 'check_shares', 'compare', 'describe_change')

ROUNDING = 1e-9
# References come before what refers to them.
KIND_ORDER = (
    'data_centre',
    'profile',
    'service',
    'endpoint',
    'account',
    'route',
)


class Change(Record):
    """One object to write; ``body`` is None for a deletion."""

    __slots__ = ('name', 'expected', 'old', 'body')

    name: str
    expected: int
    old: str | None
    body: str | None


def compare(
    records: dict[str, Record],
    found: list[Stored],
) -> list[Change]:
    """Lists the changes that bring the declarations into force.

    :param records: declared records by object name.
    :param found: configuration objects of the platform.
    """
    in_force = {one.name: one for one in found}
    changes = []
    for name in sorted(records, key=_order):
        body = serialize_json(records[name])
        old = in_force.get(name)
        if old is None or _bare(old.body or '', type(records[name])) != body:
            changes.append(
                Change(
                    name=name,
                    expected=old.version if old else ABSENT,
                    old=old.body if old else None,
                    body=body,
                )
            )
    for name in sorted(set(in_force) - set(records), key=_order, reverse=True):
        old = in_force[name]
        changes.append(
            Change(
                name=name,
                expected=old.version,
                old=old.body,
                body=None,
            )
        )
    return changes


def check_shares(
    records: dict[str, Record],
    found: list[Stored],
) -> list[str]:
    """Refuses to raise one part of the limits before another is lowered.

    Hosts learn of a change at different times, so the larger of the old and
    the new parts must still sum to at most one.
    """
    shares: dict[str, float] = {}
    for one in found:
        if _kind(one.name) == 'data_centre':
            old = parse_json(DataCentre, one.body or '')
            shares[old.name] = old.share
    old_total = sum(shares.values())
    for record in records.values():
        if isinstance(record, DataCentre):
            shares[record.name] = max(
                record.share,
                shares.get(record.name, 0.0),
            )
    total = sum(shares.values())
    if total > max(1.0, old_total) + ROUNDING:
        return [
            '[data_centre]: share: lower parts first, apply --wait, then '
            f'raise others; old and new parts together reach {total:g}',
        ]
    return []


def describe_change(change: Change) -> str:
    """Describes a change in one line."""
    name = change.name.removeprefix(CONFIG_PREFIX)
    if change.body is None:
        return f'- {name}'
    if change.old is None:
        return f'+ {name} {change.body}'
    return f'~ {name} {change.old} -> {change.body}'


def _bare(body: str, record_type: type[Record]) -> str:
    return serialize_json(replaced(parse_json(record_type, body), write_id=''))


def _kind(name: str) -> str:
    return name.removeprefix(CONFIG_PREFIX).partition('/')[0]


def _order(name: str) -> tuple[int, str]:
    return KIND_ORDER.index(_kind(name)), name
