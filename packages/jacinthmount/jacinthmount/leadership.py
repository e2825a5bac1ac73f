"""Election of the active runner.

One runner at a time tracks the load of all endpoints and runs the batch items.
If two are active for a moment, some work is repeated; results stay correct
because each segment of a result log is written by a conditional create.

The active runner queries the store all the time, so it is the first to detect
an outage of the store. It keeps its running items until another runner has
received a response from the store after that.
"""

import math

from jacinthmount.members import rank_hosts
from jacinthmount.records import Record

__all__ = ('RUNNER_LIVE_S', 'Leadership', 'RunnerState')

# A runner counts as unreachable when its last report is older than this.
RUNNER_LIVE_S = 1.2
# A runner that starts waits for reports of others before it may become active.
START_WAIT_S = 0.5
# Reports of hosts about the active runner are valid for this time.
REPORT_VALID_S = 0.7
# The active runner may detect the end of an outage of the store slightly later
# than other runners, which wait for this time before they take over.
RECOVERY_WAIT_S = 0.8


class RunnerState(Record):
    """State that a runner reports to hosts and other runners.

    ``can_run`` tells whether it reaches the store and any endpoint. It is also
    false until ``START_WAIT_S`` after the start of the runner, since the others
    need not wait for it.
    """

    __slots__ = ('host', 'active', 'can_run')

    host: str
    active: bool
    can_run: bool


class Leadership:
    """Decides whether this runner is the active one."""

    __slots__ = (
        '_heard_again_at',
        '_reports',
        '_host',
        '_unverified',
        '_start_wait_over',
        '_unable_since',
        '_reported_active',
        '_was_reachable',
        '_store_recovered_at',
        '_started_at',
        'active',
        'endpoints_reached',
        'store_reached',
    )

    def __init__(self, *, host: str, now: float) -> None:
        self._host = host
        self._started_at = now
        self._reports: dict[str, tuple[RunnerState, float]] = {}
        # By reporting host: the active runner that it reported, and the time.
        self._reported_active: dict[str, tuple[str, float]] = {}
        # Time of the first report of an active runner that it can't run items.
        self._unable_since: dict[str, float] = {}
        self._heard_again_at = -math.inf
        self._unverified = False
        self._start_wait_over = False
        self._was_reachable = True
        self._store_recovered_at = -math.inf
        self.active = False
        self.endpoints_reached = True
        self.store_reached = False

    def on_state(self, state: RunnerState, now: float) -> None:
        """Records the reported state of another runner."""
        _, last_at = self._reports.get(state.host, (state, -math.inf))
        if now - last_at >= RUNNER_LIVE_S:
            self._heard_again_at = now
        self._reports[state.host] = (state, now)
        if state.active and not state.can_run:
            self._unable_since.setdefault(state.host, now)
        else:
            self._unable_since.pop(state.host, None)

    def on_active_reported(
        self,
        reporter: str,
        state: RunnerState | None,
        now: float,
    ) -> None:
        """Records which runner a host reports as the active one, if any.

        Two runners may be disconnected from each other while hosts can reach
        both of them.
        """
        is_able = state is not None and state.active and state.can_run
        if state is None or not is_able or state.host == self._host:
            self._reported_active.pop(reporter, None)
        else:
            self._reported_active[reporter] = (state.host, now)

    def on_runner_unreachable(self, host: str) -> None:
        """Records that another runner is unreachable."""
        self._reports.pop(host, None)
        self._unable_since.pop(host, None)

    def note_store(self, *, reached: bool, age_s: float, now: float) -> bool:
        """Records the connectivity of this runner to the store.

        A standby only waits for updates and detects an outage later than the
        active runner. Until it has verified that the store is reachable, it
        must not take over the items of an active runner that lost the store.

        :param reached: false once the store is known to be unavailable.
        :param age_s: seconds since the last response of the store.
        :returns: whether the store has to be queried now.
        """
        lost_at = [
            self._unable_since[candidate.host]
            for candidate in self._live(now)
            if candidate.host in self._unable_since
        ]
        self.store_reached = reached
        self._unverified = bool(lost_at) and now - age_s < min(lost_at)
        return reached and self._unverified

    def state(self) -> RunnerState:
        """Returns the state to report to others."""
        return RunnerState(
            host=self._host,
            active=self.active,
            can_run=(
                self.store_reached
                and self.endpoints_reached
                and self._start_wait_over
                and not self._unverified
            ),
        )

    def has_contender(self, now: float) -> bool:
        """Returns whether another runner reports, or is reported, as active."""
        reported = any(candidate.active for candidate in self._live(now))
        return reported or bool(self._contenders(now))

    def may_share_logs(self, now: float) -> bool:
        """Returns whether another runner may have written results just now.

        That is a contender, or a runner that reports anew, or again after a
        silence: even if it reports that it is not active, it may have been
        until it heard of this one.
        """
        is_heard_again = now - self._heard_again_at < REPORT_VALID_S
        return is_heard_again or self.has_contender(now)

    def decide(self, now: float) -> bool:
        """Decides whether this runner is active from now on.

        A runner that reaches the store and endpoints takes precedence. The
        active runner stays active until another one is. Otherwise the rank of
        the hosts decides.
        """
        self._start_wait_over = now - self._started_at >= START_WAIT_S
        self._note_store_recovery(now)
        candidates = [self.state(), *self._live(now)]
        able = [candidate for candidate in candidates if candidate.can_run]
        if not self.active and now - self._store_recovered_at < RECOVERY_WAIT_S:
            able = []
        eligible = able or candidates
        active_hosts = [
            candidate.host for candidate in eligible if candidate.active
        ]
        contenders = self._contenders(now)
        if self.active and not active_hosts and not contenders:
            # The others may not have detected yet that the store is
            # unavailable, or have not taken over yet.
            active_hosts = [
                candidate.host for candidate in candidates if candidate.active
            ]
        hosts = active_hosts or [candidate.host for candidate in eligible]
        if contenders and not (active_hosts and self.store_reached):
            # Another runner is active and can reach the store, though it is
            # unreachable from this host.
            hosts = contenders
        elif self.active:
            hosts = [*hosts, *contenders]
        is_first = rank_hosts('batch', hosts)[0] == self._host
        self.active = is_first and self._start_wait_over
        return self.active

    def _note_store_recovery(self, now: float) -> None:
        if self.store_reached and not self._was_reachable:
            self._store_recovered_at = now
        self._was_reachable = self.store_reached

    def _contenders(self, now: float) -> list[str]:
        contenders = {
            host
            for host, reported_at in self._reported_active.values()
            if now - reported_at < REPORT_VALID_S
        }
        return sorted(contenders)

    def _live(self, now: float) -> list[RunnerState]:
        return [
            state
            for state, reported_at in self._reports.values()
            if now - reported_at < RUNNER_LIVE_S
        ]
