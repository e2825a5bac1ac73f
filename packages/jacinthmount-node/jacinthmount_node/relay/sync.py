"""Synchronises configuration, endpoints and hosts from the store or peers."""

from collections.abc import Callable
from typing import Protocol

import curio
from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.errors import (
    MalformedRecord,
    PeerUnavailable,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.fleet_config import FleetConfig
from jacinthmount.list_freshness import ListFreshness
from jacinthmount.ports import ABSENT, Stored
from jacinthmount.records import serialize_json
from jacinthmount.report_pace import MIN_WATCH_WAIT_S

from jacinthmount_node.logs import log_event
from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.blocked_records import (
    BLOCKED_PREFIX,
    BlockedRecords,
)
from jacinthmount_node.relay.config_view import ConfigView
from jacinthmount_node.relay.endpoint_list import EndpointList
from jacinthmount_node.relay.evacuations import Evacuations
from jacinthmount_node.relay.host_records import HostRecords
from jacinthmount_node.relay.messages import RelayHost, Snapshot, SnapshotAsk
from jacinthmount_node.relay.object_watch import ObjectWatch, WatchDelays
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.store_probe import StoreProbe
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('HOST_PREFIX', 'FleetDecoder', 'RelaySync')

HOST_PREFIX = 'hosts/'
PEER_REQUEST_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 0.5
# When a fleet starts, many hosts register within a short time; a longer delay
# merges their registrations into few pages.
COALESCE_HOSTS_S = 0.5
COALESCE_S = 0.1
OUTAGE_CHECK_S = 0.2
# A host that has just started waits this long for an active runner, which sends
# it updates, before it watches the store.
START_GRACE_S = 2.0
REGISTER_RETRY_S = 0.5
REGISTER_RETRY_MAX_S = 2.0


class FleetDecoder(Protocol):
    """Decodes the objects that operators and endpoints write to the store."""

    def parse_config(self, body: str) -> FleetConfig:
        """Decodes the configuration.

        :raises MalformedRecord: the body is not a valid configuration.
        """

    def parse_endpoint(self, name: str, body: str) -> EndpointEntry | None:
        """Decodes a registration; None if it is not that of an endpoint."""


class RelaySync:
    """Keeps the shared state consistent with the store."""

    __slots__ = (
        '_snapshot_requested',
        '_started_at',
        '_blocked',
        '_blocked_watch',
        '_config_watch',
        '_decoder',
        '_endpoint_watch',
        '_evacuation_watch',
        '_host_records',
        '_host_watch',
        '_links',
        '_on_config',
        '_probe',
        '_state',
        'config_view',
        'endpoint_list',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        decoder: FleetDecoder,
        on_config: Callable[[], None],
    ) -> None:
        """Creates a watch for each synchronised prefix.

        :param on_config: called after a new configuration is in force.
        """
        self._state = state
        self._links = links
        self._decoder = decoder
        self._on_config = on_config
        self._snapshot_requested = False
        self._started_at = state.now()
        cfg = state.settings
        config_prefix = cfg.config_object.partition('/')[0]
        self._config_watch = self._make_watch(
            f'{config_prefix}/', self._apply_config
        )
        self.config_view = ConfigView(state=state, watch=self._config_watch)
        freshness = ListFreshness(
            clock=state.clock,
            on_missed=lambda: state.versions.restart(state.now()),
        )
        self._endpoint_watch = self._make_watch(
            cfg.endpoint_prefix,
            self._apply_endpoints,
            coalesce_s=COALESCE_S,
            freshness=freshness,
        )
        self.endpoint_list = EndpointList(
            watch=self._endpoint_watch, freshness=freshness
        )
        self._evacuation_watch = self._make_watch(
            cfg.evacuation_prefix,
            Evacuations(state=state).apply,
        )
        self._blocked = BlockedRecords(state=state)
        self._blocked_watch = self._make_watch(
            BLOCKED_PREFIX,
            self._blocked.apply,
        )
        self._host_records = HostRecords()
        self._host_watch = self._make_watch(
            HOST_PREFIX,
            self._apply_hosts,
            coalesce_s=COALESCE_HOSTS_S,
        )
        self._probe = StoreProbe(
            state=state,
            first=self._config_watch,
            others=[
                self._endpoint_watch,
                self._evacuation_watch,
                self._blocked_watch,
                self._host_watch,
            ],
        )

    async def run(self) -> None:
        """Follows the store, and peers during an outage, until cancelled."""
        async with PartGroup() as group:
            for watch in self._watches():
                await group.spawn(watch.run)
            await group.spawn(self.endpoint_list.run)
            await group.spawn(self._keep_registered)
            await group.spawn(self._run_outage_check)
            await group.spawn(self._run_peer_requests)
            await group.spawn(self._probe.run)
            if self._state.settings.runs_batches:
                await group.spawn(self._blocked.run)

    @property
    def in_outage(self) -> bool:
        """Whether the store is unavailable to this host."""
        return self._probe.in_outage

    @property
    def store_contact_age_s(self) -> float:
        """Seconds since the last request that the store answered was sent."""
        last_reply_at = max(
            self._config_watch.last_reply_at,
            self._endpoint_watch.last_reply_at,
        )
        return self._state.now() - last_reply_at

    async def check_store(self) -> None:
        """Checks whether the store is available."""
        await self._probe.probe()

    @property
    def is_loaded(self) -> bool:
        """Whether configuration, endpoints and evacuations are known."""
        return self._state.configured and all(
            bool(watch.revision)
            for watch in (self._endpoint_watch, self._evacuation_watch)
        )

    def make_snapshot(self, request: SnapshotAsk) -> Snapshot:
        """Copies the objects that another host does not have."""
        return Snapshot(
            parts=[
                watch.snapshot(request.known.get(watch.prefix, 0))
                for watch in self._watches()
            ],
        )

    def revisions(self) -> dict[str, int]:
        """Returns the latest known revision of each prefix."""
        return {watch.prefix: watch.revision for watch in self._watches()}

    def runner_revisions(self) -> dict[str, int]:
        """Returns the revisions that this host reports as a runner.

        Hosts take the endpoints of the active one for complete, so it leaves
        them out while its list is not fresh.
        """
        revisions = self.revisions()
        if self._state.leadership.active and not self.endpoint_list.is_fresh():
            revisions.pop(self._endpoint_watch.prefix)
        return revisions

    async def catch_up(self, address: str, revisions: dict[str, int]) -> None:
        """Requests a snapshot from a host that has a newer revision."""
        behind = any(
            revisions.get(watch.prefix, 0) > watch.revision
            for watch in self._watches()
        )
        if behind and not self._snapshot_requested:
            self._snapshot_requested = True
            try:
                await self.request_snapshot(address)
            finally:
                self._snapshot_requested = False

    async def request_snapshot(self, address: str) -> None:
        """Takes over what another host has and this one does not."""
        try:
            reply = await self._links.request_at(
                address,
                SnapshotAsk(known=self.revisions()),
                PEER_TIMEOUT_S,
            )
        except PeerUnavailable as exc:
            log_event('peer_silent', address=address, detail=exc.detail)
            return
        if isinstance(reply, Snapshot):
            await self._apply_snapshot(reply)

    async def deregister(self) -> None:
        """Removes the registration of this host."""
        name = f'{HOST_PREFIX}{self._state.host}'
        try:
            found = await self._state.store.read(name)
            if found and self._state.incarnation in (found.body or ''):
                await self._state.store.delete(name, found.version)
        except (StoreUnavailable, StoreConflict) as exc:
            log_event('deregister_failed', detail=exc.detail)

    def _make_watch(
        self,
        prefix: str,
        on_change,
        *,
        coalesce_s: float = 0.0,
        freshness: ListFreshness | None = None,
    ) -> ObjectWatch:
        return ObjectWatch(
            store=self._state.store,
            prefix=prefix,
            on_change=on_change,
            rng=self._state.rng,
            has_update_source=self._state.has_update_source,
            make_delays=lambda: self._make_delays(coalesce_s),
            is_probed=True,
            freshness=freshness,
        )

    def _make_delays(self, coalesce_s: float) -> WatchDelays:
        if self._state.settings.runs_batches:
            # Runners have to discover each other without delay.
            return WatchDelays(
                coalesce_s=min(coalesce_s, COALESCE_S),
                wait_s=MIN_WATCH_WAIT_S,
            )
        just_started = self._state.now() - self._started_at < START_GRACE_S
        pace = self._state.pace
        return WatchDelays(
            update_grace_s=(
                START_GRACE_S if just_started else pace.update_grace_s
            ),
            coalesce_s=coalesce_s,
            wait_s=pace.watch_wait_s,
        )

    def _watches(self) -> tuple[ObjectWatch, ...]:
        return (
            self._config_watch,
            self._endpoint_watch,
            self._evacuation_watch,
            self._blocked_watch,
            self._host_watch,
        )

    async def _apply_config(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        for one in changed:
            if one.name != self._state.settings.config_object or not one.body:
                continue
            try:
                config = self._decoder.parse_config(one.body)
            except MalformedRecord as exc:
                log_event('bad_object', name=one.name, detail=exc.detail)
                continue
            if self._state.apply_config(config, one.version):
                self._state.metrics.table_revision.set(one.version)
                log_event(
                    'config_in_force',
                    version=config.version,
                    revision=one.version,
                    from_store=not watch.in_outage,
                )
                self._on_config()

    async def _apply_endpoints(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        table = self._state.endpoints
        now = self._state.now()
        for one in changed:
            endpoint_id = one.name.removeprefix(watch.prefix)
            entry = None
            if one.body is not None:
                entry = self._decoder.parse_endpoint(endpoint_id, one.body)
            if entry is None:
                table.remove(endpoint_id, one.version, now)
            else:
                table.put(entry, one.version)
                self._state.versions.note_registration(entry, now)
                # It may leave before the next page is applied.
                self._state.versions.add(entry.service, [entry.version], now)
            log_event(
                'endpoint',
                endpoint=endpoint_id,
                usable=bool(entry and not entry.leaving),
                version=one.version,
            )
        self._state.refresh_placements()

    async def _apply_hosts(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        hosts = self._host_records.read(watch.objects())
        self._state.update_hosts(hosts)
        addresses = {host.peer_address for host in hosts}
        await self._links.keep_only(addresses)
        log_event('hosts', known=len(hosts))

    async def _run_outage_check(self) -> None:
        table = self._state.endpoints
        was_in_outage = True
        while True:
            await curio.sleep(OUTAGE_CHECK_S)
            is_in_outage = self._endpoint_watch.in_outage
            if is_in_outage and not was_in_outage:
                table.on_store_outage()
            elif was_in_outage and not is_in_outage:
                table.on_store_recovery(self._state.now())
            was_in_outage = is_in_outage
            if table.drop_lapsed(self._state.now()):
                self._state.refresh_placements()

    async def _keep_registered(self) -> None:
        cfg = self._state.settings
        record = RelayHost(
            host=cfg.host,
            incarnation=self._state.incarnation,
            data_centre=cfg.data_centre,
            peer_address=cfg.peer_listen,
            runs_batches=cfg.runs_batches,
        )
        pause_s = REGISTER_RETRY_S
        while True:
            known = self._state.hosts.get(cfg.host)
            if known != record and not self._state.leaving:
                done = await self._register(serialize_json(record))
                pause_s = (
                    REGISTER_RETRY_S
                    if done
                    else min(REGISTER_RETRY_MAX_S, pause_s * 2)
                )
            await curio.sleep(pause_s)

    async def _register(self, body: str) -> bool:
        """Writes the registration of this host.

        :returns: false if the store did not answer.
        """
        name = f'{HOST_PREFIX}{self._state.host}'
        store = self._state.store
        known = {one.name: one for one in self._host_watch.objects()}
        found = known.get(name)
        try:
            await store.write(name, body, found.version if found else ABSENT)
        except StoreConflict:
            log_event('register_raced', name=name)
        except StoreUnavailable as exc:
            log_event('register_failed', detail=exc.detail)
            return False
        return True

    async def _run_peer_requests(self) -> None:
        while True:
            await curio.sleep(PEER_REQUEST_INTERVAL_S)
            if self.in_outage:
                await self._request_any_snapshot()

    async def _request_any_snapshot(self) -> None:
        addresses = {
            one.peer_address
            for one in self._state.hosts.values()
            if one.host != self._state.host
        }
        known = sorted(addresses) or self._state.settings.seeds
        others = [
            one for one in known if one != self._state.settings.peer_listen
        ]
        if not others:
            return
        address = self._state.rng.choice(others)
        await self.request_snapshot(address)

    async def _apply_snapshot(self, snapshot: Snapshot) -> None:
        watches = {watch.prefix: watch for watch in self._watches()}
        for part in snapshot.parts:
            watch = watches.get(part.prefix)
            if watch is not None:
                await watch.apply_snapshot(part)
