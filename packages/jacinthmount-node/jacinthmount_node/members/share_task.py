"""The share table of a data centre: joined, mended, confirmed, left."""

import contextlib

import curio
from jacinthmount.errors import (
    PeerUnavailable,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.members import HostRecord, replacement_quorum
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount.shares import (
    SHARE_PREFIX,
    Handover,
    OutgoingHandover,
    ShareSlot,
    ShareTable,
)
from jacinthmount.stores import new_write_id, write_with_retry

from jacinthmount_node.logs import log_event
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.messages import Give, Ping, Pong
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('ShareTask',)

PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 1.5
GIVE_TIMEOUT_S = 1.0
MEMBER_POLLS = 40
MEMBER_POLL_S = 0.1
TABLE_INTERVAL_S = 1.0
CONFIRM_INTERVAL_S = 3.0


class ShareTask:
    """Keeps this host heard by others and listed in the share table."""

    __slots__ = ('_leaving', '_links', '_missed', '_node', '_sync')

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        sync: ConfigSync,
    ) -> None:
        """Takes the state to keep."""
        self._node = node
        self._links = links
        self._sync = sync
        self._missed: dict[str, list[str]] = {}
        self._leaving = False

    async def run(self) -> None:
        """Keeps the slot of this host until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_pings)
            await group.spawn(self._run_table)
            await group.spawn(self._run_confirm)

    async def leave(self) -> None:
        """Leaves the table, which hands the buckets over.

        :raises StoreUnavailable: the platform did not take it.
        """
        self._leaving = True
        if self._node.host_buckets.listed():
            await self._edit_table([], add=False)
            await curio.sleep(GIVE_TIMEOUT_S / 2)

    async def on_table(self, stored: Stored) -> None:
        """Takes a newer share table of this data centre."""
        if stored.body is None:
            return
        table = parse_json(ShareTable, stored.body)
        if table.data_centre != self._node.data_centre:
            return
        transfers = self._node.host_buckets.on_table(
            table,
            stored.version,
            self._node.now(),
            confirmed=self._node.confirmed(),
        )
        await self._send_all(transfers)

    def on_give(self, handover: Handover) -> None:
        """Takes buckets from their old owner."""
        self._node.host_buckets.on_handover(handover, self._node.now())

    def on_ping(self, ping: Ping) -> Pong:
        """Answers a ping and notes what it tells."""
        node = self._node
        now = node.now()
        node.contacts.on_peer_request(ping.host, now)
        node.host_buckets.on_ack(ping.host, ping.share_version, now)
        return Pong(
            share_version=node.host_buckets.version,
            revision=node.table.revision,
            unresponsive=node.contacts.unresponsive(
                node.host_buckets.slots(), now
            ),
        )

    async def _send_all(self, transfers: list[OutgoingHandover]) -> None:
        for transfer in transfers:
            await curio.spawn(self._send_give, transfer, daemon=True)

    async def _send_give(self, transfer: OutgoingHandover) -> None:
        try:
            await self._links.request(
                await self._wait_member(transfer.host),
                Give(handover=transfer.handover),
                GIVE_TIMEOUT_S,
            )
        except PeerUnavailable:
            # Sent once only: a second copy could come after the bucket moved.
            log_event('handover_lost', host=transfer.host)

    async def _wait_member(self, host: str) -> HostRecord:
        # The table can arrive before the record of a host that just joined.
        for _ in range(MEMBER_POLLS):
            record = self._node.members.get(host)
            if record is not None:
                return record
            await curio.sleep(MEMBER_POLL_S)
        raise PeerUnavailable(detail=f'{host}: not registered')

    async def _run_pings(self) -> None:
        while True:
            records = [
                record
                for record in self._node.members.values()
                if record.data_centre == self._node.data_centre
                and record.host != self._node.host
            ]
            for record in records:
                await curio.spawn(self._ping, record, daemon=True)
            await curio.sleep(PING_INTERVAL_S)

    async def _ping(self, record: HostRecord) -> None:
        node = self._node
        asked_at = node.now()
        ping = Ping(
            host=node.host,
            share_version=node.host_buckets.version,
            revision=node.table.revision,
        )
        try:
            pong = await self._links.request(record, ping, PING_TIMEOUT_S)
        except PeerUnavailable:
            return
        if not isinstance(pong, Pong):
            return
        self._missed[record.host] = pong.unresponsive
        node.host_buckets.on_ack(record.host, pong.share_version, node.now())
        # An answer under a newer table may come from a host that has agreed
        # to replace this one.
        if pong.share_version <= node.host_buckets.version:
            node.contacts.on_peer_reply(record.host, asked_at)

    async def _run_table(self) -> None:
        while True:
            await curio.sleep(TABLE_INTERVAL_S)
            if self._leaving or not self._node.loaded:
                continue
            try:
                await self._mend_table()
            except (StoreUnavailable, StoreConflict) as exc:
                log_event('share_table', detail=exc.detail)

    async def _mend_table(self) -> None:
        host_buckets = self._node.host_buckets
        if not host_buckets.listed():
            await self._join_table()
            return
        dead = self._surely_missed()
        if dead:
            log_event('share_table_remove', hosts=','.join(dead))
            await self._edit_table(dead, add=True)

    def _surely_missed(self) -> list[str]:
        node = self._node
        slots = node.host_buckets.slots()
        missed = node.contacts.unresponsive(slots, node.now())
        needed = replacement_quorum(len(slots))
        return [
            host
            for host in missed
            if host != node.host and self._attesters(host, slots) >= needed
        ]

    def _attesters(self, host: str, slots: list[str]) -> int:
        votes = 1
        for other, unresponsive in self._missed.items():
            fresh = other not in self._node.contacts.unresponsive(
                [other],
                self._node.now(),
            )
            votes += other in slots and fresh and host in unresponsive
        return votes

    async def _join_table(self) -> None:
        node = self._node
        name = f'{SHARE_PREFIX}{node.data_centre}'
        if await node.store.read(name) is None:
            await self._create_table(name)
            return
        await self._edit_table([], add=True)

    async def _create_table(self, name: str) -> None:
        node = self._node
        slot = ShareSlot(host=node.host, incarnation=node.incarnation)
        table = ShareTable(
            data_centre=node.data_centre,
            slots=[slot],
            previous=[],
            previous_version=ABSENT,
            write_id=new_write_id(),
        )
        body = serialize_json(table)
        version = await write_with_retry(node.store, name, body, ABSENT)
        await self._sync.apply_objects(
            [Stored(name=name, version=version, body=body)],
            push=True,
        )

    async def _edit_table(self, removed: list[str], *, add: bool) -> None:
        node = self._node
        name = f'{SHARE_PREFIX}{node.data_centre}'
        found = await node.store.read(name)
        if found is None or found.body is None:
            return
        table = parse_json(ShareTable, found.body)
        slots = [
            slot
            for slot in table.slots
            if slot.host not in removed and slot.host != node.host
        ]
        if add:
            slots.append(
                ShareSlot(host=node.host, incarnation=node.incarnation),
            )
        edited = replaced(
            table,
            slots=slots,
            previous=table.slots,
            previous_version=found.version,
            write_id=new_write_id(),
        )
        body = serialize_json(edited)
        version = await write_with_retry(
            node.store,
            name,
            body,
            found.version,
        )
        await self._sync.apply_objects(
            [Stored(name=name, version=version, body=body)],
            push=True,
        )

    async def _run_confirm(self) -> None:
        # A read that still lists this host confirms it while peers are gone.
        while True:
            await curio.sleep(CONFIRM_INTERVAL_S)
            with contextlib.suppress(StoreUnavailable):
                await self._confirm_by_platform()

    async def _confirm_by_platform(self) -> None:
        node = self._node
        slots = node.host_buckets.slots()
        asked_at = node.now()
        soon = asked_at + CONFIRM_INTERVAL_S
        if not slots or node.contacts.confirmed_by_majority(
            node.host, slots, soon
        ):
            return
        found = await node.store.read(f'{SHARE_PREFIX}{node.data_centre}')
        if found is not None and node.incarnation in (found.body or ''):
            node.contacts.on_platform_confirmation(asked_at)
