"""Readiness and metrics of a relay process."""

from http import HTTPStatus

from jacinthmount_node.net.http_server import HttpRequest, Responder
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('StatusPages',)

METRICS_TYPE = 'text/plain; version=0.0.4'


class StatusPages:
    """Answers whoever asks how this process is."""

    __slots__ = ('_connectivity', '_state', '_sync')

    def __init__(
        self,
        *,
        state: RelayState,
        sync: RelaySync,
        connectivity: HostConnectivity,
    ) -> None:
        """Takes what knows."""
        self._state = state
        self._sync = sync
        self._connectivity = connectivity

    async def answer_readiness(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        """Tells whether new callers should come here."""
        ready = (
            self._sync.is_loaded
            and not self._state.leaving
            # Callers are better served elsewhere; those that come are served.
            and not self._connectivity.is_isolated()
        )
        await responder.send_json(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
            {'ready': ready},
        )

    async def answer_metrics(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        """Gives all metrics."""
        await responder.send(
            HTTPStatus.OK,
            self._state.metrics.render(),
            [('content-type', METRICS_TYPE)],
        )
