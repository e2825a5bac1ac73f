"""Which runner is the active one, by what runners say of themselves."""

from jacinthmount.leadership import RunnerState
from jacinthmount.members import rank_hosts

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.state import RelayState

__all__ = ('ActiveRunner',)


class ActiveRunner:
    """The latest word of each runner that says that it is active."""

    __slots__ = ('_claims', '_state')

    def __init__(self, *, state: RelayState) -> None:
        """Starts with no runner known."""
        self._state = state
        self._claims: dict[str, tuple[RunnerState, float]] = {}

    def find(self) -> RelayHost | None:
        """Finds the active runner, which may be this host."""
        claims = self._valid()
        reaching = [one for one in claims if one.store_reached]
        hosts = [one.host for one in reaching or claims]
        if not hosts:
            return None
        return self._state.hosts.get(rank_hosts('batch', hosts)[0])

    def find_remote_state(self) -> RunnerState | None:
        """Finds what the active runner said of itself, if it is another."""
        active = self.find()
        claim = self._claims.get(active.host) if active else None
        return claim[0] if claim else None

    def has_store_access(self) -> bool:
        """Tells whether a runner is active that reaches the store."""
        return any(one.store_reached for one in self._valid())

    def record_state(self, state: RunnerState) -> None:
        """Takes what a runner says of itself."""
        now = self._state.now()
        self._state.leadership.on_state(state, now)
        if not state.active:
            self._claims.pop(state.host, None)
            return
        if state.host not in self._claims:
            log_event('runner_found', runner=state.host)
        self._claims[state.host] = (state, now)

    def on_unreachable(self, host: str) -> bool:
        """Notes that a runner can't be reached.

        :returns: whether it was active so far.
        """
        self._state.leadership.on_runner_unreachable(host)
        was_active = self._claims.pop(host, None) is not None
        if was_active:
            log_event('runner_lost', runner=host)
        return was_active

    def _valid(self) -> list[RunnerState]:
        now = self._state.now()
        valid_s = self._state.pace.active_valid_s
        claims = [
            state
            for state, at in self._claims.values()
            if now - at < valid_s and state.host in self._state.hosts
        ]
        if self._state.leadership.active:
            claims.append(self._state.leadership.state())
        return claims
