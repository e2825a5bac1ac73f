"""Startup, operation and graceful shutdown of a relay process."""

import random
import signal

import curio
from jacinthmount.caller_memory import CallerMemory
from jacinthmount.held_shares import HeldShares

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.connection_memory import make_caller_memory
from jacinthmount_node.net.endpoint_pools import (
    EndpointPools,
    make_answer_memory,
)
from jacinthmount_node.net.http_messages import ServerLimits
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.peers import PeerServer
from jacinthmount_node.net.sockets import UNREAD_BYTES, listen
from jacinthmount_node.parts import Part, run_parts, run_process
from jacinthmount_node.relay.batch_runner import RelayBatchRunner
from jacinthmount_node.relay.endpoint_notices import EndpointNotices
from jacinthmount_node.relay.fallback_store import FallbackStore
from jacinthmount_node.relay.front_assembly import FrontAssembly
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.item_runs import ItemRunner
from jacinthmount_node.relay.message_handler import MessageHandler
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.ports import RelayPorts
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.retirement import Retirement
from jacinthmount_node.relay.runner_capacity import RunnerCapacity
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.settings import RelaySettings
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.status_pages import StatusPages
from jacinthmount_node.relay.sync import RelaySync
from jacinthmount_node.relay.tracked_links import TrackedLinks, open_links

__all__ = ('RelayDaemon', 'run_relay')

RESTART_PAUSE_S = 0.5
# What callers of the readiness and metrics listeners may make it keep.
PROBE_MEMORY_BYTES = 4_194_304
SIGNAL_POLL_S = 0.1
# Load balancers may still send requests for this long after the process stops
# being ready.
BALANCER_DRAIN_S = 3.2
# Requests taken later must fit into the stop by all the time they may take.
# Idle connections are closed then, so that their callers go elsewhere.
ESTIMATES_S = 2.8
# Part of the stop time that is reserved for the steps after the drain.
STOP_RESERVE_S = 1.0
# Requests have their own errors sent for this long before they are cut.
CUT_DELAY_S = 0.2
# Time to send the answers to requests that are cut.
CUT_TIMEOUT_S = 0.3


