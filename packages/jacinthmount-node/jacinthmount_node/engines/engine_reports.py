"""Reports of online requests in flight to the owners of the engines."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.ports import EngineLoad
from jacinthmount.routing import EndpointState

from jacinthmount_node.members.endpoint_owners import EndpointOwners
from jacinthmount_node.messages import (
    EngineOnline,
    EngineReport,
    EngineReportReply,
    EngineView,
)
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('REPORT_TIMEOUT_S', 'EngineReporter')

REPORT_INTERVAL_S = 0.005
REPORT_TIMEOUT_S = 0.5


class EngineReporter:
    """Sends changed counts in one message for each owner host."""

    __slots__ = (
        '_changed',
        '_links',
        '_node',
        '_owners',
        '_wake',
    )

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        owners: EndpointOwners,
    ) -> None:
        self._node = node
        self._links = links
        self._owners = owners
        self._changed: set[str] = set()
        self._wake = curio.Event()

    async def mark_changed(self, engine: str) -> None:
        """Schedules a report for an engine whose count has changed."""
        self._changed.add(engine)
        await self._wake.set()

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            changed = self._changed
            self._changed = set()
            grouped: dict[str, list[str]] = {}
            for engine in sorted(changed):
                host = self._owners.owner_of(engine)
                grouped.setdefault(host, []).append(engine)
            for host, engines in grouped.items():
                await curio.spawn(self._report, host, engines, daemon=True)
            await curio.sleep(REPORT_INTERVAL_S)

    async def _report(self, host: str, engines: list[str]) -> None:
        node = self._node
        record = node.members.get(host)
        if record is None or record.host == node.host:
            return
        states = {
            state.endpoint.name: state
            for state in node.iter_states()
            if state.endpoint.name in engines
        }
        report = EngineReport(
            host=node.host,
            engines=[
                EngineOnline(
                    engine=engine,
                    online=state.online,
                    waiting=node.has_waiting(state.endpoint.service),
                )
                for engine, state in states.items()
            ],
        )
        try:
            reply = await self._links.request(record, report, REPORT_TIMEOUT_S)
        except PeerUnavailable:
            for state in states.values():
                _reset_view(state)
            return
        if isinstance(reply, EngineReportReply):
            self._apply_views(states, reply.views)

    def _apply_views(
        self,
        states: dict[str, EndpointState],
        views: list[EngineView],
    ) -> None:
        now = self._node.now()
        for view in views:
            state = states.get(view.engine)
            if state is not None:
                _apply_view(state, view, now)


def _apply_view(state: EndpointState, view: EngineView, now: float) -> None:
    state.elsewhere = view.elsewhere
    state.contenders = view.contenders
    state.silent = view.silent
    state.reported = EngineLoad(
        running=view.running,
        waiting=view.waiting,
        slots=state.endpoint.slots,
        age_s=view.age_s,
    )
    state.reported_at = now


def _reset_view(state: EndpointState) -> None:
    state.elsewhere = 0
    state.contenders = 1
    state.silent = False
