"""Reports of this host to the runners, and what they answer."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.held_shares import HeldShares
from jacinthmount.rate_shares import ShareReport

from jacinthmount_node.logs import log_event
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

# While no runner is known, and among runners.
SEARCH_INTERVAL_S = 0.3
MIN_PAUSE_S = 0.01
BY_PEER_S = 0.1
TIMEOUT_S = 0.3


class HostReporter:
    """Reports to the active runner as things change, to all at intervals."""

    __slots__ = (
        '_peer_requests',
        '_links',
        '_lost',
        '_reported_at',
        '_shares',
        '_shares_at',
        '_standby_at',
        '_state',
        '_sync',
        '_wake',
        'active',
        'on_view',
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
        """Starts with nothing reported."""
        self._state = state
        self.active = ActiveRunner(state=state)
        self._sync = sync
        self._shares = shares
        self._links = links
        self._peer_requests = peer_requests
        self._wake = curio.Event()
        self._lost = curio.Event()
        now = state.now()
        # Hosts that start together do not report at the same moments.
        self._reported_at = now - state.rng.uniform(0, SEARCH_INTERVAL_S)
        self._shares_at = self._reported_at
        self._standby_at = now
        self.on_view = _ignore_view

    async def run(self) -> None:
        """Reports until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_interval)
            await group.spawn(self._run_changes)

    async def note_change(self) -> None:
        """Notes that what is in flight has changed."""
        await self._wake.set()

    async def announce(self) -> None:
        """Tells all hosts that this one is the active runner."""
        claim = RunnerClaim(
            state=self._state.leadership.state(),
            address=self._state.settings.peer_listen,
            revisions=self._sync.revisions(),
        )
        for host in self._state.hosts.values():
            if host.host != self._state.host:
                await curio.spawn(self._tell, host, claim, daemon=True)

    async def take_claim(self, claim: RunnerClaim) -> None:
        """Takes what a runner that became active says, and reports to it."""
        self.active.record_state(claim.state)
        await curio.spawn(self._follow_claim, claim, daemon=True)

    async def _follow_claim(self, claim: RunnerClaim) -> None:
        await self._sync.catch_up(claim.address, claim.revisions)
        await self.note_change()

    async def _tell(self, host: RelayHost, claim: RunnerClaim) -> None:
        try:
            await self._links.request_at(host.peer_address, claim, TIMEOUT_S)
        except PeerUnavailable as exc:
            # It finds out by its next report.
            log_event('claim_untold', peer=host.host, detail=exc.detail)

    async def _run_interval(self) -> None:
        while True:
            now = self._state.now()
            interval_s = self._state.pace.interval_s
            if now >= self._standby_at or self._reports_to_all():
                self._standby_at = now + self._state.pace.standby_interval_s
                await self._report_to_all()
            elif now >= self._reported_at + interval_s:
                await self._report_to_active()
            async with curio.ignore_after(self._pause_s()):
                await self._lost.wait()
            self._lost.clear()

    def _reports_to_all(self) -> bool:
        return (
            self._state.settings.runs_batches
            or not self.active.has_store_access()
        )

    def _pause_s(self) -> float:
        if self._reports_to_all():
            return SEARCH_INTERVAL_S
        due_at = min(
            self._reported_at + self._state.pace.interval_s,
            self._standby_at,
        )
        return max(MIN_PAUSE_S, due_at - self._state.now())

    async def _report_to_all(self) -> None:
        active = self.active.find()
        shares = self._next_shares()
        for runner in self._state.runners():
            own = shares if active in {None, runner} else None
            await curio.spawn(self._report, runner, own, daemon=True)
        self._reported_at = self._state.now()
        if active is None:
            await curio.spawn(self._report_by_peer, shares, daemon=True)

    async def _report_to_active(self) -> None:
        active = self.active.find()
        if active is None:
            await curio.spawn(self._report_by_peer, None, daemon=True)
            # Each such question costs two hosts a message.
            await curio.sleep(BY_PEER_S)
        elif active.host != self._state.host:
            self._reported_at = self._state.now()
            shares = self._next_shares()
            await curio.spawn(self._report, active, shares, daemon=True)

    def _next_shares(self) -> ShareReport | None:
        now = self._state.now()
        if now < self._shares_at + self._state.pace.interval_s - MIN_PAUSE_S:
            return None
        self._shares_at = now
        return self._shares.make_report(self._state.incarnation, now)

    async def _run_changes(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._report_to_active()
            # What all hosts together report to one runner stays bounded.
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
        asked_at = self._state.now()
        try:
            reply = await self._links.request_at(
                runner.peer_address,
                self._make_report(shares),
                TIMEOUT_S,
            )
        except PeerUnavailable:
            self._state.centres.on_timeout(runner.data_centre, asked_at)
            self._state.peer_choice.on_failed(runner.host, self._state.now())
            if self.active.on_unreachable(runner.host):
                # What else is out of reach is found out at once.
                await self._lost.set()
            return
        if isinstance(reply, HostReportReply):
            self.active.record_state(reply.state)
            await self._take_reply(runner.peer_address, reply, shares)

    async def _report_by_peer(
        self,
        shares: ShareReport | None,
    ) -> None:
        # Cut off from the runners, this host still loads their endpoints.
        peer = self._peer_requests.choose()
        if peer is None or self._state.settings.runs_batches:
            return
        try:
            reply = await self._peer_requests.request(
                peer,
                Forward(body=self._make_report(shares)),
                TIMEOUT_S,
            )
        except PeerUnavailable:
            return
        if isinstance(reply, HostReportReply):
            await self._take_reply(peer.peer_address, reply, shares)

    def _take_views(self, views: EndpointViews, now: float) -> None:
        counts = zip(
            views.endpoint_ids,
            views.online,
            views.batch,
            strict=True,
        )
        for endpoint_id, online, batch in counts:
            use = self._state.find_endpoint_use(endpoint_id)
            if use is not None:
                use.on_view(online, batch, now)

    async def _take_reply(
        self,
        address: str,
        reply: HostReportReply,
        shares: ShareReport | None,
    ) -> None:
        # Any runner may be the first to see a change.
        await self._sync.catch_up(address, reply.revisions)
        self._state.add_leaving(reply.leaving)
        now = self._state.now()
        if reply.state.store_reached:
            self._state.note_update_source(
                address, by_active=reply.state.active
            )
        if not reply.state.active:
            return
        if reply.views is not None:
            self._take_views(reply.views, now)
        if shares is not None and reply.parts:
            self._shares.on_parts(shares.number, reply.parts, now)
        await self.on_view()


async def _ignore_view() -> None:
    """Stands in until somebody wants to know of new views."""
