"""Follows a prefix anew after an outage of the store."""

from collections.abc import Callable

import curio

from jacinthmount_node.relay.object_watch import ObjectWatch

__all__ = ('OutageRefresh',)

CHECK_INTERVAL_S = 0.1


class OutageRefresh:
    """Refreshes a watch when other watches show that the store is back.

    A watch call that was waiting when the store was lost may wait on without
    any change, those after the outage included, so it is ended.

    :param is_unavailable: whether the store does not answer this host.
    """

    __slots__ = ('_is_unavailable', '_watch')

    def __init__(
        self, *, watch: ObjectWatch, is_unavailable: Callable[[], bool]
    ) -> None:
        self._watch = watch
        self._is_unavailable = is_unavailable

    async def run(self) -> None:
        """Checks until cancelled."""
        was_unavailable = False
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            unavailable = self._is_unavailable()
            if was_unavailable and not unavailable:
                await self._watch.end_call()
                await self._watch.refresh()
            was_unavailable = unavailable
