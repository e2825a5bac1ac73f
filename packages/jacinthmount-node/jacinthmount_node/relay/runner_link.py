"""Questions to the active runner, directly or through another host."""

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

SUSPECTED_S = 1.0
MAX_WAIT_S = 0.15
# Where whoever asks has no aim.
UNBOUNDED_S = 10.0
# Of the time that a question may take, for the direct way.
DIRECT_PART = 0.5
# A question through another host goes two ways.
BY_PEER_FACTOR = 2


class RunnerLink:
    """Finds a way to the active runner.

    A host that is cut off from the runners may still reach other hosts that
    are not.
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
        """Takes what knows the active runner."""
        self._state = state
        self._links = links
        self._peer_requests = peer_requests
        self._active = active
        self._reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)

    async def request(self, body: Record, within_s: float) -> Record:
        """Asks the active runner what it can answer at once.

        :param within_s: longest time that is of use to whoever asks, 0 if it
            has no aim.
        :raises PeerUnavailable: no way to it, or no answer for longer than its
            answers have taken lately.
        """
        runner = self._active.find()
        within_s = within_s or UNBOUNDED_S
        limit_s = min(self._reply_time.limit_s(), within_s * DIRECT_PART)
        if runner is not None:
            try:
                return await self._ask_timed(runner, body, limit_s)
            except PeerUnavailable as exc:
                self._reply_time.on_timeout(self._state.now())
                log_event('runner_unasked', detail=exc.detail)
                self._state.short_store_timeout_until = (
                    self._state.now() + SUSPECTED_S
                )
        peer = self._peer_requests.choose()
        if peer is None:
            raise PeerUnavailable(detail='no runner and no other host')
        return await self._peer_requests.request(
            peer,
            Forward(body=body),
            min(limit_s * BY_PEER_FACTOR, within_s - limit_s),
        )

    async def request_any(self, body: Record, timeout_s: float) -> Record:
        """Asks a runner of this data centre, or else one of another.

        :raises PeerUnavailable: there is none, or no answer in time.
        """
        runner = self._pick_any()
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
        """Asks the active runner, never through another host.

        :raises PeerUnavailable: this host does not reach it either.
        """
        runner = self._active.find()
        if runner is None or runner.host == self._state.host:
            raise PeerUnavailable(detail='no runner to ask')
        return await self._links.request_at(
            runner.peer_address,
            body,
            timeout_s,
        )

    async def _ask_timed(
        self,
        runner: RelayHost,
        body: Record,
        limit_s: float,
    ) -> Record:
        asked_at = self._state.now()
        reply = await self._links.request_at(
            runner.peer_address,
            body,
            limit_s,
        )
        self._reply_time.on_reply(self._state.now() - asked_at)
        return reply

    def _pick_any(self) -> RelayHost:
        own = self._state.settings.data_centre
        runners = {one.host: one for one in self._state.runners()}
        sound = self._state.peer_choice.without_failed(
            list(runners),
            self._state.now(),
        )
        if not sound:
            raise PeerUnavailable(detail='no runner answers')
        near = [one for one in sound if runners[one].data_centre == own]
        return runners[self._state.rng.choice(near or sound)]
