"""Startup, operation and graceful shutdown of the node process."""

import curio
from jacinthmount.members import HOST_PREFIX
from jacinthmount.ports import Stored
from jacinthmount.settings import Settings
from jacinthmount.shares import SHARE_PREFIX

from jacinthmount_node.admin import Admin
from jacinthmount_node.assembly import (
    make_callers_memory,
    make_node,
    make_orders,
)
from jacinthmount_node.batches.batch_runner import BatchRunner
from jacinthmount_node.batches.batches_api import BatchApi
from jacinthmount_node.batches.files_api import FileApi
from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.callers.calls import PlainRunner
from jacinthmount_node.callers.front import Front
from jacinthmount_node.callers.front_batches import BatchRoutes
from jacinthmount_node.callers.front_files import FileRoutes
from jacinthmount_node.callers.online import OnlineRunner
from jacinthmount_node.engines.crash_watch import CrashWatch
from jacinthmount_node.engines.engine import (
    EngineCacheEvents,
    EngineLoadReports,
)
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.engines.engine_polls import EnginePolls
from jacinthmount_node.handlers import PeerHandlers
from jacinthmount_node.logs import log_event
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.members.membership import Membership
from jacinthmount_node.members.share_task import ShareTask
from jacinthmount_node.messages import Hello
from jacinthmount_node.net.endpoint_pools import make_pool
from jacinthmount_node.net.http_server import HttpServer
from jacinthmount_node.net.object_api import HttpHostList
from jacinthmount_node.net.peers import PeerLinks, PeerServer, make_contexts
from jacinthmount_node.net.sockets import (
    UNREAD_BYTES,
    listen,
    parse_address,
)
from jacinthmount_node.parts import ignore_reloads, run_parts, run_process

__all__ = ('Daemon', 'run_daemon')

CONFIG_LOAD_RETRY_S = 0.5
RESTART_PAUSE_S = 1.0
SIGNAL_POLL_S = 0.1
# Part of the stop time that is reserved for the steps after the answers.
STOP_RESERVE_FRACTION = 0.2
# Requests have their own errors sent for this long before they are cut.
CUT_DELAY_S = 0.2
# Time to send the answers to requests that are cut.
CUT_TIMEOUT_S = 0.3


