"""Which other host to ask for help by a host that is cut off itself.

Answers a cut that several hosts share: a host picked at random is often cut off
as well, and each question to it costs its whole timeout.
"""

import random

__all__ = ('PeerChoice',)

VALID_S = 2.0


class PeerChoice:
    """Hosts that lately could help, or could not; times are monotonic."""

    __slots__ = ('_failed_at', '_helped_at', '_rng')

    def __init__(self, *, rng: random.Random) -> None:
        """Starts with nobody asked."""
        self._rng = rng
        self._helped_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def on_succeeded(self, host: str, now: float) -> None:
        """Notes that a host did what was asked."""
        self._helped_at[host] = now
        self._failed_at.pop(host, None)

    def on_failed(self, host: str, now: float) -> None:
        """Notes that a host did not answer, or could not do it either."""
        self._failed_at[host] = now
        self._helped_at.pop(host, None)

    def choose(self, hosts: list[str], now: float) -> str | None:
        """Chooses one that helped lately, else one that did not fail lately."""
        helped = self._recent(self._helped_at, hosts, now)
        untried = self.without_failed(hosts, now)
        candidates = helped or untried or hosts
        return self._rng.choice(candidates) if candidates else None

    def without_failed(self, hosts: list[str], now: float) -> list[str]:
        """Leaves out hosts that failed lately."""
        failed = set(self._recent(self._failed_at, hosts, now))
        return [host for host in hosts if host not in failed]

    def _recent(
        self,
        noted: dict[str, float],
        hosts: list[str],
        now: float,
    ) -> list[str]:
        return [
            host
            for host in hosts
            if host in noted and now - noted[host] < VALID_S
        ]
