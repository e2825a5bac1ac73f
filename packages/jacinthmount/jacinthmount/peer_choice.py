"""Choice of the peer to which an isolated host sends its requests.

Several hosts may be isolated together. A random peer is then often isolated as
well, and each request to it takes its whole timeout.
"""

import random

__all__ = ('PeerChoice',)

VALID_S = 2.0


class PeerChoice:
    """Tracks which hosts recently served or failed a request.

    Times are monotonic seconds.
    """

    __slots__ = ('_failed_at', '_succeeded_at', '_rng')

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._succeeded_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def on_succeeded(self, host: str, now: float) -> None:
        """Records that a host served a request."""
        self._succeeded_at[host] = now
        self._failed_at.pop(host, None)

    def on_failed(self, host: str, now: float) -> None:
        """Records that a host did not reply or could not serve a request."""
        self._failed_at[host] = now
        self._succeeded_at.pop(host, None)

    def choose(self, hosts: list[str], now: float) -> str | None:
        """Chooses a host with a recent success, or else without a failure.

        :returns: None if there are no hosts.
        """
        succeeded = self._recent(self._succeeded_at, hosts, now)
        untried = self.without_failed(hosts, now)
        candidates = succeeded or untried or hosts
        return self._rng.choice(candidates) if candidates else None

    def without_failed(self, hosts: list[str], now: float) -> list[str]:
        """Lists the hosts without a recent failure."""
        failed = set(self._recent(self._failed_at, hosts, now))
        return [host for host in hosts if host not in failed]

    def _recent(
        self,
        recorded_at: dict[str, float],
        hosts: list[str],
        now: float,
    ) -> list[str]:
        return [
            host
            for host in hosts
            if host in recorded_at and now - recorded_at[host] < VALID_S
        ]
