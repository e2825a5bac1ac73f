"""Data centres that the operator evacuates, as objects named after them."""

from jacinthmount.ports import Stored

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = ('Evacuations',)


class Evacuations:
    """Puts the evacuations that a watch holds in force on this host."""

    __slots__ = ('_state',)

    def __init__(self, *, state: RelayState) -> None:
        self._state = state

    async def apply(self, watch: ObjectWatch, changed: list[Stored]) -> None:
        """Replaces the evacuated data centres after a change."""
        evacuated = frozenset(
            one.name.removeprefix(watch.prefix) for one in watch.objects()
        )
        with_endpoints = {
            entry.data_centre for entry in self._state.endpoints.entries()
        }
        log_event(
            'evacuations',
            data_centres=','.join(sorted(evacuated)),
            unknown=','.join(sorted(evacuated - with_endpoints)),
            revision=watch.revision,
        )
        self._state.apply_evacuations(evacuated)
        self._state.metrics.evacuated.set(len(evacuated))
