"""HTTP adapter for plain services, which are not model engines."""

from jacinthmount.ports import BackendCall

from jacinthmount_node.engines.backends import (
    REQUEST_ID,
    HttpBackend,
    HttpBackendExchange,
)

__all__ = ('HttpPlainService', 'PlainExchange')

NO_ACCOUNT = '-'


class PlainExchange(HttpBackendExchange):
    """One request to a plain service."""

    __slots__ = ()

    async def send(self, call: BackendCall) -> None:
        """See :meth:`~jacinthmount.ports.BackendExchange.send`.

        Unlike engines, a service need not return the request id.
        """
        headers = [
            *call.headers,
            (REQUEST_ID, call.request_id),
            ('x-client-account', call.account or NO_ACCOUNT),
        ]
        await self.send_and_read_head(call, headers)
        await self.skip_extra_answers(call)


class HttpPlainService(HttpBackend):
    """Requests to plain services over HTTP."""

    __slots__ = ()

    exchange_type = PlainExchange
