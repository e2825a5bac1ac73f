"""Connections between hosts: msgpack records over TLS with mutual certificates.

TLS may be switched off if no one else has access to the network of the hosts.
"""

import ssl as std_ssl
from collections.abc import Awaitable, Callable

import curio
from curio import ssl as curio_ssl
from jacinthmount.errors import (
    MalformedRecord,
    PeerClosed,
    PeerUnavailable,
)
from jacinthmount.members import HostRecord
from jacinthmount.records import (
    UNPACK_ERRORS,
    Record,
    make_unpacker,
    serialize_msgpack,
)

from jacinthmount_node.logs import log_event, log_failure
from jacinthmount_node.messages import Envelope, Hello
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.sockets import (
    abort_socket,
    accept,
    connect,
    with_timeout,
)
from jacinthmount_node.net.yield_budget import READ_BYTES, YieldBudget

__all__ = ('PeerLink', 'PeerLinks', 'PeerServer', 'make_contexts')

CONNECT_TIMEOUT_S = 2.0
RECONNECT_PAUSE_S = 0.5
# Limit on queued and on unanswered messages of a connection.
MAX_PENDING = 2000

PeerHandler = Callable[[Record, Hello], Awaitable[Record | None]]
PEER_ERRORS = (OSError, curio.TaskTimeout, MalformedRecord, *UNPACK_ERRORS)


def make_contexts(ca: str, cert: str, key: str) -> tuple[object, object]:
    """Creates the TLS contexts of the server and the client side.

    :param ca: path of the CA certificates that sign host certificates.
    :param cert: path of the certificate of this host.
    :param key: path of its private key.
    """
    server = curio_ssl.SSLContext(std_ssl.PROTOCOL_TLS_SERVER)
    client = curio_ssl.SSLContext(std_ssl.PROTOCOL_TLS_CLIENT)
    # A certificate identifies its host by name, as addresses change.
    client.check_hostname = False
    for context in (server, client):
        context.load_verify_locations(ca)
        context.load_cert_chain(cert, key)
        context.verify_mode = std_ssl.CERT_REQUIRED
    return server, client


class _Stream:
    __slots__ = ('_metrics', '_sock', '_yield_budget', '_unpacker')

    def __init__(self, *, sock, metrics: Metrics) -> None:
        self._sock = sock
        self._metrics = metrics
        self._yield_budget = YieldBudget()
        self._unpacker = make_unpacker()

    async def send(self, envelope: Envelope) -> None:
        packed = serialize_msgpack(envelope)
        self._metrics.peer_bytes.labels('out').inc(len(packed))
        await self._sock.sendall(packed)

    async def iter_envelopes(self):
        while True:
            received = await self._sock.recv(READ_BYTES)
            if not received:
                return
            await self._yield_budget.spend(len(received))
            self._metrics.peer_bytes.labels('in').inc(len(received))
            self._unpacker.feed(received)
            for envelope in self._unpacker:
                if not isinstance(envelope, Envelope):
                    raise MalformedRecord(detail='not an envelope')
                await self._yield_budget.spend(0)
                yield envelope

    async def close(self) -> None:
        await self._sock.close()

    def abort(self) -> None:
        # The reading task gets the end of the stream and closes the socket.
        abort_socket(self._sock)


