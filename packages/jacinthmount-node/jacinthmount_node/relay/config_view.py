"""Tells how new the configuration of this host is."""

import curio

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.object_watch import ObjectWatch
from jacinthmount_node.relay.state import RelayState

__all__ = ('ConfigView',)

LIST_TIMEOUT_S = 0.4


class ConfigView:
    """The configuration in force here, and up to when it is the newest one.

    What it does not name was removed, or came after the last revision of the
    store that this host has seen.
    """

    __slots__ = ('_is_listing', '_state', '_watch')

    def __init__(self, *, state: RelayState, watch: ObjectWatch) -> None:
        self._is_listing = False
        self._state = state
        self._watch = watch

    async def is_route_removed(self, name: str, revision: int) -> bool:
        """Returns whether a route was removed that had a use.

        While this host can't tell, it lists the configuration.

        :param name: name of the route.
        :param revision: that of the store at which the use was written. The
            host that wrote it may know a newer configuration than this one.
        """
        if not self._state.configured:
            return False
        if self._state.config.find_route_named(name) is not None:
            return False
        if self._is_current_at(revision):
            return True
        await self._refresh()
        return False

    def _is_current_at(self, revision: int) -> bool:
        """Returns whether no newer configuration was stored by a revision."""
        stored = self._watch.find(self._state.settings.config_object)
        # An object that can't be parsed is held by the watch, not in force.
        if stored is None or stored.version != self._state.config_revision:
            return False
        return self._watch.revision >= revision

    async def _refresh(self) -> None:
        """Lists the configuration without waiting for the answer.

        Only one call is in flight, and none while the store does not answer.
        """
        if self._is_listing or self._watch.in_outage:
            return
        self._is_listing = True
        await curio.spawn(self._list, daemon=True)

    async def _list(self) -> None:
        try:
            await with_timeout(LIST_TIMEOUT_S, self._watch.refresh)
        except TimeoutError:
            # A store that is slow is no store that is lost.
            log_event('config_not_listed')
        finally:
            self._is_listing = False
