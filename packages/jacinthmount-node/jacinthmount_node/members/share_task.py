"""This host's slot in the share table of its data centre."""

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
from jacinthmount_node.parts import PartGroup

__all__ = ('ShareTask',)

PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 1.5
HANDOVER_TIMEOUT_S = 1.0
MEMBER_WAIT_POLLS = 40
MEMBER_WAIT_POLL_S = 0.1
TABLE_CHECK_INTERVAL_S = 1.0
CONFIRM_CHECK_INTERVAL_S = 3.0


class ShareTask:
    """Keeps this host listed in the share table and its slot confirmed.

    Hosts ping each other. Each replaces lost hosts in the table and confirms
    its own slot by the replies of a majority or by the platform.
    """

    __slots__ = (
        '_leaving',
        '_links',
        '_node',
        '_sync',
        '_unresponsive_by_peer',
    )

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        sync: ConfigSync,
    ) -> None:
        self._node = node
        self._links = links
        self._sync = sync
        self._unresponsive_by_peer: dict[str, list[str]] = {}
        self._leaving = False

    async def run(self) -> None:
        """Pings peers and maintains the slot until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._run_pings)
            await group.spawn(self._run_table)
            await group.spawn(self._run_confirm)

    async def leave(self) -> None:
        """Removes this host from the table, which hands its buckets over.

        :raises StoreUnavailable: the platform did not accept the change.
        """
        self._leaving = True
        if self._node.host_buckets.listed():
            await self._edit_table([], add=False)
            await curio.sleep(HANDOVER_TIMEOUT_S / 2)

    async def on_table(self, stored: Stored) -> None:
        """Applies a newer share table and sends the handovers that follow."""
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
        await self._send_handovers(transfers)

    def on_give(self, handover: Handover) -> None:
        """Accepts buckets from their previous owner."""
        self._node.host_buckets.on_handover(handover, self._node.now())

    def on_ping(self, ping: Ping) -> Pong:
        """Records a ping and returns the reply."""
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

    async def _send_handovers(self, transfers: list[OutgoingHandover]) -> None:
        for transfer in transfers:
            await curio.spawn(self._send_handover, transfer, daemon=True)

    async def _send_handover(self, transfer: OutgoingHandover) -> None:
        try:
            await self._links.request(
                await self._wait_for_member(transfer.host),
                Give(handover=transfer.handover),
                HANDOVER_TIMEOUT_S,
            )
        except PeerUnavailable:
            # A handover is never resent: a second copy could arrive after the
            # bucket has moved on.
            log_event('handover_lost', host=transfer.host)

    async def _wait_for_member(self, host: str) -> HostRecord:
        # The share table can arrive before the record of a host that joined.
        for _ in range(MEMBER_WAIT_POLLS):
            record = self._node.members.get(host)
            if record is not None:
                return record
            await curio.sleep(MEMBER_WAIT_POLL_S)
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
        sent_at = node.now()
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
        self._unresponsive_by_peer[record.host] = pong.unresponsive
        node.host_buckets.on_ack(record.host, pong.share_version, node.now())
        # A reply under a newer table may come from a host that has agreed to
        # replace this one, so it confirms nothing.
        if pong.share_version <= node.host_buckets.version:
            node.contacts.on_peer_reply(record.host, sent_at)

    async def _run_table(self) -> None:
        while True:
            await curio.sleep(TABLE_CHECK_INTERVAL_S)
            if self._leaving or not self._node.loaded:
                continue
            try:
                await self._repair_table()
            except (StoreUnavailable, StoreConflict) as exc:
                log_event('share_table', detail=exc.detail)

    async def _repair_table(self) -> None:
        host_buckets = self._node.host_buckets
        if not host_buckets.listed():
            await self._join_table()
            return
        lost = self._hosts_to_replace()
        if lost:
            log_event('share_table_remove', hosts=','.join(lost))
            await self._edit_table(lost, add=True)

    def _hosts_to_replace(self) -> list[str]:
        node = self._node
        slots = node.host_buckets.slots()
        candidates = node.contacts.unresponsive(slots, node.now())
        needed = replacement_quorum(len(slots))
        return [
            host
            for host in candidates
            if host != node.host
            and self._count_reporters(host, slots) >= needed
        ]

    def _count_reporters(self, host: str, slots: list[str]) -> int:
        reporters = 1
        for other, unresponsive in self._unresponsive_by_peer.items():
            is_recent = other not in self._node.contacts.unresponsive(
                [other],
                self._node.now(),
            )
            reporters += other in slots and is_recent and host in unresponsive
        return reporters

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
        current = await node.store.read(name)
        if current is None or current.body is None:
            return
        table = parse_json(ShareTable, current.body)
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
            previous_version=current.version,
            write_id=new_write_id(),
        )
        body = serialize_json(edited)
        version = await write_with_retry(
            node.store,
            name,
            body,
            current.version,
        )
        await self._sync.apply_objects(
            [Stored(name=name, version=version, body=body)],
            push=True,
        )

    async def _run_confirm(self) -> None:
        # Without a majority of peers, a read of the share table that still
        # lists this host confirms its slot.
        while True:
            await curio.sleep(CONFIRM_CHECK_INTERVAL_S)
            with contextlib.suppress(StoreUnavailable):
                await self._confirm_by_platform()

    async def _confirm_by_platform(self) -> None:
        node = self._node
        slots = node.host_buckets.slots()
        sent_at = node.now()
        next_check_at = sent_at + CONFIRM_CHECK_INTERVAL_S
        if not slots or node.contacts.confirmed_by_majority(
            node.host, slots, next_check_at
        ):
            return
        current = await node.store.read(f'{SHARE_PREFIX}{node.data_centre}')
        if current is not None and node.incarnation in (current.body or ''):
            node.contacts.on_platform_confirmation(sent_at)