class PeerServer:
    """Accepts connections from other hosts and answers their messages."""

    __slots__ = ('_context', '_handler', '_metrics', '_sock')

    def __init__(
        self,
        *,
        sock,
        context,
        handler: PeerHandler,
        metrics: Metrics,
    ) -> None:
        """Creates a server on a listening socket.

        :param handler: returns the reply to a message, or None for no reply.
        :param context: TLS context, or None for plain TCP.
        """
        self._sock = sock
        self._context = context
        self._handler = handler
        self._metrics = metrics

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            while True:
                sock = await accept(self._sock, 'peer listener')
                await group.spawn(self._serve, sock, daemon=True)

    async def _serve(self, raw) -> None:
        async with curio.TaskGroup(wait=None) as group:
            try:
                await self._serve_stream(raw, group)
            except PEER_ERRORS as exc:
                log_event('peer_closed', error=type(exc).__name__)
            except Exception as exc:
                log_failure('peer connection', exc)
            finally:
                await raw.close()

    async def _wrap_tls(self, raw):
        if self._context is None:
            return raw
        sock = await self._context.wrap_socket(
            raw,
            server_side=True,
            do_handshake_on_connect=False,
        )
        await with_timeout(CONNECT_TIMEOUT_S, sock.do_handshake)
        return sock

    async def _serve_stream(self, raw, group: curio.TaskGroup) -> None:
        sock = await self._wrap_tls(raw)
        stream = _Stream(sock=sock, metrics=self._metrics)
        outgoing = curio.Queue(maxsize=MAX_PENDING)
        unanswered = curio.Semaphore(MAX_PENDING)
        await group.spawn(_write_queued, stream, outgoing, daemon=True)
        hello = None
        try:
            async for envelope in stream.iter_envelopes():
                if hello is None:
                    hello = self._accept_hello(envelope, sock)
                    continue
                # Reads no further messages while too many are unanswered, which
                # limits a host that does not read its replies.
                await unanswered.acquire()
                await group.spawn(
                    self._answer,
                    envelope,
                    hello,
                    outgoing,
                    unanswered,
                    daemon=True,
                )
        finally:
            await stream.close()

    def _accept_hello(self, envelope: Envelope, sock) -> Hello:
        hello = _parse_hello(envelope)
        if self._context is not None:
            _check_certificate(hello, sock)
        return hello

    async def _answer(
        self,
        envelope: Envelope,
        hello: Hello,
        outgoing: curio.Queue,
        unanswered: curio.Semaphore,
    ) -> None:
        try:
            reply = await self._handler(envelope.body, hello)
            if reply is not None:
                await outgoing.put(
                    Envelope(number=envelope.number, reply=True, body=reply),
                )
        except Exception as exc:
            log_event('peer_message', error=f'{type(exc).__name__}: {exc}')
        finally:
            await unanswered.release()


class _PendingReply:
    __slots__ = ('done', 'reply')

    def __init__(self) -> None:
        self.done = curio.Event()
        self.reply: Record | None = None


class PeerLink:
    """Sends requests to one other host and receives the replies."""

    __slots__ = (
        '_address',
        '_context',
        '_hello',
        '_local_ip',
        '_metrics',
        '_last_number',
        '_outgoing',
        '_pending',
        'connected',
    )

    def __init__(
        self,
        *,
        address: str,
        local_ip: str,
        context,
        hello: Hello,
        metrics: Metrics,
    ) -> None:
        """Creates a link without a connection.

        :param address: address of the other host.
        :param local_ip: source IP address; empty lets the system choose.
        :param context: TLS context, or None for plain TCP.
        :param hello: first message of each connection, with this host's name.
        """
        self._address = address
        self._local_ip = local_ip
        self._context = context
        self._hello = hello
        self._metrics = metrics
        self._outgoing: curio.Queue = curio.Queue(maxsize=MAX_PENDING)
        self._pending: dict[int, _PendingReply] = {}
        self._last_number = 0
        self.connected = False

    async def run(self) -> None:
        """Keeps one connection open, reconnecting until cancelled."""
        while True:
            try:
                await self._run_connection()
            except PEER_ERRORS:
                await curio.sleep(RECONNECT_PAUSE_S)
            except Exception as exc:
                log_failure('peer link', exc)
                await curio.sleep(RECONNECT_PAUSE_S)
            finally:
                self.connected = False

    async def request(self, body: Record, timeout_s: float) -> Record:
        """Sends a message and waits for its reply.

        :param timeout_s: time limit for the reply in seconds.
        :raises PeerUnavailable: no reply in time, or the queue is full.
        :raises PeerClosed: the connection was lost.
        """
        self._last_number += 1
        number = self._last_number
        pending = _PendingReply()
        if self._outgoing.full():
            raise PeerUnavailable(detail=f'{self._address}: queue full')
        self._pending[number] = pending
        try:
            await with_timeout(
                timeout_s,
                self._exchange,
                number,
                body,
                pending,
            )
        except TimeoutError:
            raise PeerUnavailable(detail=f'{self._address}: no reply') from None
        finally:
            self._pending.pop(number, None)
        if pending.reply is None:
            raise PeerClosed(detail=f'{self._address}: connection lost')
        return pending.reply

    async def _exchange(
        self,
        number: int,
        body: Record,
        pending: _PendingReply,
    ) -> None:
        await self._outgoing.put(
            Envelope(number=number, reply=False, body=body),
        )
        await pending.done.wait()

    async def _run_connection(self) -> None:
        stream = await self._open()
        await stream.send(Envelope(number=0, reply=False, body=self._hello))
        self.connected = True
        writer = await curio.spawn(
            _write_queued,
            stream,
            self._outgoing,
            daemon=True,
        )
        try:
            async for envelope in stream.iter_envelopes():
                pending = self._pending.get(envelope.number)
                if pending is not None:
                    pending.reply = envelope.body
                    await pending.done.set()
            raise ConnectionResetError(self._address)
        finally:
            await writer.cancel()
            await self._close_stream(stream)

    async def _open(self) -> _Stream:
        raw = await with_timeout(
            CONNECT_TIMEOUT_S,
            connect,
            self._address,
            self._local_ip,
        )
        if self._context is None:
            return _Stream(sock=raw, metrics=self._metrics)
        try:
            sock = await self._context.wrap_socket(
                raw,
                do_handshake_on_connect=False,
            )
            await with_timeout(CONNECT_TIMEOUT_S, sock.do_handshake)
        except BaseException:
            await raw.close()
            raise
        return _Stream(sock=sock, metrics=self._metrics)

    async def _close_stream(self, stream: _Stream) -> None:
        await stream.close()
        # Queued messages are obsolete: waking their senders below reports the
        # lost connection.
        while not self._outgoing.empty():
            await self._outgoing.get()
        for pending in list(self._pending.values()):
            await pending.done.set()


