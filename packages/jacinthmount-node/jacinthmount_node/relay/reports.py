"""Reports of this host to the runners, and what they answer."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.members import rank_hosts

from jacinthmount_node.logs import log_event
from jacinthmount_node.peers import PeerLinks
from jacinthmount_node.relay.messages import (
    EndpointUseReport,
    HostReport,
    HostReportReply,
    RelayHost,
)
from jacinthmount_node.relay.state import RelayState

__all__ = ('HostReporter',)

INTERVAL_S = 0.3
FLUSH_S = 0.01
TIMEOUT_S = 0.4
RUNNER_LIVE_S = 1.2


class HostReporter:
    """Reports to every runner at intervals, to the active one on changes."""

    __slots__ = ('_claims', '_links', '_state', '_wake', 'on_view')

    def __init__(self, *, state: RelayState, links: PeerLinks) -> None:
        """Starts with no runner known."""
        self._state = state
        self._links = links
        self._wake = curio.Event()
        self._claims: dict[str, float] = {}
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
        live = [
            host
            for host, at in self._claims.items()
            if now - at < RUNNER_LIVE_S and host in self._state.hosts
        ]
        if self._state.leadership.active:
            live.append(self._state.host)
        if not live:
            return None
        return self._state.hosts.get(rank_hosts('batch', live)[0])

    async def _run_interval(self) -> None:
        while True:
            for runner in self._state.runners():
                await curio.spawn(self._report, runner, daemon=True)
            await curio.sleep(INTERVAL_S)

    async def _run_changes(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            active = self.find_active()
            if active is not None and active.host != self._state.host:
                await curio.spawn(self._report, active, daemon=True)
            await curio.sleep(FLUSH_S)

    async def _report(self, runner: RelayHost) -> None:
        state = self._state
        own = state.leadership.state() if state.settings.runs_batches else None
        report = HostReport(
            host=state.host,
            state=own,
            waiting=state.waiting,
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
        try:
            reply = await self._links.request_at(
                runner.peer_address,
                report,
                TIMEOUT_S,
            )
        except PeerUnavailable:
            self._note_lost(runner.host)
            return
        if isinstance(reply, HostReportReply):
            await self._take_reply(reply)

    def _note_lost(self, host: str) -> None:
        self._state.leadership.on_lost(host)
        if self._claims.pop(host, None) is not None:
            log_event('runner_lost', runner=host)

    async def _take_reply(self, reply: HostReportReply) -> None:
        now = self._state.now()
        self._state.leadership.on_state(reply.state, now)
        if not reply.state.active:
            self._claims.pop(reply.state.host, None)
            return
        if reply.state.host not in self._claims:
            log_event('runner_found', runner=reply.state.host)
        self._claims[reply.state.host] = now
        for view in reply.views:
            use = self._state.find_use(view.endpoint_id)
            if use is not None:
                use.on_view(view.online, view.batch, now)
        await self.on_view()


async def _ignore_view() -> None:
    """Stands in until somebody wants to know of new views."""
