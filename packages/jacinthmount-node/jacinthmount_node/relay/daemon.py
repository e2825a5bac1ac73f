"""Start, run and graceful shutdown of a relay process."""

import random
import signal
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio
from jacinthmount.errors import StoreUnavailable
from jacinthmount.ports import Clock, ObjectStore, Stored
from jacinthmount.rate_shares import HeldShares

from jacinthmount_node.http_client import ClientPool
from jacinthmount_node.http_server import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)
from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.messages import Hello
from jacinthmount_node.peers import PeerLinks, PeerServer
from jacinthmount_node.relay.batch_desk import BatchDesk
from jacinthmount_node.relay.batch_runner import RelayBatchRunner
from jacinthmount_node.relay.desk import RelayDesk
from jacinthmount_node.relay.endpoint_probes import EndpointProbes
from jacinthmount_node.relay.fallback_store import FallbackStore
from jacinthmount_node.relay.front import RelayFront
from jacinthmount_node.relay.item_runs import ItemRunner
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.online import OnlineRelay
from jacinthmount_node.relay.protocols import (
    CallerProtocol,
    EndpointProtocol,
    RetirementBoard,
)
from jacinthmount_node.relay.quota import AccountQuota
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.runner_rooms import RunnerRooms
from jacinthmount_node.relay.settings import RelaySettings
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import FleetDecoder, RelaySync
from jacinthmount_node.sockets import listen

__all__ = ('RelayDaemon', 'RelayPorts', 'run_relay')

RESTART_PAUSE_S = 0.5
SIGNAL_POLL_S = 0.05
BALANCER_S = 3.2
LAST_ANSWERS_S = 1.0

Part = Callable[[], Awaitable[None]]


class RelayPorts:
    """Adapters to everything outside the process."""

    __slots__ = (
        'callers',
        'clock',
        'decoder',
        'endpoints',
        'retirements',
        'store',
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        decoder: FleetDecoder,
        callers: CallerProtocol,
        endpoints: EndpointProtocol,
        retirements: RetirementBoard,
    ) -> None:
        """Takes one adapter for each port."""
        self.store = store
        self.clock = clock
        self.decoder = decoder
        self.callers = callers
        self.endpoints = endpoints
        self.retirements = retirements


