"""HTTP/1.1 server with one task per connection, limits and a planned stop."""

import time

import curio
from jacinthmount.caller_memory import CallerMemory

from jacinthmount_node.net.http_connection import (
    CONNECTION_ERRORS,
    CallerConnection,
    Handler,
)
from jacinthmount_node.net.http_messages import ServerLimits
from jacinthmount_node.net.sockets import (
    SystemClock,
    accept,
    accept_queued,
)

__all__ = ('HttpServer',)

# Interval at which the state of connections is checked.
POLL_S = 0.05
# Time for which drain() keeps idle connections open for requests in transit.
DRAIN_GRACE_S = 0.5


class HttpServer:
    """Accepts connections and passes requests to a handler."""

    __slots__ = (
        '_accepting',
        '_closing',
        '_connections',
        '_group',
        '_handler',
        '_memory',
        '_sock',
        'limits',
    )

    def __init__(
        self,
        *,
        sock,
        handler: Handler,
        limits: ServerLimits | None = None,
        memory: CallerMemory | None = None,
    ) -> None:
        """Creates a server on a listening socket.

        :param limits: limits for callers, or None for the defaults.
        :param memory: budget that all listeners of the process share, or None
            for one of its own.
        """
        self._sock = sock
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._memory = memory or CallerMemory(clock=SystemClock())
        self._closing = False
        self._accepting: curio.Task | None = None
        self._group: curio.TaskGroup | None = None
        self._connections: set[CallerConnection] = set()

    async def run(self) -> None:
        """Accepts connections until drained or cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            self._group = group
            self._accepting = await curio.spawn(self._accept, group)
            try:
                await self._accepting.wait()
            finally:
                await self._accepting.cancel()
            if not self._closing:
                raise self._accepting.exception
            # Answers in progress continue until the process ends.
            await curio.Event().wait()

    def close_after_answers(self) -> None:
        """Closes each connection after its next answer; keeps listening."""
        self._closing = True

    async def drain(self) -> None:
        """Closes the listener and waits for the requests in flight.

        Connections have ``DRAIN_GRACE_S`` for a request in transit, from the
        close of the listener or their last answer on; those that are still
        idle then are closed.
        """
        self._closing = True
        await self._close_listener()
        await curio.sleep(DRAIN_GRACE_S)
        while self._connections:
            self._close_idle()
            await curio.sleep(POLL_S)

    async def close_idle(self) -> None:
        """Closes connections as they become idle, until it is cancelled.

        Their callers learn that they have to send to another host.
        """
        while True:
            self._close_idle()
            await curio.sleep(POLL_S)

    async def cut_answers(self) -> None:
        """Ends the requests in flight, and returns when they have ended.

        Each gets an error unless its answer has begun.
        """
        while self._connections:
            for conn in list(self._connections):
                await conn.cut()
            await curio.sleep(POLL_S)

    async def _accept(self, group: curio.TaskGroup) -> None:
        while True:
            sock = await accept(self._sock, 'HTTP listener')
            await self._begin(sock, group)
            # Connections that were ended to make room close before the next.
            await curio.sleep(0)

    async def _begin(self, sock, group: curio.TaskGroup) -> None:
        conn = CallerConnection(
            sock=sock,
            handler=self._handler,
            limits=self.limits,
            is_closing=self._is_closing,
            memory=self._memory,
        )
        if not await conn.memory.open():
            await conn.close()
            return
        self._connections.add(conn)
        await group.spawn(self._serve, conn, daemon=True)

    async def _close_listener(self) -> None:
        if self._accepting is not None:
            # A socket must not be closed while a task waits for it.
            await self._accepting.cancel()
        if self._group is not None:
            await self._accept_queued(self._group)
        await self._sock.close()

    async def _accept_queued(self, group: curio.TaskGroup) -> None:
        # Closing a listener resets the connections in its queue.
        async for sock in accept_queued(self._sock, 'HTTP listener'):
            await self._begin(sock, group)

    async def _serve(self, conn: CallerConnection) -> None:
        try:
            await conn.run()
        except CONNECTION_ERRORS:
            return
        finally:
            self._connections.discard(conn)
            await conn.close()

    def _close_idle(self) -> None:
        idle_since = time.monotonic() - DRAIN_GRACE_S
        for conn in list(self._connections):
            conn.close_if_idle(idle_since)

    def _is_closing(self) -> bool:
        return self._closing
