"""Attempts at online requests that are under way on this host."""

from jacinthmount.placement import EndpointUse

from jacinthmount_node.net.http_client import Exchange
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.state import RelayState

__all__ = ('RunningAttempts',)

# An attempt is aborted after this time without data, if it may be repeated.
ABORT_UNRESPONSIVE_S = 0.6


class _Attempt:
    """``given_up`` is true once this host has aborted it."""

    __slots__ = ('exchange', 'given_up', 'use')

    def __init__(self, *, use: EndpointUse, exchange: Exchange) -> None:
        self.use = use
        self.exchange = exchange
        self.given_up = False

    def silent_s(self, call: OnlineCall, now: float) -> float:
        """Returns the seconds since the endpoint sent any data."""
        if self.use.no_data_since is None:
            return 0.0
        return now - max(self.use.no_data_since, call.last_reply_at)


class RunningAttempts:
    """Attempts under way, which end early at silent endpoints."""

    __slots__ = ('_running', '_state')

    def __init__(self, *, state: RelayState) -> None:
        self._state = state
        self._running: dict[OnlineCall, _Attempt] = {}

    def begin(
        self, call: OnlineCall, use: EndpointUse, exchange: Exchange
    ) -> None:
        """Records that a request is about to be sent."""
        self._running[call] = _Attempt(use=use, exchange=exchange)

    def end(self, call: OnlineCall) -> None:
        """Records that the attempt has ended, if there is one."""
        self._running.pop(call, None)

    def is_given_up(self, call: OnlineCall) -> bool:
        """Returns whether this host has aborted the attempt under way."""
        attempt = self._running.get(call)
        return attempt is not None and attempt.given_up

    def abort_silent(self) -> None:
        """Aborts attempts without data that may be repeated."""
        # Another endpoint may still answer the request in time.
        now = self._state.now()
        for call, attempt in self._running.items():
            is_silent = attempt.silent_s(call, now) > ABORT_UNRESPONSIVE_S
            if is_silent and call.may_repeat(now):
                attempt.given_up = True
                attempt.exchange.abort()