class RelayDaemon:
    """All parts of one relay process."""

    __slots__ = (
        '_front_server',
        '_limits',
        '_parts',
        '_ports',
        '_reporter',
        '_runner',
        '_runner_link',
        '_shares',
        '_state',
        '_stopping',
        '_store',
        '_sync',
    )

    def __init__(self, *, settings: RelaySettings, ports: RelayPorts) -> None:
        """Opens the listeners and wires the parts together.

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
        self._stopping = False
        self._limits = ServerLimits()
        self._front_server: HttpServer | None = None
        self._runner: RelayBatchRunner | None = None
        links = PeerLinks(
            local_ip=settings.ip,
            context=None,
            hello=Hello(
                host=state.host,
                incarnation=state.incarnation,
                data_centre=settings.data_centre,
            ),
            metrics=state.metrics,
        )
        self._store = FallbackStore(
            direct=ports.store,
            state=state,
            links=links,
        )
        state.store = self._store
        self._sync = RelaySync(
            state=state,
            links=links,
            decoder=ports.decoder,
            on_config=self._on_config,
        )
        self._shares = HeldShares(
            now=state.now(),
            slack=state.settings.rate_slack,
            window_s=state.settings.rate_window_s,
        )
        self._reporter = HostReporter(
            state=state,
            links=links,
            sync=self._sync,
            shares=self._shares,
        )
        self._runner_link = RunnerLink(
            state=state,
            links=links,
            reporter=self._reporter,
        )
        self._parts: dict[str, Part] = {
            'sync': self._sync.run,
            'reports': self._reporter.run,
        }
        rooms = None
        if settings.runs_batches:
            rooms = self._make_runner()
        if settings.front_listen:
            self._make_front()
        desk = RelayDesk(
            state=state,
            store=ports.store,
            sync=self._sync,
            runner_link=self._runner_link,
            rooms=rooms,
            runner=self._runner,
        )
        self._add_server(
            'peers',
            PeerServer(
                sock=listen(settings.peer_listen),
                context=None,
                handler=desk.handle,
                metrics=state.metrics,
            ).run,
        )
        if settings.metrics_listen:
            self._add_http('metrics', settings.metrics_listen, self._metrics)

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then leaves gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        tasks = [
            await curio.spawn(self._keep_running, name, part, daemon=True)
            for name, part in self._parts.items()
        ]
        log_event(
            'started',
            host=self._state.host,
            incarnation=self._state.incarnation,
        )
        while not self._stopping:
            await curio.sleep(SIGNAL_POLL_S)
        await self._leave()
        for task in tasks:
            await task.cancel(blocking=False)

    def _make_runner(self) -> RunnerRooms:
        rooms = RunnerRooms(state=self._state)
        self._runner = RelayBatchRunner(
            state=self._state,
            rooms=rooms,
            item_runner=ItemRunner(
                state=self._state,
                pool=ClientPool(),
                protocol=self._ports.endpoints,
            ),
            copies=self._store.copies,
            is_away=self._is_away,
            store_age_s=self._store_age_s,
        )
        self._parts['batches'] = self._runner.run
        self._parts['retirement'] = self._run_retirement
        return rooms

    def _make_front(self) -> None:
        state = self._state
        pool = ClientPool()
        relay = OnlineRelay(
            state=state,
            pool=pool,
            protocol=self._ports.endpoints,
            reporter=self._reporter,
        )
        front = RelayFront(
            state=state,
            protocol=self._ports.callers,
            quota=AccountQuota(
                state=state,
                runner_link=self._runner_link,
                shares=self._shares,
            ),
            relay=relay,
            batches=BatchDesk(
                state=state,
                runner_link=self._runner_link,
                is_isolated=self._is_isolated,
            ),
        )
        self._reporter.on_view = relay.pump
        self._front_server = HttpServer(
            sock=listen(state.settings.front_listen),
            handler=front.handle,
            limits=self._limits,
        )
        self._parts['front'] = self._front_server.run
        self._parts['online'] = relay.run
        self._parts['probes'] = EndpointProbes(state=state, pool=pool).run
        if state.settings.ready_listen:
            self._add_http(
                'ready', state.settings.ready_listen, self._readiness
            )

    def _add_server(self, name: str, part: Part) -> None:
        self._parts[name] = part

    def _add_http(self, name: str, address: str, handler) -> None:
        server = HttpServer(sock=listen(address), handler=handler)
        self._add_server(name, server.run)

    def _on_stop(self, number: int, frame: object) -> None:
        self._stopping = True

    def _on_reload(self, number: int, frame: object) -> None:
        # Everything that changes while a process runs comes from the store.
        log_event('reload_ignored', host=self._state.host)

    def _on_config(self) -> None:
        limits = self._state.config.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.header_s = limits.header_s
        self._limits.idle_s = limits.idle_s

    async def _readiness(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        ready = (
            self._sync.is_loaded
            and not self._state.leaving
            and not self._is_isolated()
        )
        await responder.send_json(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
            {'ready': ready},
        )

    def _is_isolated(self) -> bool:
        # Callers are better served elsewhere; those that come are served.
        return self._sync.in_outage and self._state.centres.is_isolated()

    def _store_age_s(self) -> float:
        return self._sync.store_age_s

    def _is_away(self) -> bool:
        return self._sync.in_outage

    async def _metrics(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        await responder.send(
            HTTPStatus.OK,
            self._state.metrics.render(),
            [('content-type', 'text/plain; version=0.0.4')],
        )

    async def _run_retirement(self) -> None:
        watch = ObjectWatch(
            store=self._state.store,
            prefix=self._ports.retirements.prefix,
            on_change=self._on_retirement,
            rng=self._state.rng,
        )
        await watch.run()

    async def _on_retirement(
        self,
        watch: ObjectWatch,
        changed: list[Stored],
    ) -> None:
        name = f'{watch.prefix}{self._state.host}'
        named = any(one.name == name and one.body for one in changed)
        if not named or self._runner is None or self._runner.stopped:
            return
        log_event('retiring', host=self._state.host)
        await self._runner.stop()
        while True:
            try:
                await self._ports.retirements.write_completed(self._state.host)
            except StoreUnavailable as exc:
                log_event('retirement_unwritten', detail=exc.detail)
                await curio.sleep(RESTART_PAUSE_S)
            else:
                log_event('retired', host=self._state.host)
                return

    async def _leave(self) -> None:
        log_event('leaving', host=self._state.host)
        self._state.leaving = True
        if self._runner is not None:
            await self._runner.stop()
        if self._front_server is not None:
            self._front_server.close_after_answers()
            await curio.sleep(BALANCER_S)
            left_s = self._state.settings.stop_s - BALANCER_S - LAST_ANSWERS_S
            async with curio.ignore_after(max(0, left_s)):
                await self._front_server.drain()
        await self._sync.deregister()
        log_event('stopped', host=self._state.host)

    async def _keep_running(self, name: str, part: Part) -> None:
        while True:
            try:
                await part()
                return
            except Exception as exc:
                log_failure(name, exc)
                await curio.sleep(RESTART_PAUSE_S)


def run_relay(settings: RelaySettings, ports: RelayPorts) -> None:
    """Runs a relay process until it is told to stop."""
    daemon = RelayDaemon(settings=settings, ports=ports)
    curio.run(daemon.run)
