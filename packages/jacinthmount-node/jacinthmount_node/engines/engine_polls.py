"""Polls of load reports from the engines that this host owns."""

from collections.abc import Awaitable, Callable

import curio
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import PeerUnavailable
from jacinthmount.ports import EngineLoad, LoadReports

from jacinthmount_node.node import Node

__all__ = ('EnginePolls',)

POLL_INTERVAL_S = 1.0
# An engine is unresponsive after this many failed polls in a row.
UNRESPONSIVE_AFTER_MISSES = 2


class EnginePolls:
    """Polls load reports and detects unresponsive engines.

    Only the owner polls an engine, so each report is read once per data centre.
    """

    __slots__ = ('_loads', '_missed_polls', '_node', '_on_silent', '_reports')

    def __init__(self, *, node: Node, reports: LoadReports) -> None:
        self._node = node
        self._reports = reports
        self._loads: dict[str, tuple[EngineLoad, float]] = {}
        self._missed_polls: dict[str, int] = {}

    async def run(
        self,
        list_endpoints: Callable[[], list[Endpoint]],
        on_silent: Callable[[str, bool], Awaitable[None]],
    ) -> None:
        """Polls the listed endpoints until cancelled.

        :param list_endpoints: lists the endpoints to poll.
        :param on_silent: called with an engine's name and whether it is
            unresponsive, when that changes.
        """
        self._on_silent = on_silent
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            for endpoint in list_endpoints():
                await curio.spawn(self._poll, endpoint, daemon=True)

    def newest(self, engine: str) -> tuple[EngineLoad | None, float]:
        """Returns the newest load report and the time at which it was read."""
        return self._loads.get(engine, (None, self._node.now()))

    def is_unresponsive(self, engine: str) -> bool:
        """Checks whether several polls of an engine in a row failed."""
        return self._missed_polls.get(engine, 0) >= UNRESPONSIVE_AFTER_MISSES

    def drop(self, engine: str) -> None:
        """Drops the state of an engine that another host owns."""
        self._loads.pop(engine, None)
        self._missed_polls.pop(engine, None)

    async def _poll(self, endpoint: Endpoint) -> None:
        if self._node.catalogue.kind_of(endpoint.service) != 'model':
            return
        engine = endpoint.name
        state = self._node.router(endpoint.service).find(engine)
        try:
            load = await self._reports.read_load(endpoint.address)
        except PeerUnavailable:
            self._missed_polls[engine] = self._missed_polls.get(engine, 0) + 1
            load = None
        if load is not None:
            self._missed_polls.pop(engine, None)
            self._loads[engine] = (load, self._node.now())
        if state is not None:
            silent = self.is_unresponsive(engine)
            if state.silent is not silent:
                state.silent = silent
                await self._on_silent(engine, silent)
            state.reported = load or state.reported
            if load is not None:
                state.reported_at = self._node.now()
