"""Operator actions as functions, without command line handling."""

import json
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

import curio
from jacinthmount.crash_breaker import BlockedRequest
from jacinthmount.declaration_files import parse_declarations
from jacinthmount.declarations import (
    CONFIG_PREFIX,
    SCHEMAS,
    Endpoint,
    Evacuation,
    object_name,
)
from jacinthmount.errors import (
    InvalidDeclarations,
    JacinthmountError,
    NotFound,
    PeerUnavailable,
    StoreConflict,
)
from jacinthmount.keys import KEY_PREFIX, KeyRecord, hash_secret, make_key
from jacinthmount.members import HOST_PREFIX, HostRecord
from jacinthmount.ports import ABSENT, ObjectStore, Stored
from jacinthmount.records import (
    Record,
    parse_json,
    replaced,
    serialize_json,
)
from jacinthmount.stores import new_write_id, write_with_retry
from jacinthmount_node.blocked_store import (
    FLEET_BLOCKED_PREFIX,
    BlockedStore,
)
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import TRANSPORT_ERRORS

from jacinthmount_ctl.changes import Change, check_shares, compare

__all__ = (
    'apply_changes',
    'clear_blocked',
    'drain_endpoint',
    'evacuate_data_centre',
    'grant_key',
    'list_blocked',
    'list_keys',
    'plan_changes',
    'read_declarations',
    'read_objects',
    'read_status',
    'sum_endpoints',
    'wait_in_force',
    'withdraw_key',
)

APPLY_NAME = 'apply/generation'
CALL_ERRORS = (*TRANSPORT_ERRORS, JacinthmountError)
ADMIN_TIMEOUT_S = 3.0
WAIT_POLL_S = 0.2


class ApplyMark(Record):
    """Object that each apply replaces conditionally.

    Of two concurrent applies, one fails with a conflict, so that their changes
    are not interleaved.
    """

    __slots__ = ('write_id',)

    write_id: str


class Plan(Record):
    """Changes, and the version of the apply mark that they were based on."""

    __slots__ = ('changes', 'mark_version')

    changes: list[Change]
    mark_version: int


def read_declarations(folder: str) -> dict[str, Record]:
    """Reads and validates all INI files of a folder.

    :raises InvalidDeclarations: there are no files, or they are not valid.
    """
    paths = sorted(Path(folder).glob('*.ini'))
    if not paths:
        raise InvalidDeclarations(problems=[f'{folder}: no .ini files'])
    return parse_declarations({path.name: path.read_text() for path in paths})


async def plan_changes(
    store: ObjectStore,
    records: dict[str, Record],
) -> Plan:
    """Compares declarations with the current configuration.

    :raises InvalidDeclarations: shares would temporarily exceed limits.
    """
    mark = await store.read(APPLY_NAME)
    listing = await store.list_names(CONFIG_PREFIX)
    problems = check_shares(records, listing.objects)
    if problems:
        raise InvalidDeclarations(problems=problems)
    return Plan(
        changes=compare(records, listing.objects),
        mark_version=mark.version if mark else ABSENT,
    )


async def apply_changes(store: ObjectStore, plan: Plan) -> int:
    """Writes the changes conditionally.

    :returns: the newest version written, 0 where nothing changed.
    :raises StoreConflict: another operator changed the configuration.
    """
    if not plan.changes:
        return 0
    mark = serialize_json(ApplyMark(write_id=new_write_id()))
    await write_with_retry(store, APPLY_NAME, mark, plan.mark_version)
    version = 0
    for change in plan.changes:
        version = await _write_change(store, change)
    return version


