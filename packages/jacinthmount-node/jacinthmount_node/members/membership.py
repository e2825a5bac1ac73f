"""Registration and heartbeats of this host."""

import contextlib

import curio
from jacinthmount.claims import Heartbeat, heartbeat_name
from jacinthmount.errors import StoreConflict, StoreUnavailable
from jacinthmount.members import HOST_PREFIX, HostRecord
from jacinthmount.ports import ABSENT, HostList, Stored
from jacinthmount.records import serialize_json
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.logs import log_event
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.members.share_task import ShareTask
from jacinthmount_node.node import Node
from jacinthmount_node.parts import PartGroup

__all__ = ('Membership',)

REGISTER_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 5.0
CLEANUP_INTERVAL_S = 10.0


class Membership:
    """Keeps this host registered and its heartbeat object current.

    The heartbeat renews the claims that this host holds.
    """

    __slots__ = ('_host_list', '_leaving', '_node', '_shares', '_sync')

    def __init__(
        self,
        *,
        node: Node,
        shares: ShareTask,
        sync: ConfigSync,
        host_list: HostList,
    ) -> None:
        self._node = node
        self._host_list = host_list
        self._shares = shares
        self._sync = sync
        self._leaving = False

    async def run(self) -> None:
        """Registers, sends heartbeats and cleans up until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._run_register)
            await group.spawn(self._run_heartbeats)
            await group.spawn(self._run_cleanup)
            await group.spawn(self._shares.run)

    async def leave(self) -> None:
        """Hands over buckets, leaves the share table and deregisters."""
        self._leaving = True
        try:
            await self._shares.leave()
            await self._deregister()
        except (StoreUnavailable, StoreConflict) as exc:
            log_event('leave_incomplete', detail=exc.detail)

    async def _run_register(self) -> None:
        while True:
            if self._node.loaded and not self._leaving:
                try:
                    await self._register()
                except (StoreUnavailable, StoreConflict) as exc:
                    log_event('register_failed', detail=exc.detail)
            await curio.sleep(REGISTER_INTERVAL_S)

    async def _register(self) -> None:
        node = self._node
        known = node.members.get(node.host)
        if known is not None and known.incarnation == node.incarnation:
            return
        cfg = node.settings
        record = HostRecord(
            host=cfg.host,
            incarnation=node.incarnation,
            data_centre=cfg.data_centre,
            peer_address=cfg.peer_address(),
            admin_address=cfg.admin_listen,
            leaving=False,
            write_id=new_write_id(),
        )
        await self._write_record(
            f'{HOST_PREFIX}{cfg.host}', serialize_json(record)
        )

    async def _write_record(self, name: str, body: str) -> int:
        node = self._node
        stored = await node.store.read(name)
        version = stored.version if stored else ABSENT
        node.metrics.platform_calls.labels('write').inc()
        written = await write_with_retry(node.store, name, body, version)
        await self._sync.apply_objects(
            [Stored(name=name, version=written, body=body)],
            push=True,
        )
        return written

    async def _deregister(self) -> None:
        node = self._node
        name = f'{HOST_PREFIX}{node.host}'
        stored = await node.store.read(name)
        if stored is not None and node.incarnation in (stored.body or ''):
            version = await node.store.delete(name, stored.version)
            await self._sync.apply_objects(
                [Stored(name=name, version=version, body=None)],
                push=True,
            )

    async def _run_cleanup(self) -> None:
        while True:
            await curio.sleep(CLEANUP_INTERVAL_S)
            with contextlib.suppress(StoreUnavailable, StoreConflict):
                await self._delete_lost_hosts()

    async def _delete_lost_hosts(self) -> None:
        # Deletes records of unresponsive hosts that the host list lacks. A host
        # that was only cut off registers again once it reconnects.
        node = self._node
        lost = set(node.local_hosts()) - set(node.live_hosts())
        if not lost:
            return
        listed = {one.host for one in await self._host_list.read_hosts()}
        for host in sorted(lost - listed) if listed else ():
            name = f'{HOST_PREFIX}{host}'
            stored = await node.store.read(name)
            if stored is not None:
                version = await node.store.delete(name, stored.version)
                await self._sync.apply_objects(
                    [Stored(name=name, version=version, body=None)],
                    push=True,
                )

    async def _run_heartbeats(self) -> None:
        node = self._node
        version = ABSENT
        while True:
            body = serialize_json(
                Heartbeat(
                    incarnation=node.incarnation,
                    write_id=new_write_id(),
                )
            )
            try:
                version = await node.store.write(
                    heartbeat_name(node.host),
                    body,
                    version,
                )
            except StoreConflict as exc:
                version = exc.version
                continue
            except StoreUnavailable:
                version = ABSENT
            await curio.sleep(HEARTBEAT_INTERVAL_S)
