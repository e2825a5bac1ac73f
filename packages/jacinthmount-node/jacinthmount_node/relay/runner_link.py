"""Requests to the active runner, directly or through another host."""

from jacinthmount.errors import PeerUnavailable
from jacinthmount.records import Record
from jacinthmount.reply_time import ReplyTime

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.active_runner import ActiveRunner
from jacinthmount_node.relay.messages import Forward, RelayHost
from jacinthmount_node.relay.peer_requests import PeerRequests
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('RunnerLink',)

# Store calls use the short timeout for this long after an unanswered request,
# since this host may have lost its connectivity.
SHORT_STORE_TIMEOUT_PERIOD_S = 1.0
# Upper bound of the adaptive timeout for direct requests.
MAX_WAIT_S = 0.15
# For callers without a time limit.
DEFAULT_LIMIT_S = 10.0
# Share of the time limit that the direct request may use.
DIRECT_FRACTION = 0.5
# A forwarded request takes two network hops.
PEER_HOP_FACTOR = 2


class RunnerLink:
    """Sends requests to the active runner.

    A host without a connection to the runners may still reach hosts that have
    one, and sends its requests through them.
    """

    __slots__ = ('_active', '_peer_requests', '_links', '_reply_time', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        peer_requests: PeerRequests,
        active: ActiveRunner,
    ) -> None:
        self._state = state
        self._links = links
        self._peer_requests = peer_requests
        self._active = active
        self._reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)

    async def request(self, body: Record, within_s: float) -> Record:
        """Sends a request that the active runner answers without waiting.

        :param within_s: seconds after which the answer is of no use, 0 if
            there is no limit.
        :raises PeerUnavailable: the runner is unreachable, or took longer to
            answer than its recent replies did.
        """
        runner = self._active.find()
        within_s = within_s or DEFAULT_LIMIT_S
        limit_s = min(self._reply_time.limit_s(), within_s * DIRECT_FRACTION)
        if runner is not None:
            try:
                return await self._request_timed(runner, body, limit_s)
            except PeerUnavailable as exc:
                self._reply_time.on_timeout(self._state.now())
                log_event('runner_request_failed', detail=exc.detail)
                self._state.short_store_timeout_until = (
                    self._state.now() + SHORT_STORE_TIMEOUT_PERIOD_S
                )
        peer = self._peer_requests.choose()
        if peer is None:
            raise PeerUnavailable(
                detail='active runner unreachable and no other host known'
            )
        return await self._peer_requests.request(
            peer,
            Forward(body=body),
            min(limit_s * PEER_HOP_FACTOR, within_s - limit_s),
        )

    async def request_any(self, body: Record, timeout_s: float) -> Record:
        """Sends a request to any runner, preferably of this data centre.

        :param timeout_s: seconds to wait for the reply.
        :raises PeerUnavailable: no healthy runner, or no reply in time.
        """
        runner = self._pick_runner()
        try:
            return await self._links.request_at(
                runner.peer_address,
                body,
                timeout_s,
            )
        except PeerUnavailable:
            self._state.peer_choice.on_failed(runner.host, self._state.now())
            raise

    async def request_directly(self, body: Record, timeout_s: float) -> Record:
        """Sends a request to the active runner, never through another host.

        :param timeout_s: seconds to wait for the reply.
        :raises PeerUnavailable: this host can't reach the active runner.
        """
        runner = self._active.find()
        if runner is None or runner.host == self._state.host:
            raise PeerUnavailable(detail='no other runner is active')
        return await self._links.request_at(
            runner.peer_address,
            body,
            timeout_s,
        )

    async def _request_timed(
        self,
        runner: RelayHost,
        body: Record,
        limit_s: float,
    ) -> Record:
        sent_at = self._state.now()
        reply = await self._links.request_at(
            runner.peer_address,
            body,
            limit_s,
        )
        self._reply_time.on_reply(self._state.now() - sent_at)
        return reply

    def _pick_runner(self) -> RelayHost:
        own = self._state.settings.data_centre
        runners = {runner.host: runner for runner in self._state.runners()}
        healthy = self._state.peer_choice.without_failed(
            list(runners),
            self._state.now(),
        )
        if not healthy:
            raise PeerUnavailable(detail='no runner without a recent failure')
        local = [
            runner for runner in healthy if runners[runner].data_centre == own
        ]
        return runners[self._state.rng.choice(local or healthy)]