async def wait_in_force(
    store: ObjectStore,
    version: int,
    token: str,
    timeout_s: float,
) -> list[str]:
    """Waits until every host reports a configuration version or a newer one.

    :param timeout_s: maximum wait in seconds.
    :returns: hosts that did not report it in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        statuses = await read_status(store, token)
        lagging = [
            host
            for host, status in statuses.items()
            if not status or status['revision'] < version
        ]
        if not lagging or time.monotonic() >= deadline:
            return lagging
        await curio.sleep(WAIT_POLL_S)


async def read_objects(store: ObjectStore, kind: str) -> list[Record]:
    """Reads the current declarations of a kind.

    :raises NotFound: there is no such kind.
    """
    if kind not in SCHEMAS:
        raise NotFound(
            detail=f'unknown kind; kinds: {", ".join(sorted(SCHEMAS))}'
        )
    listing = await store.list_names(f'{CONFIG_PREFIX}{kind}/')
    return [
        parse_json(SCHEMAS[kind][0], stored.body or '')
        for stored in listing.objects
    ]


async def read_status(
    store: ObjectStore,
    token: str,
) -> dict[str, dict[str, Any] | None]:
    """Reads the status of every registered host.

    :returns: status by host; None for a host that did not answer.
    """
    listing = await store.list_names(HOST_PREFIX)
    statuses: dict[str, dict[str, Any] | None] = {}
    for stored in listing.objects:
        record = parse_json(HostRecord, stored.body or '')
        try:
            statuses[record.host] = await call_admin(
                record.admin_address,
                'GET',
                '/admin/status',
                token,
                None,
            )
        except PeerUnavailable:
            statuses[record.host] = None
    return statuses


def sum_endpoints(
    statuses: dict[str, dict[str, Any] | None],
) -> list[dict[str, Any]]:
    """Adds up the status rows that hosts report for each endpoint.

    Only the hosts in the data centre of an endpoint report it.
    """
    totals: dict[str, dict[str, Any]] = {}
    for status in statuses.values():
        for row in status['endpoints'] if status else ():
            total = totals.setdefault(
                row['name'],
                {
                    'endpoint': row['name'],
                    'service': row['service'],
                    'hosts that use it': 0,
                    'closed': False,
                    'online': 0,
                    'batch': 0,
                },
            )
            total['hosts that use it'] += row['available']
            total['closed'] = total['closed'] or row['closed']
            total['online'] += row['online']
            total['batch'] += row['batch']
    return [totals[name] for name in sorted(totals)]


async def grant_key(store: ObjectStore, account: str) -> tuple[str, str]:
    """Grants a new key to an account.

    :returns: the key id and the key; only the hash of its secret is stored.
    :raises NotFound: there is no such account.
    """
    if await store.read(object_name('account', account)) is None:
        raise NotFound(detail=f'no account {account}')
    key_id, key = make_key()
    record = KeyRecord(
        key_id=key_id,
        account=account,
        secret_hash=hash_secret(key),
        withdrawn=False,
        write_id=new_write_id(),
    )
    await write_with_retry(
        store,
        f'{KEY_PREFIX}{key_id}',
        serialize_json(record),
        ABSENT,
    )
    return key_id, key


async def withdraw_key(
    store: ObjectStore,
    key_id: str,
    hosts: list[str],
    token: str,
) -> list[str]:
    """Withdraws a key, at the given hosts first and then in the platform.

    :param hosts: admin addresses to notify directly.
    :returns: addresses of the hosts that acknowledged the withdrawal.
    :raises NotFound: there is no such key.
    :raises StoreUnavailable: the platform has not stored the withdrawal; hosts
        that acknowledged it store it there later.
    """
    notified = []
    for address in hosts:
        try:
            await call_admin(
                address,
                'POST',
                '/admin/withdraw',
                token,
                {'key_id': key_id},
            )
        except PeerUnavailable:
            continue
        notified.append(address)
    name = f'{KEY_PREFIX}{key_id}'
    stored = await store.read(name)
    if stored is None or stored.body is None:
        raise NotFound(detail=f'no key {key_id}')
    record = parse_json(KeyRecord, stored.body)
    if not record.withdrawn:
        await _write_withdrawn(store, name, record, stored.version)
    return notified


async def list_blocked(store: ObjectStore) -> list[BlockedRequest]:
    """Lists the requests that are blocked since endpoints crashed on them."""
    records = await _open_blocked(store).read_all()
    return [one for one in records if isinstance(one, BlockedRequest)]


async def clear_blocked(store: ObjectStore, request: str) -> None:
    """Lets a blocked request be served again.

    :param request: its digest.
    :raises StoreConflict: its record was changed meanwhile.
    """
    await _open_blocked(store).clear(request)


def _open_blocked(store: ObjectStore) -> BlockedStore:
    return BlockedStore(store=store, prefix=FLEET_BLOCKED_PREFIX)


async def list_keys(store: ObjectStore) -> list[KeyRecord]:
    """Lists the records of all keys, including withdrawn ones."""
    listing = await store.list_names(KEY_PREFIX)
    return [
        parse_json(KeyRecord, stored.body or '') for stored in listing.objects
    ]


async def drain_endpoint(
    store: ObjectStore,
    name: str,
    *,
    leaving: bool,
) -> int:
    """Marks an endpoint as leaving, or removes the mark.

    :returns: the configuration version that contains the change.
    :raises NotFound: there is no such endpoint.
    """
    stored = await store.read(object_name('endpoint', name))
    if stored is None or stored.body is None:
        raise NotFound(detail=f'no endpoint {name}')
    record = parse_json(Endpoint, stored.body)
    edited = replaced(record, leaving=leaving, write_id=new_write_id())
    return await write_with_retry(
        store,
        stored.name,
        serialize_json(edited),
        stored.version,
    )


async def evacuate_data_centre(
    store: ObjectStore,
    name: str,
    evacuated: bool,
) -> None:
    """Declares a data centre evacuated, or removes the declaration.

    Repeating it changes nothing.

    :raises NotFound: there is no such data centre.
    """
    data_centre = await store.read(object_name('data_centre', name))
    if data_centre is None or data_centre.body is None:
        raise NotFound(detail=f'no data centre {name}')
    evacuation_name = object_name('evacuation', name)
    found = await store.read(evacuation_name)
    if found is not None and found.body is not None:
        if not evacuated:
            await store.delete(evacuation_name, found.version)
    elif evacuated:
        record = Evacuation(name=name, write_id=new_write_id())
        await write_with_retry(
            store, evacuation_name, serialize_json(record), ABSENT
        )


async def call_admin(
    address: str,
    method: str,
    path: str,
    token: str,
    body: Any,
) -> dict[str, Any]:
    """Calls the admin listener of a host.

    :raises PeerUnavailable: no response, or a status other than 200.
    """
    pool = ClientPool()
    payload = b'' if body is None else json.dumps(body).encode()
    headers = [('authorization', f'Bearer {token}')]
    try:
        exchange = await pool.fetch(
            address,
            method,
            path,
            headers,
            payload,
            ADMIN_TIMEOUT_S,
        )
        response = await exchange.read_body()
        await exchange.close()
    except CALL_ERRORS as exc:
        raise PeerUnavailable(detail=f'{address}: no response') from exc
    if exchange.status != HTTPStatus.OK:
        raise PeerUnavailable(detail=f'{address}: status {exchange.status}')
    return json.loads(response)


async def _write_change(store: ObjectStore, change: Change) -> int:
    if change.body is None:
        return await store.delete(change.name, change.expected)
    record_type = SCHEMAS[change.name.split('/')[2]][0]
    record = replaced(
        parse_json(record_type, change.body),
        write_id=new_write_id(),
    )
    return await write_with_retry(
        store,
        change.name,
        serialize_json(record),
        change.expected,
    )


async def _write_withdrawn(
    store: ObjectStore,
    name: str,
    record: KeyRecord,
    version: int,
) -> None:
    edited = replaced(record, withdrawn=True, write_id=new_write_id())
    try:
        await write_with_retry(store, name, serialize_json(edited), version)
    except StoreConflict:
        stored: Stored | None = await store.read(name)
        if (
            stored is None
            or not parse_json(
                KeyRecord,
                stored.body or '',
            ).withdrawn
        ):
            raise
