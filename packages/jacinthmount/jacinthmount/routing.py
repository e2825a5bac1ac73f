"""Choice of an endpoint by estimated load and prompt prefix."""

import json
import random
from typing import Any

from jacinthmount.declarations import Endpoint
from jacinthmount.dispatch import Stage
from jacinthmount.hashing import hash_hex, hash_text
from jacinthmount.ports import EngineLoad

__all__ = ('EndpointState', 'Router', 'prefix_key', 'read_prompt')

PREFIX_CHARS = 256
AFFINITY_LOAD_RATIO = 1.25
EJECT_BASE_S = 0.5
EJECT_MAX_S = 15.0
REPORT_MAX_AGE_S = 5.0
SERVICE_TIME_WEIGHT = 0.1


class EndpointState:
    """Load and health of one endpoint, as known to this host.

    ``elsewhere`` counts the online requests in flight from other hosts,
    ``contenders`` the hosts with online requests that run or wait there.
    """

    __slots__ = (
        'batch',
        'closed_until',
        'contenders',
        'ejected_until',
        'endpoint',
        'failures',
        'online',
        'reported',
        'reported_at',
        'service_time_s',
        'silent',
        'elsewhere',
    )

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.online = 0
        self.batch = 0
        self.elsewhere = 0
        self.contenders = 1
        self.silent = False
        self.closed_until = 0.0
        self.failures = 0
        self.ejected_until = 0.0
        self.reported: EngineLoad | None = None
        self.reported_at = 0.0
        self.service_time_s = 0.0

    def load(self, now: float) -> float:
        """Estimates the online requests in flight per slot."""
        own = self.online + self.elsewhere
        reported = 0
        report = self.reported
        if report and now - self.reported_at + report.age_s < REPORT_MAX_AGE_S:
            # A report is delayed: it adds the load of other hosts, but never
            # lowers the count of own requests.
            reported = report.running + report.waiting - self.batch
        return max(own, reported) / self.endpoint.slots

    def free_slots(self) -> int:
        """Returns how many more online requests this host may send.

        If several hosts contend for the endpoint, each may use an equal part of
        the slots, so that earlier requests of others can't block a host.
        """
        free = self.endpoint.slots - self.elsewhere
        if self.contenders > 1:
            free = max(free, self.fair_slots())
        return free - self.online

    def fair_slots(self) -> int:
        """Returns the slots that this host may use under contention."""
        return max(1, self.endpoint.slots // max(1, self.contenders))

    def available(self, now: float) -> bool:
        """Returns whether new requests may be sent to the endpoint."""
        if self.silent or self.is_closed(now):
            return False
        return now >= self.ejected_until

    def is_closed(self, now: float) -> bool:
        """Returns whether the endpoint is leaving or closed for requests."""
        return self.endpoint.leaving or now < self.closed_until

    def on_success(self, elapsed_s: float) -> None:
        """Records a successful response and the time it took."""
        self.failures = 0
        if not self.service_time_s:
            self.service_time_s = elapsed_s
        difference = elapsed_s - self.service_time_s
        self.service_time_s += difference * SERVICE_TIME_WEIGHT

    def on_failure(self, now: float) -> None:
        """Records a failure and ejects the endpoint, longer with each failure.

        Requests that were in flight together fail together and count once.
        """
        if now < self.ejected_until:
            return
        self.failures += 1
        pause = EJECT_BASE_S * 2 ** min(self.failures - 1, 10)
        self.ejected_until = now + min(pause, EJECT_MAX_S)


class Router:
    """Endpoints of one service in one data centre."""

    __slots__ = ('_rng', '_states')

    def __init__(self, *, rng: random.Random) -> None:
        """Starts without endpoints.

        :param rng: source of random choices.
        """
        self._rng = rng
        self._states: dict[str, EndpointState] = {}

    def set_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Replaces the endpoints, keeping the known state of each."""
        states = {}
        for endpoint in endpoints:
            state = self._states.get(endpoint.name)
            if state is None or state.endpoint.address != endpoint.address:
                state = EndpointState(endpoint=endpoint)
            state.endpoint = endpoint
            states[endpoint.name] = state
        self._states = states

    def states(self) -> list[EndpointState]:
        """Lists the endpoints."""
        return list(self._states.values())

    def find(self, name: str) -> EndpointState | None:
        """Finds an endpoint by name."""
        return self._states.get(name)

    def usable(self, now: float) -> list[EndpointState]:
        """Lists the endpoints to which new requests may be sent.

        If none is available, all but the closed ones are tried rather than
        refusing the request.
        """
        staying = [
            state for state in self._states.values() if not state.is_closed(now)
        ]
        available = [state for state in staying if state.available(now)]
        return available or staying

    def choose(
        self,
        prefix: str,
        tried: set[str],
        now: float,
    ) -> EndpointState | None:
        """Chooses an endpoint for an online request.

        The preferred endpoint of the prefix is chosen while its load is near
        the mean, otherwise the less loaded of two random ones.

        :param prefix: key of the prompt prefix.
        :param tried: names of endpoints to avoid if others exist.
        :returns: None if no endpoint is available.
        """
        usable = self.usable(now)
        untried = [
            state for state in usable if state.endpoint.name not in tried
        ]
        candidates = untried or usable
        if not candidates:
            return None
        preferred = _preferred(prefix, candidates)
        if _is_near_mean_load(preferred, candidates, now):
            return preferred
        # Without this, two random endpoints could both be full while another
        # one has a free slot.
        with_free_slots = [
            state for state in candidates if state.free_slots() > 0
        ]
        pool = with_free_slots or candidates
        pair = self._rng.sample(pool, min(2, len(pool)))
        return min(pair, key=lambda state: _finish_estimate(state, now))

    def worth_retry(self, stage: Stage, tried: set[str], now: float) -> bool:
        """Returns whether another attempt can succeed.

        An unreachable endpoint is not tried again for the same request.
        """
        if stage >= Stage.SENT:
            return True
        return any(
            state.endpoint.name not in tried for state in self.usable(now)
        )

    def capacity_left(self, now: float) -> bool:
        """Returns whether any endpoint has a slot for an online request."""
        return any(state.free_slots() > 0 for state in self.usable(now))

    def wait_estimate_s(self, ahead: int, now: float) -> float:
        """Estimates the wait of a request in seconds.

        :param ahead: requests that are served before it.
        """
        usable = self.usable(now)
        slots = sum(state.fair_slots() for state in usable)
        if not slots:
            return EJECT_MAX_S
        mean = sum(state.service_time_s for state in usable) / len(usable)
        return mean * ahead / slots


def read_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a request as one string."""
    return json.dumps(body.get('messages') or body.get('prompt') or '')


def prefix_key(prompt: str) -> str:
    """Returns the key that requests with the same prompt prefix share."""
    return hash_hex(prompt[:PREFIX_CHARS])


def _preferred(prefix: str, states: list[EndpointState]) -> EndpointState:
    return max(
        states,
        key=lambda state: hash_text(
            f'{prefix}@{state.endpoint.name}',
        ),
    )


def _is_near_mean_load(
    state: EndpointState,
    states: list[EndpointState],
    now: float,
) -> bool:
    if state.free_slots() <= 0:
        return False
    mean = sum(other.load(now) for other in states) / len(states)
    step = 1 / state.endpoint.slots
    return state.load(now) <= AFFINITY_LOAD_RATIO * mean + step


def _finish_estimate(state: EndpointState, now: float) -> tuple[float, float]:
    load = state.load(now)
    queue = max(1.0, load + 1 / state.endpoint.slots)
    return (queue * state.service_time_s, load)
