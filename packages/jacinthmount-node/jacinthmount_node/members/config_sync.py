"""Configuration sync between the platform and the hosts.

A few hosts of each data centre watch the platform and push changes to the
others. Hosts also compare digests with random peers, which repairs lost pushes.
"""

import contextlib

import curio
from jacinthmount.errors import (
    JacinthmountError,
    PeerUnavailable,
    StoreUnavailable,
)
from jacinthmount.keys import KEY_PREFIX
from jacinthmount.members import HostRecord, rank_hosts
from jacinthmount.ports import FLEET_PREFIX, Stored

from jacinthmount_node.logs import log_event
from jacinthmount_node.members.withdrawn_keys import WithdrawnKeys
from jacinthmount_node.messages import (
    Digest,
    DigestReply,
    Fetch,
    Push,
    Withdraw,
)
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node
from jacinthmount_node.parts import PartGroup

__all__ = ('ConfigSync',)

WATCHERS_PER_DATA_CENTRE = 2
# A change whose page is lost on the way goes unnoticed for about as long.
WATCH_LONG_POLL_S = 2.0
WATCH_RETRY_PAUSE_S = 0.5
DIGEST_MIN_INTERVAL_S = 1.5
DIGEST_MAX_INTERVAL_S = 2.5
WATCHER_CHECK_INTERVAL_S = 2.0
# Every third digest of a watcher goes to another data centre.
REMOTE_DIGEST_ROUNDS = 3
PEER_REQUEST_TIMEOUT_S = 2.0
MAX_PUSH_OBJECTS = 500
# Subject by which hosts are ranked to choose the watchers.
WATCHER_RANK_SUBJECT = 'watch'


class WatcherPush:
    """Push of changes that every watcher of the data centre has received."""

    __slots__ = ('push',)

    def __init__(self, *, push: Push) -> None:
        self.push = push