class PeerLinks:
    """Links to other hosts, which are opened on demand."""

    __slots__ = (
        '_context',
        '_hello',
        '_links',
        '_local_ip',
        '_metrics',
        '_tasks',
    )

    def __init__(
        self,
        *,
        local_ip: str,
        context,
        hello: Hello,
        metrics: Metrics,
    ) -> None:
        """Creates a collection without links.

        :param local_ip: source IP address; empty lets the system choose.
        :param context: TLS context, or None for plain TCP.
        :param hello: first message of each connection, with this host's name.
        """
        self._local_ip = local_ip
        self._context = context
        self._hello = hello
        self._metrics = metrics
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, curio.Task] = {}

    async def request(
        self,
        record: HostRecord,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Sends a message to a host and waits for its reply.

        :raises PeerUnavailable: no reply in time.
        """
        return await self.request_at(record.peer_address, body, timeout_s)

    async def request_at(
        self,
        address: str,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Sends a message to an address and waits for its reply."""
        link = self._links.get(address)
        if link is None:
            link = self._make_link(address)
            self._links[address] = link
            self._tasks[address] = await curio.spawn(link.run, daemon=True)
        return await link.request(body, timeout_s)

    async def request_apart(
        self,
        address: str,
        body: Record,
        timeout_s: float,
    ) -> Record:
        """Sends a message over a connection that is used for nothing else.

        :raises PeerUnavailable: no reply in time.
        :raises PeerClosed: the host closed the connection.
        """
        link = self._make_link(address)
        task = await curio.spawn(link.run, daemon=True)
        try:
            return await link.request(body, timeout_s)
        finally:
            await task.cancel()

    async def keep_only(self, addresses: set[str]) -> None:
        """Closes the links to all other addresses."""
        for address in set(self._links) - addresses:
            self._links.pop(address)
            await self._tasks.pop(address).cancel()

    def _make_link(self, address: str) -> PeerLink:
        return PeerLink(
            address=address,
            local_ip=self._local_ip,
            context=self._context,
            hello=self._hello,
            metrics=self._metrics,
        )


async def _write_queued(stream: _Stream, outgoing: curio.Queue) -> None:
    while True:
        envelope = await outgoing.get()
        try:
            await stream.send(envelope)
        except OSError:
            stream.abort()
            return
        except Exception as exc:
            # The message can't be encoded; others can.
            log_failure('peer message', exc)


def _parse_hello(envelope: Envelope) -> Hello:
    hello = envelope.body
    if not isinstance(hello, Hello):
        raise MalformedRecord(
            detail='stream does not start with a hello message'
        )
    return hello


def _check_certificate(hello: Hello, sock) -> None:
    subject = dict(
        pair for row in sock.getpeercert()['subject'] for pair in row
    )
    if subject.get('commonName') != hello.host:
        raise MalformedRecord(detail='host name does not match the certificate')
