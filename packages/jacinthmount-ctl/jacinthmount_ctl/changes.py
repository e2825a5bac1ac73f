"""Differences between declarations and the current configuration."""

from jacinthmount.declarations import CONFIG_PREFIX, DataCentre
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import Record, parse_json, replaced, serialize_json

__all__ = ('Change', 'check_shares', 'compare', 'describe_change')

# Allows for floating-point rounding in sums of shares.
SHARE_TOLERANCE = 1e-9
# Objects are written before the objects that refer to them.
KIND_ORDER = (
    'data_centre',
    'profile',
    'service',
    'endpoint',
    'account',
    'route',
)


class Change(Record):
    """Conditional write of one configuration object.

    :param expected: version that the object must have for the write.
    :param old: current body; None if the object is new.
    :param body: new body; None for a deletion.
    """

    __slots__ = ('name', 'expected', 'old', 'body')

    name: str
    expected: int
    old: str | None
    body: str | None


def compare(
    records: dict[str, Record],
    current: list[Stored],
) -> list[Change]:
    """Lists the changes that turn the configuration into the declared one.

    :param records: declared records by object name.
    :param current: current configuration objects in the platform.
    """
    in_force = {stored.name: stored for stored in current}
    changes = []
    for name in sorted(records, key=_order):
        body = serialize_json(records[name])
        old = in_force.get(name)
        if (
            old is None
            or _without_write_id(old.body or '', type(records[name])) != body
        ):
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
    current: list[Stored],
) -> list[str]:
    """Checks that shares can change without temporarily exceeding limits.

    Hosts apply a change at different times, so the larger of the old and the
    new share of each data centre must still sum to at most one. A share is
    therefore lowered in one change and another is raised in a later one.

    :returns: problems; empty if the change is allowed.
    """
    shares: dict[str, float] = {}
    for stored in current:
        if _kind(stored.name) == 'data_centre':
            old = parse_json(DataCentre, stored.body or '')
            shares[old.name] = old.share
    old_total = sum(shares.values())
    for record in records.values():
        if isinstance(record, DataCentre):
            shares[record.name] = max(
                record.share,
                shares.get(record.name, 0.0),
            )
    total = sum(shares.values())
    if total > max(1.0, old_total) + SHARE_TOLERANCE:
        return [
            '[data_centre]: share: lower shares first, apply --wait, then '
            f'raise others; the larger of each old and new sum to {total:g}',
        ]
    return []


def describe_change(change: Change) -> str:
    """Formats a change as one line of a diff."""
    name = change.name.removeprefix(CONFIG_PREFIX)
    if change.body is None:
        return f'- {name}'
    if change.old is None:
        return f'+ {name} {change.body}'
    return f'~ {name} {change.old} -> {change.body}'


def _without_write_id(body: str, record_type: type[Record]) -> str:
    return serialize_json(replaced(parse_json(record_type, body), write_id=''))


def _kind(name: str) -> str:
    return name.removeprefix(CONFIG_PREFIX).partition('/')[0]


def _order(name: str) -> tuple[int, str]:
    return KIND_ORDER.index(_kind(name)), name