class Daemon:
    """All components of one node."""

    __slots__ = (
        '_admin_server',
        '_batch',
        '_capacity',
        '_crashes',
        '_front',
        '_front_server',
        '_links',
        '_membership',
        '_node',
        '_online',
        '_orders',
        '_peer_server',
        '_shares',
        '_sync',
    )

    def __init__(self, *, settings: Settings, token: str) -> None:
        """Opens the listeners and connects the components.

        :raises OSError: an address is in use or a file can't be read.
        """
        pool = make_pool(settings.memory_mb)
        node = make_node(settings, pool)
        node.metrics.show_answer_memory(pool.memory)
        caller_memory = make_callers_memory(settings, node.metrics)
        self._node = node
        server_context, client_context = make_contexts(
            settings.tls_ca,
            settings.tls_cert,
            settings.tls_key,
        )
        links = PeerLinks(
            local_ip=parse_address(settings.peer_listen)[0],
            context=client_context,
            hello=Hello(
                host=node.host,
                incarnation=node.incarnation,
                data_centre=node.data_centre,
            ),
            metrics=node.metrics,
        )
        self._links = links
        self._sync = ConfigSync(
            node=node,
            links=links,
            on_change=self._on_change,
        )
        self._shares = ShareTask(node=node, links=links, sync=self._sync)
        self._membership = Membership(
            node=node,
            shares=self._shares,
            sync=self._sync,
            host_list=HttpHostList(addresses=settings.platform, pool=pool),
        )
        self._capacity = EngineCapacity(
            node=node,
            links=links,
            polls=EnginePolls(
                node=node,
                reports=EngineLoadReports(pool=pool),
            ),
        )
        self._orders = make_orders(node, links, self._capacity, pool)
        admission = Admission(node=node, links=links)
        self._crashes = CrashWatch(
            node=node, links=links, sync=self._sync, pool=pool
        )
        self._online = OnlineRunner(
            node=node, rooms=self._capacity, crashes=self._crashes
        )
        files = FileApi(node=node)
        self._batch = BatchRunner(
            node=node,
            rooms=self._capacity,
            files=files,
            sync=self._sync,
            events=EngineCacheEvents(pool=pool),
            crashes=self._crashes,
        )
        batches = BatchApi(node=node, files=files, sync=self._sync)
        self._front = Front(
            node=node,
            admission=admission,
            online=self._online,
            plain=PlainRunner(
                node=node, rooms=self._capacity, crashes=self._crashes
            ),
            files=FileRoutes(
                admission=admission,
                files=files,
                batches=batches,
            ),
            batches=BatchRoutes(admission=admission, batches=batches),
        )
        peer_handlers = PeerHandlers(
            sync=self._sync,
            shares=self._shares,
            admission=admission,
            rooms=self._capacity,
            crashes=self._crashes,
        )
        self._front_server = HttpServer(
            sock=listen(settings.listen, unread_bytes=UNREAD_BYTES),
            handler=self._front.handle,
            memory=caller_memory,
        )
        self._admin_server = HttpServer(
            sock=listen(settings.admin_listen, unread_bytes=UNREAD_BYTES),
            handler=Admin(
                node=node,
                sync=self._sync,
                batch=self._batch,
                token=token,
            ).handle,
            memory=caller_memory,
        )
        self._peer_server = PeerServer(
            sock=listen(settings.peer_listen),
            context=server_context,
            handler=peer_handlers.handle,
            metrics=node.metrics,
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
        ignore_reloads()
        log_event('started', host=self._node.host)
        await run_parts(
            {
                'peers': self._peer_server.run,
                'admin': self._admin_server.run,
                'config': self._sync.run,
                'membership': self._membership.run,
                'rooms': self._capacity.run,
                'crashes': self._crashes.run,
                'online': self._online.run,
                'batch': self._batch.run,
                'orders': self._orders.run,
                'front': self._front_server.run,
                'load': self._load,
            },
            self._leave,
            restart_pause_s=RESTART_PAUSE_S,
            poll_s=SIGNAL_POLL_S,
        )

    async def _load(self) -> None:
        while not await self._sync.load():
            log_event('load_failed', host=self._node.host)
            await curio.sleep(CONFIG_LOAD_RETRY_S)
        self._node.ready = True
        log_event('ready', revision=self._node.table.revision)

    async def _leave(self) -> None:
        log_event('leaving', host=self._node.host)
        settings = self._node.settings
        started_at = self._node.now()
        self._node.ready = False
        self._node.stop.begin(
            started_at + settings.stop_s * (1 - STOP_RESERVE_FRACTION),
            started_at + settings.drain_delay_s,
        )
        self._front_server.close_after_answers()
        await curio.sleep(
            min(
                settings.drain_delay_s,
                self._node.stop.ends_at - self._node.now(),
            )
        )
        drain = await curio.spawn(self._drain)
        await self._batch.leave()
        await drain.join()
        await self._membership.leave()
        log_event('stopped', host=self._node.host)

    async def _drain(self) -> None:
        cut_at = self._node.stop.ends_at + CUT_DELAY_S
        async with curio.ignore_after(max(0, cut_at - self._node.now())):
            await self._front_server.drain()
        async with curio.ignore_after(CUT_TIMEOUT_S):
            await self._front_server.cut_answers()

    async def _on_change(self, changed: list[Stored]) -> None:
        if any(stored.name.startswith(HOST_PREFIX) for stored in changed):
            known = {
                record.peer_address for record in self._node.members.values()
            }
            await self._links.keep_only(
                known | set(self._node.settings.peers),
            )
        own = f'{SHARE_PREFIX}{self._node.data_centre}'
        for stored in changed:
            if stored.name == own:
                await self._shares.on_table(stored)
        await self._batch.on_config(changed)


def run_daemon(settings: Settings, token: str) -> None:
    """Runs a node until it receives SIGTERM or SIGINT."""
    daemon = Daemon(settings=settings, token=token)
    run_process(daemon.run)
