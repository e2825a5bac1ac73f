"""Reports of this host to the runners, and handling of their replies."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.held_shares import HeldShares
from jacinthmount.rate_shares import ShareReport

from jacinthmount_node.logs import log_event
from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.active_runner import ActiveRunner
from jacinthmount_node.relay.messages import (
    EndpointUseReport,
    EndpointViews,
    Forward,
    HostReport,
    HostReportReply,
    RelayHost,
    RunnerClaim,
)
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('HostReporter',)

# Applies while no active runner is known, and between runners.
SEARCH_INTERVAL_S = 0.3
MIN_PAUSE_S = 0.01
# Pause after a report that another host forwards to a runner.
PEER_REPORT_PAUSE_S = 0.1
REPORT_TIMEOUT_S = 0.3


class HostReporter:
    """Reports to the active runner on change, to all runners at intervals."""

    __slots__ = (
        '_peer_requests',
        '_links',
        '_active_lost',
        '_last_report_at',
        '_shares',
        '_last_shares_at',
        '_report_to_all_at',
        '_state',
        '_sync',
        '_changed',
        'active',
        'on_views',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        peer_requests: PeerRequests,
        sync: RelaySync,
        shares: HeldShares,
    ) -> None:
        self._state = state
        self.active = ActiveRunner(state=state)
        self._sync = sync
        self._shares = shares
        self._links = links
        self._peer_requests = peer_requests
        self._changed = curio.Event()
        self._active_lost = curio.Event()
        now = state.now()
        # The random offset spreads the reports of hosts that start together.
        self._last_report_at = now - state.rng.uniform(0, SEARCH_INTERVAL_S)
        self._last_shares_at = self._last_report_at
        self._report_to_all_at = now
        self.on_views = _ignore_views

    async def run(self) -> None:
        """Reports until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._report_at_intervals)
            await group.spawn(self._report_on_change)

    async def note_change(self) -> None:
        """Signals that the requests in flight have changed."""
        await self._changed.set()

    async def announce(self) -> None:
        """Notifies all hosts that this one is the active runner."""
        claim = RunnerClaim(
            state=self._state.leadership.state(),
            address=self._state.settings.peer_listen,
            revisions=self._sync.revisions(),
        )
        for host in self._state.hosts.values():
            if host.host != self._state.host:
                await curio.spawn(self._send_claim, host, claim, daemon=True)

    async def on_claim(self, claim: RunnerClaim) -> None:
        """Records the claim of a newly active runner and reports to it."""
        self.active.record_state(claim.state)
        await curio.spawn(self._catch_up_and_report, claim, daemon=True)

    async def _catch_up_and_report(self, claim: RunnerClaim) -> None:
        await self._sync.catch_up(claim.address, claim.revisions)
        await self.note_change()

    async def _send_claim(self, host: RelayHost, claim: RunnerClaim) -> None:
        try:
            await self._links.request_at(
                host.peer_address, claim, REPORT_TIMEOUT_S
            )
        except PeerUnavailable as exc:
            # That host learns of the active runner from its next report.
            log_event('claim_not_delivered', peer=host.host, detail=exc.detail)

    async def _report_at_intervals(self) -> None:
        while True:
            now = self._state.now()
            interval_s = self._state.pace.interval_s
            if now >= self._report_to_all_at or self._reports_to_all():
                self._report_to_all_at = (
                    now + self._state.pace.standby_interval_s
                )
                await self._report_to_all()
            elif now >= self._last_report_at + interval_s:
                await self._report_to_active()
            async with curio.ignore_after(self._pause_s()):
                await self._active_lost.wait()
            self._active_lost.clear()

    def _reports_to_all(self) -> bool:
        return self._state.settings.runs_batches or not self.active.is_able()

    def _pause_s(self) -> float:
        if self._reports_to_all():
            return SEARCH_INTERVAL_S
        due_at = min(
            self._last_report_at + self._state.pace.interval_s,
            self._report_to_all_at,
        )
        return max(MIN_PAUSE_S, due_at - self._state.now())

    async def _report_to_all(self) -> None:
        active = self.active.find()
        shares = self._next_shares()
        for runner in self._state.runners():
            own = shares if active in {None, runner} else None
            await curio.spawn(self._report, runner, own, daemon=True)
        self._last_report_at = self._state.now()
        if active is None:
            await curio.spawn(self._report_by_peer, shares, daemon=True)

    async def _report_to_active(self) -> None:
        active = self.active.find()
        if active is None:
            await curio.spawn(self._report_by_peer, None, daemon=True)
            # Each report that a peer forwards costs messages at two hosts.
            await curio.sleep(PEER_REPORT_PAUSE_S)
        elif active.host != self._state.host:
            self._last_report_at = self._state.now()
            shares = self._next_shares()
            await curio.spawn(self._report, active, shares, daemon=True)

    def _next_shares(self) -> ShareReport | None:
        now = self._state.now()
        if (
            now
            < self._last_shares_at + self._state.pace.interval_s - MIN_PAUSE_S
        ):
            return None
        self._last_shares_at = now
        return self._shares.make_report(self._state.incarnation, now)

    async def _report_on_change(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._report_to_active()
            # Bounds the rate at which all hosts together report to one runner.
            await curio.sleep(self._state.pace.change_pause_s)

    def _make_report(
        self,
        shares: ShareReport | None,
    ) -> HostReport:
        state = self._state
        own = state.leadership.state() if state.settings.runs_batches else None
        return HostReport(
            host=state.host,
            state=own,
            active=self.active.find_remote_state(),
            shares=shares,
            leaving=state.endpoints.announced_leaving(),
            uses=[
                EndpointUseReport(
                    endpoint_id=use.entry.endpoint_id,
                    online=use.online,
                )
                for placement in state.placements.values()
                for use in placement.uses()
                if use.online
            ],
        )

    async def _report(
        self,
        runner: RelayHost,
        shares: ShareReport | None,
    ) -> None:
        sent_at = self._state.now()
        requested_at = self._sync.endpoint_list.now()
        try:
            reply = await self._links.request_at(
                runner.peer_address,
                self._make_report(shares),
                REPORT_TIMEOUT_S,
            )
        except PeerUnavailable:
            self._state.centres.on_timeout(runner.data_centre, sent_at)
            self._state.peer_choice.on_failed(runner.host, self._state.now())
            if self.active.on_unreachable(runner.host):
                # Reports to all runners without delay, to detect what else is
                # unreachable.
                await self._active_lost.set()
            return
        if isinstance(reply, HostReportReply):
            self.active.record_state(reply.state)
            await self._apply_reply(runner.peer_address, reply, shares)
            if reply.state.active and reply.state.can_run:
                self._sync.endpoint_list.on_runner_reply(
                    requested_at, reply.revisions
                )

    async def _report_by_peer(
        self,
        shares: ShareReport | None,
    ) -> None:
        # A host that cannot reach the runners still sends requests to the
        # endpoints, so its load is reported through another host.
        peer = self._peer_requests.choose()
        if peer is None or self._state.settings.runs_batches:
            return
        try:
            reply = await self._peer_requests.request(
                peer,
                Forward(body=self._make_report(shares)),
                REPORT_TIMEOUT_S,
            )
        except PeerUnavailable:
            return
        if isinstance(reply, HostReportReply):
            await self._apply_reply(peer.peer_address, reply, shares)

    def _apply_views(self, views: EndpointViews, now: float) -> None:
        known = self._state.endpoints.ids()
        if known.digest != views.digest:
            return
        counts = zip(
            known.ids,
            views.online,
            views.batch,
            strict=True,
        )
        for endpoint_id, online, batch in counts:
            use = self._state.find_endpoint_use(endpoint_id)
            if use is not None:
                use.on_view(online, batch, now)

    async def _apply_reply(
        self,
        address: str,
        reply: HostReportReply,
        shares: ShareReport | None,
    ) -> None:
        # Any runner may be the first to receive a change from the store.
        await self._sync.catch_up(address, reply.revisions)
        self._state.add_leaving(reply.leaving)
        now = self._state.now()
        if reply.state.can_run:
            self._state.note_update_source(
                address, by_active=reply.state.active
            )
        if not reply.state.active:
            return
        if reply.views is not None:
            self._apply_views(reply.views, now)
        if shares is not None and reply.parts:
            self._shares.on_parts(shares.number, reply.parts, now)
        await self.on_views()


async def _ignore_views() -> None:
    """Default callback, used on hosts that serve no callers."""
