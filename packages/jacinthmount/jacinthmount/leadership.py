"""Which of the hosts that can run batch items does so.

One runner at a time knows the load of every endpoint, so that batch room is
decided in one place. Two runners for a moment cost repeated work; results stay
right because each segment of a log is a conditional create.

Answers outages of the store under a full load of batch items: the active
runner, which asks the store all the time, is the first to notice, and goes on
with the items that it holds until another one has an answer of the store.
"""

import math

from jacinthmount.members import rank_hosts
from jacinthmount.records import Record

__all__ = ('RUNNER_LIVE_S', 'Leadership', 'RunnerState')

RUNNER_LIVE_S = 1.2
START_WAIT_S = 0.5
NAMED_VALID_S = 0.7
# After an outage of the store the active runner may notice its end a little
# later than others.
RETURN_WAIT_S = 0.8


class RunnerState(Record):
    """What a runner says of itself.

    ``store_reached`` is false as well while the runner has not listened for
    long enough after its start, since the others need not wait for it.
    """

    __slots__ = ('host', 'active', 'store_reached')

    host: str
    active: bool
    store_reached: bool


class Leadership:
    """Decides whether this runner is the active one."""

    __slots__ = (
        '_heard',
        '_host',
        '_in_doubt',
        '_listened',
        '_lost_at',
        '_named',
        '_reached_before',
        '_returned_at',
        '_started_at',
        'active',
        'store_reached',
    )

    def __init__(self, *, host: str, now: float) -> None:
        """Starts inactive."""
        self._host = host
        self._started_at = now
        self._heard: dict[str, tuple[RunnerState, float]] = {}
        # The active runner by the host that named it, and when it did.
        self._named: dict[str, tuple[str, float]] = {}
        # Since when an active runner says that it has lost the store.
        self._lost_at: dict[str, float] = {}
        self._in_doubt = False
        self._listened = False
        self._reached_before = True
        self._returned_at = -math.inf
        self.active = False
        self.store_reached = False

    def on_state(self, state: RunnerState, now: float) -> None:
        """Takes what another runner says of itself."""
        self._heard[state.host] = (state, now)
        if state.active and not state.store_reached:
            self._lost_at.setdefault(state.host, now)
        else:
            self._lost_at.pop(state.host, None)

    def on_active_reported(
        self,
        reporter: str,
        state: RunnerState | None,
        now: float,
    ) -> None:
        """Notes which runner a host knows to be active, if any.

        Runners may be cut off from each other while hosts reach both.
        """
        useful = state is not None and state.active and state.store_reached
        if state is None or not useful or state.host == self._host:
            self._named.pop(reporter, None)
        else:
            self._named[reporter] = (state.host, now)

    def on_runner_unreachable(self, host: str) -> None:
        """Notes that another runner can't be reached."""
        self._heard.pop(host, None)
        self._lost_at.pop(host, None)

    def note_store(self, *, reached: bool, age_s: float, now: float) -> bool:
        """Takes what this runner knows of the store.

        Whoever only waits for news notices an outage late, and must not take
        items from the active runner for having noticed less.

        :param reached: whether nothing shows that the store is away.
        :param age_s: seconds since it answered last.
        :returns: whether the store has to be asked now.
        """
        lost_at = [
            self._lost_at[one.host]
            for one in self._live(now)
            if one.host in self._lost_at
        ]
        self.store_reached = reached
        self._in_doubt = bool(lost_at) and now - age_s < min(lost_at)
        return reached and self._in_doubt

    def state(self) -> RunnerState:
        """Describes this runner to others."""
        return RunnerState(
            host=self._host,
            active=self.active,
            store_reached=(
                self.store_reached and self._listened and not self._in_doubt
            ),
        )

    def has_contender(self, now: float) -> bool:
        """Tells whether another runner is heard of as the active one."""
        heard = any(one.active for one in self._live(now))
        return heard or bool(self._rivals(now))

    def decide(self, now: float) -> bool:
        """Decides whether this runner is active from now on.

        A runner that reaches the store goes before one that does not, the one
        that is active stays until another is, and rank decides the rest.
        """
        self._listened = now - self._started_at >= START_WAIT_S
        self._note_return(now)
        candidates = [self.state(), *self._live(now)]
        reaching = [one for one in candidates if one.store_reached]
        if not self.active and now - self._returned_at < RETURN_WAIT_S:
            reaching = []
        eligible = reaching or candidates
        holders = [one.host for one in eligible if one.active]
        rivals = self._rivals(now)
        if self.active and not holders and not rivals:
            # Others may only not have noticed yet that the store is away.
            holders = [one.host for one in candidates if one.active]
        hosts = holders or [one.host for one in eligible]
        if rivals and not (holders and self.store_reached):
            # Another one is active and has the store, though it can't be heard
            # from here.
            hosts = rivals
        elif self.active:
            hosts = [*hosts, *rivals]
        first = rank_hosts('batch', hosts)[0] == self._host
        self.active = first and self._listened
        return self.active

    def _note_return(self, now: float) -> None:
        if self.store_reached and not self._reached_before:
            self._returned_at = now
        self._reached_before = self.store_reached

    def _rivals(self, now: float) -> list[str]:
        named = {
            host
            for host, at in self._named.values()
            if now - at < NAMED_VALID_S
        }
        return sorted(named)

    def _live(self, now: float) -> list[RunnerState]:
        return [
            state
            for state, at in self._heard.values()
            if now - at < RUNNER_LIVE_S
        ]
