"""Base classes of the endpoint adapters: exchanges over HTTP/1.1."""

import contextlib

import h11
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndlessAnswer, EndpointFailed, EndpointLost
from jacinthmount.ports import Backend, BackendCall, BackendExchange

from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import Exchange

__all__ = (
    'REQUEST_ID',
    'HttpBackend',
    'HttpBackendExchange',
    'map_connection_errors',
)

REQUEST_ID = 'x-request-id'
CONNECTION_ERRORS = (OSError, h11.ProtocolError)


@contextlib.contextmanager
def map_connection_errors():
    """Raises ``EndpointLost`` for connection errors."""
    try:
        yield
    except CONNECTION_ERRORS as exc:
        raise EndpointLost(detail=f'{type(exc).__name__}: {exc}') from exc


class HttpBackendExchange(BackendExchange):
    """Exchange on one connection; subclasses define the request format."""

    __slots__ = ('http',)

    def __init__(self, *, http: Exchange) -> None:
        """Initialises the exchange.

        :param http: connection on which no request was sent yet.
        """
        super().__init__()
        self.http = http

    async def read_body(self) -> bytes:
        """See :meth:`~jacinthmount.ports.BackendExchange.read_body`."""
        with self.track_stage():
            return await self.http.read_body()

    async def close(self) -> None:
        """See :meth:`~jacinthmount.ports.BackendExchange.close`."""
        await self.http.close()

    @contextlib.contextmanager
    def track_stage(self):
        """Updates the stage; raises ``EndpointLost`` for connection errors."""
        try:
            with map_connection_errors():
                yield
        finally:
            self.stage = Stage(self.http.stage)

    async def send_and_read_head(
        self,
        call: BackendCall,
        headers: list[tuple[str, str]],
    ) -> None:
        """Sends a call with these headers and reads a response head."""
        with self.track_stage():
            await self.http.send(call.method, call.target, headers, call.body)
            await self._read_head()

    async def skip_extra_answers(self, call: BackendCall) -> None:
        """Reads heads until that of the response to a call, if it names one.

        :raises EndpointFailed: the response belongs to another request.
        """
        while True:
            named_id = self.headers.get(REQUEST_ID, call.request_id)
            if named_id == call.request_id:
                return
            with self.track_stage():
                await self.http.skip_answer(named_id)
                await self._read_head()

    async def _read_head(self) -> None:
        try:
            await self.http.read_head()
        except EndlessAnswer:
            raise
        except EndpointFailed as exc:
            if self.http.stage < Stage.ANSWERING:
                raise EndpointLost(detail=exc.detail) from exc
            raise
        self.status = self.http.status
        self.headers = self.http.headers


class HttpBackend(Backend):
    """Endpoints over HTTP/1.1."""

    __slots__ = ('pool',)

    exchange_type: type[HttpBackendExchange] = HttpBackendExchange

    def __init__(self, *, pool: ClientPool) -> None:
        self.pool = pool

    async def open(
        self, address: str, *, no_reuse: bool, request_id: str = ''
    ) -> BackendExchange:
        """See :meth:`~jacinthmount.ports.Backend.open`."""
        with map_connection_errors():
            http = await self.pool.open(
                address, no_reuse=no_reuse, request_id=request_id
            )
        return self.exchange_type(http=http)

    async def release(self, exchange: BackendExchange) -> None:
        """See :meth:`~jacinthmount.ports.Backend.release`."""
        if isinstance(exchange, HttpBackendExchange):
            await self.pool.release(exchange.http)
