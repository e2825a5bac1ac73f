"""What the adapters of endpoints share: exchanges over HTTP/1.1."""

import contextlib

import h11
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndpointFailed, EndpointLost
from jacinthmount.ports import Backend, BackendCall, BackendExchange

from jacinthmount_node.net.http_client import ClientPool, Exchange

__all__ = ('REQUEST_ID', 'HttpBackend', 'HttpBackendExchange', 'losses')

REQUEST_ID = 'x-request-id'
WIRE_ERRORS = (OSError, h11.ProtocolError)


@contextlib.contextmanager
def losses():
    """Turns errors of the connection into ``EndpointLost``."""
    try:
        yield
    except WIRE_ERRORS as exc:
        raise EndpointLost(detail=f'{type(exc).__name__}: {exc}') from exc


class HttpBackendExchange(BackendExchange):
    """Exchange on one connection; adapters add the format of a call."""

    __slots__ = ('http',)

    def __init__(self, *, http: Exchange) -> None:
        """Takes a connection on which nothing was sent."""
        super().__init__()
        self.http = http

    async def read_body(self) -> bytes:
        """See the port."""
        with self.staged():
            return await self.http.read_body()

    async def close(self) -> None:
        """See the port."""
        await self.http.close()

    @contextlib.contextmanager
    def staged(self):
        """Keeps the stage up to date, and turns errors of the connection."""
        try:
            with losses():
                yield
        finally:
            self.stage = Stage(self.http.stage)

    async def send_and_read_head(
        self,
        call: BackendCall,
        headers: list[tuple[str, str]],
    ) -> None:
        """Sends a call with these headers and reads the head of an answer."""
        with self.staged():
            await self.http.send(call.method, call.target, headers, call.body)
            await self.http.read_head()
        self.status = self.http.status
        self.headers = self.http.headers

    def check_request_id(self, call: BackendCall) -> None:
        """Checks that the answer does not name another request.

        :raises EndpointFailed: it does.
        """
        named = self.headers.get(REQUEST_ID, call.request_id)
        if named != call.request_id:
            raise EndpointFailed(detail='answer to another request')


class HttpBackend(Backend):
    """Endpoints over HTTP/1.1."""

    __slots__ = ('pool',)

    exchange_type: type[HttpBackendExchange] = HttpBackendExchange

    def __init__(self, *, pool: ClientPool) -> None:
        """Takes the connections to use."""
        self.pool = pool

    async def open(self, address: str, *, no_reuse: bool) -> BackendExchange:
        """See the port."""
        with losses():
            http = await self.pool.open(address, no_reuse=no_reuse)
        return self.exchange_type(http=http)

    async def release(self, exchange: BackendExchange) -> None:
        """See the port."""
        if isinstance(exchange, HttpBackendExchange):
            await self.pool.release(exchange.http)
