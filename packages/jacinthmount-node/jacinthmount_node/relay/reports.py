"""Reports of this host to the runners, and what they answer."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.leadership import RUNNER_LIVE_S, RunnerState
from jacinthmount.members import rank_hosts
from jacinthmount.rate_shares import HeldShares, ShareReport

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.heard_links import HeardLinks
from jacinthmount_node.relay.messages import (
    EndpointUseReport,
    EndpointViews,
    Forward,
    HostReport,
    HostReportReply,
    RelayHost,
    RunnerClaim,
)
from jacinthmount_node.relay.peer_help import PeerHelp
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('HostReporter',)

INTERVAL_S = 0.3
FLUSH_S = 0.01
BY_PEER_S = 0.1
FLUSH_PER_HOST_S = 0.0007
TIMEOUT_S = 0.3


class HostReporter:
    """Reports to every runner at intervals, to the active one on changes."""

    __slots__ = (
        '_claims',
        '_help',
        '_links',
        '_shares',
        '_state',
        '_sync',
        '_wake',
        'on_view',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        links: HeardLinks,
        peer_help: PeerHelp,
        sync: RelaySync,
        shares: HeldShares,
    ) -> None:
        """Starts with no runner known."""
        self._state = state
        self._sync = sync
        self._shares = shares
        self._links = links
        self._help = peer_help
        self._wake = curio.Event()
        self._claims: dict[str, tuple[RunnerState, float]] = {}
        self.on_view = _ignore_view

    async def run(self) -> None:
        """Reports until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._run_interval)
            await group.spawn(self._run_changes)

    async def note_change(self) -> None:
        """Notes that what is in flight has changed."""
        await self._wake.set()

    def find_active(self) -> RelayHost | None:
        """Finds the active runner, which may be this host."""
        now = self._state.now()
        claims = [
            state
            for state, at in self._claims.values()
            if now - at < RUNNER_LIVE_S and state.host in self._state.hosts
        ]
        if self._state.leadership.active:
            claims.append(self._state.leadership.state())
        reaching = [one for one in claims if one.store_reached]
        hosts = [one.host for one in reaching or claims]
        if not hosts:
            return None
        return self._state.hosts.get(rank_hosts('batch', hosts)[0])

    async def announce(self) -> None:
        """Tells all hosts that this one is the active runner."""
        claim = RunnerClaim(state=self._state.leadership.state())
        for host in self._state.hosts.values():
            if host.host != self._state.host:
                await curio.spawn(self._tell, host, claim, daemon=True)

    async def take_claim(self, state: RunnerState) -> None:
        """Takes what a runner that became active says, and reports to it."""
        self._note_claim(state)
        await self.note_change()

    async def _tell(self, host: RelayHost, claim: RunnerClaim) -> None:
        try:
            await self._links.request_at(host.peer_address, claim, TIMEOUT_S)
        except PeerUnavailable as exc:
            # It finds out by its next report.
            log_event('claim_untold', peer=host.host, detail=exc.detail)

    async def _run_interval(self) -> None:
        while True:
            shares = self._shares.make_report(
                self._state.incarnation,
                self._state.now(),
            )
            for runner in self._state.runners():
                await curio.spawn(self._report, runner, shares, daemon=True)
            if self.find_active() is None:
                await curio.spawn(self._report_by_peer, shares, daemon=True)
            await curio.sleep(INTERVAL_S)

    async def _run_changes(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            active = self.find_active()
            if active is None:
                await curio.spawn(self._report_by_peer, None, daemon=True)
                # Each such question costs two hosts a message.
                await curio.sleep(BY_PEER_S)
            elif active.host != self._state.host:
                await curio.spawn(self._report, active, None, daemon=True)
            # What all hosts together report to one runner stays bounded.
            hosts = len(self._state.hosts)
            await curio.sleep(max(FLUSH_S, hosts * FLUSH_PER_HOST_S))

    def _make_report(
        self,
        shares: ShareReport | None,
    ) -> HostReport:
        state = self._state
        own = state.leadership.state() if state.settings.runs_batches else None
        active = self.find_active()
        claim = self._claims.get(active.host) if active else None
        return HostReport(
            host=state.host,
            state=own,
            active=claim[0] if claim else None,
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
            self._note_lost(runner.host)
            self._state.centres.on_missed(runner.data_centre, asked_at)
            return
        if isinstance(reply, HostReportReply):
            self._note_claim(reply.state)
            await self._take_reply(runner.peer_address, reply, shares, asked_at)

    async def _report_by_peer(
        self,
        shares: ShareReport | None,
    ) -> None:
        # Cut off from the runners, this host still loads their endpoints.
        asked_at = self._state.now()
        peer = self._help.choose()
        if peer is None or self._state.settings.runs_batches:
            return
        try:
            reply = await self._help.ask(
                peer,
                Forward(body=self._make_report(shares)),
                TIMEOUT_S,
            )
        except PeerUnavailable:
            return
        if isinstance(reply, HostReportReply):
            await self._take_reply(peer.peer_address, reply, shares, asked_at)

    def _take_views(self, views: EndpointViews, now: float) -> None:
        counts = zip(
            views.endpoint_ids,
            views.online,
            views.batch,
            strict=True,
        )
        for endpoint_id, online, batch in counts:
            use = self._state.find_use(endpoint_id)
            if use is not None:
                use.on_view(online, batch, now)

    def _take_allocation(
        self,
        number: int,
        reply: HostReportReply,
        asked_at: float,
    ) -> None:
        if reply.parts:
            self._shares.on_parts(number, reply.parts, self._state.now())
        # Results may have been written since the answer was made.
        self._state.segments.replace(reply.segments, asked_at)

    def _note_lost(self, host: str) -> None:
        self._state.leadership.on_lost(host)
        if self._claims.pop(host, None) is not None:
            log_event('runner_lost', runner=host)

    def _note_claim(self, state: RunnerState) -> None:
        now = self._state.now()
        self._state.leadership.on_state(state, now)
        if not state.active:
            self._claims.pop(state.host, None)
            return
        if state.host not in self._claims:
            log_event('runner_found', runner=state.host)
        self._claims[state.host] = (state, now)

    async def _take_reply(
        self,
        address: str,
        reply: HostReportReply,
        shares: ShareReport | None,
        asked_at: float,
    ) -> None:
        # Any runner may be the first to see a change.
        await self._sync.catch_up(address, reply.revisions)
        self._state.take_leaving(reply.leaving)
        now = self._state.now()
        if not reply.state.active:
            return
        if reply.state.store_reached:
            self._state.fed_at = now
            self._state.fed_by = address
        if reply.views is not None:
            self._take_views(reply.views, now)
        if shares is not None:
            self._take_allocation(shares.number, reply, asked_at)
        await self.on_view()


async def _ignore_view() -> None:
    """Stands in until somebody wants to know of new views."""
