"""Which batch items to blame when an endpoint dies with items in flight."""

__all__ = ('SuspectTracker',)

CHARGES_TO_FAIL = 2


class SuspectTracker:
    """Items that were in flight on an endpoint that died.

    Such an item is a suspect and runs as the only suspect on its endpoint. If
    the endpoint dies again, only this suspect is charged. An item fails after
    ``CHARGES_TO_FAIL`` charges, on distinct endpoints where there are any.
    """

    __slots__ = ('_charges', '_in_flight', '_suspects')

    def __init__(self) -> None:
        """Starts without suspects."""
        self._charges: dict[str, list[str]] = {}
        self._suspects: set[str] = set()
        self._in_flight: dict[str, set[str]] = {}

    def may_start(
        self,
        item: str,
        endpoint: str,
        endpoints: list[str],
    ) -> bool:
        """Tells whether an item may start on an endpoint now.

        :param endpoints: all endpoints that could run it; a suspect goes to
            the ones that died under it least often.
        """
        if item not in self._suspects:
            return True
        charges = self._charges.get(item, [])
        least = min(charges.count(name) for name in endpoints)
        if charges.count(endpoint) > least:
            return False
        running = self._in_flight.get(endpoint, set())
        return not running & self._suspects

    def on_start(self, item: str, endpoint: str) -> None:
        """Notes that an item is in flight."""
        self._in_flight.setdefault(endpoint, set()).add(item)

    def on_end(self, item: str, endpoint: str) -> None:
        """Notes that an item ended with an answer."""
        self._in_flight.get(endpoint, set()).discard(item)
        self._suspects.discard(item)
        self._charges.pop(item, None)

    def on_stop(self, item: str, endpoint: str) -> None:
        """Notes that an item was stopped without blame."""
        self._in_flight.get(endpoint, set()).discard(item)

    def on_endpoint_lost(self, endpoint: str) -> list[str]:
        """Notes that an endpoint died with its items.

        :returns: items that have now failed for good.
        """
        lost = self._in_flight.pop(endpoint, set())
        blamed = lost & self._suspects
        self._suspects |= lost
        failed = []
        for item in sorted(blamed):
            charges = self._charges.setdefault(item, [])
            charges.append(endpoint)
            if len(charges) >= CHARGES_TO_FAIL:
                failed.append(item)
                self._suspects.discard(item)
                self._charges.pop(item)
        return failed
