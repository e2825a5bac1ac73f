"""Whether this host reaches any endpoint at all."""

__all__ = ('EndpointReach',)

# One endpoint that does not answer may have crashed.
MIN_ENDPOINTS = 2
# Failures count together within this time.
WINDOW_S = 1.0


class EndpointReach:
    """Endpoints that this host failed to reach lately.

    Several endpoints may fail at once while others are sound, so a suspicion is
    checked before the host counts as ``isolated``.
    """

    __slots__ = ('_failed_at', 'isolated')

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}
        self.isolated = False

    def on_failed(self, endpoint_id: str, now: float) -> None:
        """Records that an endpoint could not be reached, or fell silent."""
        self._failed_at[endpoint_id] = now

    def on_reached(self) -> None:
        """Records that an endpoint accepted a new connection."""
        self._failed_at.clear()
        self.isolated = False

    def failed(self, now: float) -> set[str]:
        """Returns the endpoints that failed lately."""
        self._failed_at = {
            endpoint_id: at
            for endpoint_id, at in self._failed_at.items()
            if now - at < WINDOW_S
        }
        return set(self._failed_at)

    def is_suspected(self, known: int, now: float) -> bool:
        """Returns whether the host may reach no endpoint.

        :param known: number of endpoints that are registered.
        """
        needed = min(MIN_ENDPOINTS, known)
        return bool(known) and len(self.failed(now)) >= needed
