"""HTTP pages for readiness and metrics of a relay process."""

from http import HTTPStatus

from jacinthmount_node.net.http_messages import HttpRequest, Responder
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync

__all__ = ('StatusPages',)

METRICS_TYPE = 'text/plain; version=0.0.4'


class StatusPages:
    """Serves the readiness and the metrics page."""

    __slots__ = ('_connectivity', '_state', '_sync')

    def __init__(
        self,
        *,
        state: RelayState,
        sync: RelaySync,
        connectivity: HostConnectivity,
    ) -> None:
        self._state = state
        self._sync = sync
        self._connectivity = connectivity

    async def answer_readiness(
        self,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        """Reports whether new callers should be sent to this host."""
        ready = (
            self._sync.is_loaded
            and not self._state.leaving
            # Other data centres serve callers better while this one is
            # isolated; requests that still arrive are served.
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
        """Serves all metrics in the Prometheus text format."""
        await responder.send(
            HTTPStatus.OK,
            self._state.metrics.render(),
            [('content-type', METRICS_TYPE)],
        )