class RelayDaemon:
    """All components of one relay process."""

    __slots__ = (
        '_caller_memory',
        '_notices',
        '_front_server',
        '_limits',
        '_pages',
        '_parts',
        '_pools',
        '_ports',
        '_probe_memory',
        '_connectivity',
        '_reporter',
        '_runner',
        '_runner_link',
        '_shares',
        '_state',
        '_store',
        '_sync',
    )

    def __init__(self, *, settings: RelaySettings, ports: RelayPorts) -> None:
        """Opens the listeners and connects the components.

        :raises OSError: an address is in use.
        """
        state = RelayState(
            settings=settings,
            store=ports.store,
            clock=ports.clock,
            rng=random.Random(),
        )
        self._state = state
        self._ports = ports
        self._limits = ServerLimits()
        memory = make_answer_memory(settings.memory_mb)
        self._pools = EndpointPools(memory=memory)
        state.metrics.show_answer_memory(memory)
        self._caller_memory = make_caller_memory(
            settings.memory_mb,
            settings.max_descriptors,
            state.metrics,
        )
        # Probes are answered while callers fill their budget.
        self._probe_memory = CallerMemory(
            clock=ports.clock, limit_bytes=PROBE_MEMORY_BYTES
        )
        self._front_server: HttpServer | None = None
        self._runner: RelayBatchRunner | None = None
        links = open_links(state)
        peer_requests = PeerRequests(state=state, links=links)
        self._store = FallbackStore(
            direct=ports.store,
            state=state,
            peer_requests=peer_requests,
        )
        state.store = self._store
        self._sync = RelaySync(
            state=state,
            links=links,
            decoder=ports.decoder,
            on_config=self._on_config,
        )
        self._connectivity = HostConnectivity(state=state, sync=self._sync)
        self._pages = StatusPages(
            state=state,
            sync=self._sync,
            connectivity=self._connectivity,
        )
        self._store.is_unavailable = self._connectivity.is_store_unavailable
        self._shares = HeldShares(
            now=state.now(),
            slack=state.settings.rate_slack,
            window_s=state.settings.rate_window_s,
        )
        self._reporter = HostReporter(
            state=state,
            links=links,
            peer_requests=peer_requests,
            sync=self._sync,
            shares=self._shares,
        )
        self._notices = EndpointNotices(
            state=state,
            links=links,
            pool=self._pools.online,
            active=self._reporter.active,
            sync=self._sync,
        )
        self._runner_link = RunnerLink(
            state=state,
            links=links,
            peer_requests=peer_requests,
            active=self._reporter.active,
        )
        self._parts: dict[str, Part] = {
            'sync': self._sync.run,
            'reports': self._reporter.run,
            'endpoint notices': self._notices.run,
            'store calls': self._store.direct.run,
        }
        rooms = None
        if settings.runs_batches:
            rooms = self._make_runner()
        if settings.front_listen:
            self._make_front(links)
        message_handler = MessageHandler(
            state=state,
            store=self._store.direct,
            sync=self._sync,
            runner_link=self._runner_link,
            reporter=self._reporter,
            notices=self._notices,
            rooms=rooms,
            runner=self._runner,
        )
        self._parts['peers'] = PeerServer(
            sock=listen(settings.peer_listen),
            context=None,
            handler=message_handler.handle,
            metrics=state.metrics,
        ).run
        if settings.metrics_listen:
            self._add_http(
                'metrics', settings.metrics_listen, self._pages.answer_metrics
            )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
        signal.signal(signal.SIGHUP, self._on_reload)
        log_event('started', incarnation=self._state.incarnation)
        await run_parts(
            self._parts,
            self._shut_down,
            restart_pause_s=RESTART_PAUSE_S,
            poll_s=SIGNAL_POLL_S,
        )

    def _make_runner(self) -> RunnerCapacity:
        rooms = RunnerCapacity(state=self._state)
        self._runner = RelayBatchRunner(
            state=self._state,
            rooms=rooms,
            item_runner=ItemRunner(
                state=self._state,
                pool=self._pools.items,
                protocol=self._ports.endpoints,
                notices=self._notices,
            ),
            copies=self._store.copies,
            connectivity=self._connectivity,
            config_view=self._sync.config_view,
            announce=self._reporter.announce,
        )
        self._parts['batches'] = self._runner.run
        self._parts['retirement'] = Retirement(
            state=self._state,
            board=self._ports.retirements,
            runner=self._runner,
        ).run
        return rooms

    def _make_front(self, links: TrackedLinks) -> None:
        state = self._state
        assembly = FrontAssembly(
            state=state,
            ports=self._ports,
            pools=self._pools,
            links=links,
            reporter=self._reporter,
            runner_link=self._runner_link,
            notices=self._notices,
            shares=self._shares,
            connectivity=self._connectivity,
            sync=self._sync,
        )
        self._parts.update(assembly.parts)
        self._front_server = HttpServer(
            sock=listen(state.settings.front_listen, unread_bytes=UNREAD_BYTES),
            handler=assembly.front.handle,
            limits=self._limits,
            memory=self._caller_memory,
        )
        self._parts['front'] = self._front_server.run
        if state.settings.ready_listen:
            self._add_http(
                'ready',
                state.settings.ready_listen,
                self._pages.answer_readiness,
            )

    def _add_http(self, name: str, address: str, handler) -> None:
        server = HttpServer(
            sock=listen(address, unread_bytes=UNREAD_BYTES),
            handler=handler,
            memory=self._probe_memory,
        )
        self._parts[name] = server.run

    def _on_reload(self, number: int, frame: object) -> None:
        # All settings that may change while a process runs are in the store.
        log_event('reload_ignored')

    def _on_config(self) -> None:
        limits = self._state.config.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.header_s = limits.header_s
        self._limits.idle_s = limits.idle_s

    async def _shut_down(self) -> None:
        log_event('leaving')
        started_at = self._state.now()
        self._state.leaving = True
        self._state.stop.begin(
            started_at + self._state.settings.stop_s - STOP_RESERVE_S,
            started_at + ESTIMATES_S,
        )
        if self._front_server is not None:
            self._front_server.close_after_answers()
        if self._runner is not None:
            await self._runner.stop()
        if self._front_server is not None:
            await self._sleep_until(started_at + ESTIMATES_S)
            await self._close_idle(
                self._front_server, started_at + BALANCER_DRAIN_S
            )
            await self._drain(self._front_server)
        await self._sync.deregister()
        log_event('stopped')

    async def _drain(self, server: HttpServer) -> None:
        cut_at = self._state.stop.ends_at + CUT_DELAY_S
        async with curio.ignore_after(max(0, cut_at - self._state.now())):
            await server.drain()
        async with curio.ignore_after(CUT_TIMEOUT_S):
            await server.cut_answers()

    async def _close_idle(self, server: HttpServer, until: float) -> None:
        async with curio.ignore_after(self._left_s(until)):
            await server.close_idle()

    async def _sleep_until(self, moment: float) -> None:
        await curio.sleep(self._left_s(moment))

    def _left_s(self, moment: float) -> float:
        # The stop may be shorter than its parts.
        until = min(moment, self._state.stop.ends_at)
        return max(0, until - self._state.now())


def run_relay(settings: RelaySettings, ports: RelayPorts) -> None:
    """Runs a relay process until it receives SIGTERM or SIGINT."""
    daemon = RelayDaemon(settings=settings, ports=ports)
    run_process(daemon.run)
