"""Requests to the active runner for an endpoint, without a rate token."""

from jacinthmount.errors import PeerUnavailable

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.messages import TokenAsk, TokenGrant
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState

__all__ = ('PlaceRequests',)

# Share of the latency target that the answer may take.
TARGET_FRACTION = 0.3
# Pause after the runner had no endpoint, or did not answer.
NO_PLACE_PAUSE_S = 0.1


class PlaceRequests:
    """Asks for a part of the limits of endpoints that the runner has.

    A host asks when no endpoint without a limit has a free slot.
    """

    __slots__ = ('_retry_at', '_runner_link', '_state')

    def __init__(self, *, state: RelayState, runner_link: RunnerLink) -> None:
        self._state = state
        self._runner_link = runner_link
        self._retry_at: dict[str, float] = {}

    async def find(self, call: OnlineCall) -> str:
        """Finds an endpoint for a request.

        :returns: its id, or an empty string if the runner has none.
        """
        now = self._state.now()
        if now < self._retry_at.get(call.service, 0.0):
            return ''
        endpoint_id = await self._ask(call)
        if not endpoint_id:
            self._retry_at[call.service] = now + NO_PLACE_PAUSE_S
        return endpoint_id

    async def _ask(self, call: OnlineCall) -> str:
        place_request = TokenAsk(
            host=self._state.host,
            account=call.account,
            service=call.service,
            wanted=0,
        )
        try:
            reply = await self._runner_link.request(
                place_request, call.route.target_s * TARGET_FRACTION
            )
        except PeerUnavailable as exc:
            log_event('no_place', service=call.service, detail=exc.detail)
            return ''
        return reply.endpoint_id if isinstance(reply, TokenGrant) else ''
