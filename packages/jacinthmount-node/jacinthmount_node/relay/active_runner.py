"""Selects the active runner from the states that runners report."""

from jacinthmount.leadership import RunnerState
from jacinthmount.members import rank_hosts

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.state import RelayState

__all__ = ('ActiveRunner',)


class ActiveRunner:
    """Last reported state of each runner that claims to be active."""

    __slots__ = ('_active_states', '_state')

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._active_states: dict[str, tuple[RunnerState, float]] = {}

    def find(self) -> RelayHost | None:
        """Finds the active runner, which may be this host.

        Runners that can run items take precedence.
        """
        states = self._valid_states()
        able = [state for state in states if state.can_run]
        hosts = [state.host for state in able or states]
        if not hosts:
            return None
        return self._state.hosts.get(rank_hosts('batch', hosts)[0])

    def find_remote_state(self) -> RunnerState | None:
        """Finds the state that the active runner reported.

        :returns: None if there is no active runner or it is this host.
        """
        active = self.find()
        report = self._active_states.get(active.host) if active else None
        return report[0] if report else None

    def is_able(self) -> bool:
        """Returns whether an active runner can run items."""
        return any(state.can_run for state in self._valid_states())

    def record_state(self, state: RunnerState) -> None:
        """Records the state that a runner reports."""
        now = self._state.now()
        self._state.leadership.on_state(state, now)
        if not state.active:
            self._active_states.pop(state.host, None)
            return
        if state.host not in self._active_states:
            log_event('runner_found', runner=state.host)
        self._active_states[state.host] = (state, now)

    def on_unreachable(self, host: str) -> bool:
        """Records that a runner is unreachable.

        :returns: whether its last report said that it is active.
        """
        self._state.leadership.on_runner_unreachable(host)
        was_active = self._active_states.pop(host, None) is not None
        if was_active:
            log_event('runner_lost', runner=host)
        return was_active

    def _valid_states(self) -> list[RunnerState]:
        now = self._state.now()
        valid_s = self._state.pace.active_valid_s
        states = [
            state
            for state, reported_at in self._active_states.values()
            if now - reported_at < valid_s and state.host in self._state.hosts
        ]
        if self._state.leadership.active:
            states.append(self._state.leadership.state())
        return states
