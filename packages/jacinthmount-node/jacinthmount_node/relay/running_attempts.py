"""Attempts at online requests that are under way on this host.

An attempt at a silent endpoint ends early only for something better: a free
slot of another endpoint, which is held for the request before the attempt is
aborted, or another host if this one reaches no endpoint. That an endpoint has
deregistered is no reason, since its process may still end its requests.
"""

from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.placement import EndpointUse

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.http_client import Exchange
from jacinthmount_node.relay.crash_evidence import (
    CrashEvidence,
    find_blocked_error,
)
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunningAttempts', 'has_key')

# An attempt may move to another endpoint after this time without data.
SILENT_AFTER_S = 0.6


class _Attempt:
    """``given_up`` is true once this host has aborted it.

    ``noted_at`` is when its silence was last recorded, in monotonic seconds.
    """

    __slots__ = ('call', 'exchange', 'given_up', 'noted_at', 'use')

    def __init__(
        self, *, call: OnlineCall, use: EndpointUse, exchange: Exchange
    ) -> None:
        self.call = call
        self.use = use
        self.exchange = exchange
        self.given_up = False
        self.noted_at = 0.0

    def silent_since(self, now: float) -> float:
        """Returns the time of the last data, or of the request before any."""
        no_data_since = self.use.no_data_since
        return max(
            now if no_data_since is None else no_data_since,
            self.call.last_reply_at,
        )

    def is_silent(self, now: float) -> bool:
        """Returns whether nothing has arrived for a while."""
        is_waiting = not self.given_up
        return is_waiting and now - self.silent_since(now) > SILENT_AFTER_S


class RunningAttempts:
    """Attempts under way, and the slots that are held for their requests.

    :param crashes: tells which requests may crash an endpoint.
    """

    __slots__ = ('_crashes', '_held', '_left', '_running', '_silent', '_state')

    def __init__(self, *, state: RelayState, crashes: CrashEvidence) -> None:
        self._state = state
        self._crashes = crashes
        self._running: dict[OnlineCall, _Attempt] = {}
        self._held: dict[OnlineCall, EndpointUse] = {}
        self._silent: list[_Attempt] = []
        # Requests whose attempt this host has given up.
        self._left: set[OnlineCall] = set()

    def begin(
        self, call: OnlineCall, use: EndpointUse, exchange: Exchange
    ) -> None:
        """Records that a request is about to be sent."""
        self._running[call] = _Attempt(call=call, use=use, exchange=exchange)

    def end(self, call: OnlineCall) -> None:
        """Records that the attempt has ended, if there is one."""
        self._running.pop(call, None)

    def is_given_up(self, call: OnlineCall) -> bool:
        """Returns whether this host has aborted the attempt under way."""
        attempt = self._running.get(call)
        return attempt is not None and attempt.given_up

    def has_left(self, call: OnlineCall) -> bool:
        """Returns whether this host has given up an attempt at a request."""
        return call in self._left

    def note_failed(self, call: OnlineCall, use: EndpointUse) -> None:
        """Ejects the endpoint of an attempt that was lost or given up."""
        if self.is_given_up(call):
            use.on_silence(self._state.now())
        else:
            use.on_failure(self._state.now())

    def limit_wait(self, call: OnlineCall, limit_s: float) -> None:
        """Limits how long a stream that has begun waits for an endpoint.

        :param limit_s: seconds; not used if this host has ended the attempt.
        """
        if not self.has_left(call):
            call.resume_until = self._state.now() + limit_s

    def holds(self, call: OnlineCall) -> bool:
        """Returns whether a slot is held for a request."""
        return call in self._held

    def take(self, call: OnlineCall) -> EndpointUse | None:
        """Hands over the slot that is held for a request.

        :returns: None if there is none, or if it may no longer be used.
        """
        use = self._held.pop(call, None)
        if use is None or self._is_usable(use):
            return use
        use.end()
        return None

    def drop(self, call: OnlineCall) -> None:
        """Frees the slot that is held for a request, if there is one."""
        use = self._held.pop(call, None)
        if use is not None:
            use.end()

    def forget(self, call: OnlineCall) -> None:
        """Frees all that is kept for a request that has ended."""
        self.drop(call)
        self._left.discard(call)

    def note_silent(self) -> list[EndpointEntry]:
        """Finds the attempts at silent endpoints.

        :returns: the endpoints of those that may be repeated, each attempt
            once in a while.
        """
        now = self._state.now()
        self._silent = [
            attempt
            for attempt in self._running.values()
            if attempt.is_silent(now)
        ]
        found = {}
        for attempt in self._silent:
            if not attempt.call.may_repeat(now):
                continue
            if now - attempt.noted_at > SILENT_AFTER_S:
                attempt.noted_at = now
                found[attempt.use.entry.endpoint_id] = attempt.use.entry
        return list(found.values())

    def move_silent(self, service: str) -> None:
        """Moves requests of a service from silent endpoints to free slots."""
        now = self._state.now()
        for attempt in self._silent:
            call = attempt.call
            if attempt.use.entry.service != service:
                continue
            is_running = self._running.get(call) is attempt
            if is_running and attempt.is_silent(now) and self._may_move(call):
                self._move(attempt, now)

    def _is_usable(self, use: EndpointUse) -> bool:
        placement = self._state.placement(use.entry.service)
        is_listed = placement.find(use.entry.endpoint_id) is use
        return is_listed and placement.is_available(use, self._state.now())

    def _may_move(self, call: OnlineCall) -> bool:
        """Returns whether another endpoint may run a request under way."""
        if self._is_blocked(call) or self._is_in_doubt(call):
            return False
        return call.may_repeat(self._state.now()) and has_key(self._state, call)

    def _is_blocked(self, call: OnlineCall) -> bool:
        blocked = find_blocked_error(
            self._state, call.service, call.suspect, call.attempts
        )
        return blocked is not None or not self._crashes.may_repeat(
            call.service, call.suspect
        )

    def _is_in_doubt(self, call: OnlineCall) -> bool:
        if call.origin is None:
            return False
        return not self._state.versions.is_certain(call.origin, call.began_at)

    def _move(self, attempt: _Attempt, now: float) -> None:
        call = attempt.call
        entry = attempt.use.entry
        place = self._state.placement(entry.service).choose_free(
            {*call.tried, entry.endpoint_id}, now, call.version
        )
        if place is not None:
            place.begin(now)
            self._held[call] = place
        elif not self._state.reach.isolated:
            return
        log_event(
            'attempt_given_up',
            request=call.request.request_id,
            endpoint=entry.endpoint_id,
            silent_s=round(now - attempt.silent_since(now), 3),
            next=place.entry.endpoint_id if place else '',
        )
        attempt.given_up = True
        call.resume_until = call.deadline
        self._left.add(call)
        attempt.exchange.abort()


def has_key(state: RelayState, call: OnlineCall) -> bool:
    """Returns whether the key of a request is valid, if it needs one.

    That of another account by now is not.
    """
    if call.route.public or not state.config.has_accounts:
        return True
    account = state.config.account_of_key(call.request.key)
    return account is not None and call.account in {'', account.name}
