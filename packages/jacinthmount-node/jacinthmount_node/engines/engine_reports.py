"""Reports of online requests in flight, sent to the hosts that decide."""

import curio
from jacinthmount.errors import PeerUnavailable
from jacinthmount.ports import EngineLoad
from jacinthmount.routing import EndpointState

from jacinthmount_node.members.endpoint_owners import Deciders
from jacinthmount_node.messages import (
    EngineOnline,
    EngineReport,
    EngineReportReply,
    EngineView,
)
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('REPORT_TIMEOUT_S', 'EngineReporter')

FLUSH_INTERVAL_S = 0.005
REPORT_TIMEOUT_S = 0.5


class EngineReporter:
    """Sends counts that changed, one message a deciding host."""

    __slots__ = ('_deciders', '_dirty', '_links', '_node', '_wake')

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        deciders: Deciders,
    ) -> None:
        """Starts with nothing to send."""
        self._node = node
        self._links = links
        self._deciders = deciders
        self._dirty: set[str] = set()
        self._wake = curio.Event()

    async def note(self, engine: str) -> None:
        """Notes that the count of an engine has changed."""
        self._dirty.add(engine)
        await self._wake.set()

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            dirty = self._dirty
            self._dirty = set()
            grouped: dict[str, list[str]] = {}
            for engine in sorted(dirty):
                host = self._deciders.host_of(engine)
                grouped.setdefault(host, []).append(engine)
            for host, engines in grouped.items():
                await curio.spawn(self._report, host, engines, daemon=True)
            await curio.sleep(FLUSH_INTERVAL_S)

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
                    waiting=node.waits(state.endpoint.service),
                )
                for engine, state in states.items()
            ],
        )
        try:
            reply = await self._links.request(record, report, REPORT_TIMEOUT_S)
        except PeerUnavailable:
            for state in states.values():
                _forget_view(state)
            return
        if isinstance(reply, EngineReportReply):
            self._take_views(states, reply.views)

    def _take_views(
        self,
        states: dict[str, EndpointState],
        views: list[EngineView],
    ) -> None:
        now = self._node.now()
        for view in views:
            state = states.get(view.engine)
            if state is not None:
                _take_view(state, view, now)


def _take_view(state: EndpointState, view: EngineView, now: float) -> None:
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


def _forget_view(state: EndpointState) -> None:
    state.elsewhere = 0
    state.contenders = 1
    state.silent = False