class ConfigSync:
    """Keeps the configuration table of this host up to date."""

    __slots__ = (
        '_digest_rounds',
        '_is_following',
        '_links',
        '_node',
        '_on_change',
        '_outbox',
        '_withdrawn_keys',
    )

    def __init__(self, *, node: Node, links: PeerLinks, on_change) -> None:
        """Initialises the sync with an empty outbox.

        :param on_change: coroutine called with the objects that changed.
        """
        self._node = node
        self._links = links
        self._on_change = on_change
        self._outbox: curio.Queue = curio.Queue()
        self._digest_rounds = 0
        # Whether no change of the platform was missed since the last listing.
        self._is_following = False
        self._withdrawn_keys = WithdrawnKeys(
            node=node,
            is_watcher=self.is_watcher,
            publish=lambda stored: self.apply_objects([stored], push=True),
        )

    async def run(self) -> None:
        """Watches, pushes and compares digests until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._run_watch)
            await group.spawn(self._run_push)
            await group.spawn(self._run_digest)
            await group.spawn(self._withdrawn_keys.run)

    async def load(self) -> bool:
        """Loads the whole configuration from the platform or from a peer.

        :returns: whether the configuration is loaded.
        """
        try:
            await self._list()
        except StoreUnavailable:
            return await self._load_from_peers()
        self._node.loaded = True
        return True

    async def catch_up(self, revision: int) -> None:
        """Lists the configuration unless all of a revision is known here.

        :param revision: that of an object which may refer to others.
        :raises StoreUnavailable: the platform did not answer.
        """
        if not self._node.table.is_complete_at(revision):
            await self._list()

    def is_watcher(self) -> bool:
        """Returns whether this host watches the platform for the others."""
        own = self._node.host
        return own in self._watchers() or own not in self._node.live_hosts()

    async def apply_objects(self, objects: list[Stored], *, push: bool) -> None:
        """Merges objects from any source and applies the newer ones.

        :param push: whether to push changes to hosts of the data centre.
        """
        changed = self._node.table.merge(objects)
        if changed:
            await self._apply_changed(changed, push=push)

    async def withdraw(self, key_ids: list[str]) -> None:
        """Withdraws keys on this host and notifies all others."""
        newly_withdrawn = [
            key_id for key_id in key_ids if self._node.keyring.withdraw(key_id)
        ]
        if newly_withdrawn:
            await self._outbox.put(Withdraw(key_ids=newly_withdrawn))

    def answer_digest(self, digest: Digest) -> DigestReply:
        """Merges withdrawn keys from a digest and returns what differs.

        :raises PeerUnavailable: this host does not have the configuration yet,
            so another one would take its part for the whole.
        """
        for key_id in digest.withdrawn:
            self._node.keyring.withdraw(key_id)
        if not self._node.loaded:
            raise PeerUnavailable(detail='the configuration is not loaded')
        return DigestReply(
            buckets=self._node.table.differing(digest.digest),
            withdrawn=self._node.keyring.withdrawn_ids(),
        )

    def answer_fetch(self, fetch: Fetch) -> Push:
        """Returns the objects that are newer on this host, up to a limit."""
        newer = self._node.table.newer_than(fetch.buckets)
        return Push(objects=newer[:MAX_PUSH_OBJECTS])

    async def _apply_changed(
        self,
        changed: list[Stored],
        *,
        push: bool,
    ) -> None:
        self._node.apply(changed)
        await self._on_change(changed)
        for message in _split_pushes(changed) if push else ():
            await self._outbox.put(message)

    async def _list(self) -> list[Stored]:
        """Loads the whole configuration from the platform.

        :returns: the objects that changed the table.
        :raises StoreUnavailable: the platform did not answer.
        """
        node = self._node
        node.metrics.platform_calls.labels('list').inc()
        listing = await node.store.list_names(FLEET_PREFIX)
        changed = node.table.load(listing)
        await self._apply_changed(changed, push=False)
        return changed

    async def _load_from_peers(self) -> bool:
        own = self._node.settings.peer_address()
        for address in self._node.settings.peers:
            if address == own:
                continue
            has_more = True
            try:
                while has_more:
                    # A reply has a part only.
                    has_more = await self._compare(address)
            except PeerUnavailable:
                continue
            if self._node.table.revision:
                self._node.loaded = True
                return True
        return False

    async def _run_watch(self) -> None:
        while True:
            try:
                await self._watch_once()
            except StoreUnavailable as exc:
                log_event('platform_unavailable', detail=exc.detail)
                self._is_following = False
                await curio.sleep(WATCH_RETRY_PAUSE_S)

    async def _watch_once(self) -> None:
        node = self._node
        if not node.loaded:
            await self.load()
            await curio.sleep(WATCH_RETRY_PAUSE_S)
            return
        if not self.is_watcher():
            self._is_following = False
            await curio.sleep(WATCHER_CHECK_INTERVAL_S)
            return
        if not self._is_following:
            # The platform may no longer have what came meanwhile.
            await self._push_watched(await self._list())
            self._is_following = True
        node.metrics.platform_calls.labels('watch').inc()
        changes = await node.store.watch(
            FLEET_PREFIX,
            node.table.complete_revision,
            WATCH_LONG_POLL_S,
        )
        changed = node.table.follow(changes)
        if changed:
            await self._apply_changed(changed, push=False)
            await self._push_watched(changed)

    async def _push_watched(self, changed: list[Stored]) -> None:
        # Every watcher pushes keys to all hosts, so that no single slow watcher
        # delays a key change.
        keys: list[Stored] = []
        others: list[Stored] = []
        for stored in changed:
            is_key = stored.name.startswith(KEY_PREFIX)
            (keys if is_key else others).append(stored)
        for message in _split_pushes(keys):
            await self._outbox.put(message)
        for message in _split_pushes(others):
            await self._outbox.put(WatcherPush(push=message))

    def _watchers(self) -> list[str]:
        ranked = rank_hosts(WATCHER_RANK_SUBJECT, self._node.live_hosts())
        return ranked[:WATCHERS_PER_DATA_CENTRE]

    async def _run_push(self) -> None:
        while True:
            message = await self._outbox.get()
            records = self._peers(local=True)
            if isinstance(message, WatcherPush):
                message = message.push
                records = self._assigned_to_self(records)
            # Other data centres get changes by digest exchange, which is too
            # slow for withdrawn keys.
            if isinstance(message, Withdraw):
                records.extend(self._peers(local=False))
            async with curio.TaskGroup(wait=all) as group:
                for record in records:
                    await group.spawn(self._push_to, record, message)

    def _assigned_to_self(self, records: list[HostRecord]) -> list[HostRecord]:
        # All watchers receive each change, so each pushes it to a part of
        # the other hosts. Digests repair the pushes of a failed watcher.
        watchers = self._watchers()
        own = self._node.host
        return [
            record
            for record in records
            if record.host not in watchers
            and rank_hosts(record.host, watchers)[:1] in ([own], [])
        ]

    async def _push_to(
        self,
        record: HostRecord,
        message: Push | Withdraw,
    ) -> None:
        try:
            await self._links.request(record, message, PEER_REQUEST_TIMEOUT_S)
        except PeerUnavailable:
            # The digest exchange repairs the lost push.
            return

    async def _run_digest(self) -> None:
        while True:
            pause = self._node.rng.uniform(
                DIGEST_MIN_INTERVAL_S,
                DIGEST_MAX_INTERVAL_S,
            )
            await curio.sleep(pause)
            address = self._pick_address()
            if address is None:
                continue
            with contextlib.suppress(JacinthmountError):
                await self._compare(address)

    def _pick_address(self) -> str | None:
        self._digest_rounds += 1
        remote = (
            self._digest_rounds % REMOTE_DIGEST_ROUNDS == 0
            and self.is_watcher()
        )
        records = self._peers(local=not remote)
        if not records:
            records = self._peers(local=remote)
        known = [record.peer_address for record in records]
        if not known:
            own = self._node.settings.peer_address()
            known = [
                address
                for address in self._node.settings.peers
                if address != own
            ]
        return self._node.rng.choice(known) if known else None

    async def _compare(self, address: str) -> bool:
        """Exchanges with another host what differs, up to a limit.

        :returns: whether this host fetched something.
        :raises PeerUnavailable: no answer.
        """
        table = self._node.table
        digest = Digest(
            digest=table.digest(),
            withdrawn=self._node.keyring.withdrawn_ids(),
        )
        reply = await self._links.request_at(
            address, digest, PEER_REQUEST_TIMEOUT_S
        )
        if not isinstance(reply, DigestReply):
            return False
        await self.withdraw(reply.withdrawn)
        newer = table.newer_than(reply.buckets)[:MAX_PUSH_OBJECTS]
        if newer:
            await self._links.request_at(
                address,
                Push(objects=newer),
                PEER_REQUEST_TIMEOUT_S,
            )
        if not table.is_behind(reply.buckets):
            return False
        await self._fetch(address, [bucket.bucket for bucket in reply.buckets])
        return table.digest() != digest.digest

    async def _fetch(self, address: str, buckets: list[int]) -> None:
        own = self._node.table.versions_in_buckets(buckets)
        reply = await self._links.request_at(
            address,
            Fetch(buckets=own),
            PEER_REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, Push):
            await self.apply_objects(reply.objects, push=False)

    def _peers(self, *, local: bool) -> list[HostRecord]:
        return [
            record
            for record in self._node.members.values()
            if record.host != self._node.host
            and (record.data_centre == self._node.data_centre) is local
        ]


def _split_pushes(changed: list[Stored]) -> list[Push]:
    return [
        Push(objects=changed[start : start + MAX_PUSH_OBJECTS])
        for start in range(0, len(changed), MAX_PUSH_OBJECTS)
    ]
