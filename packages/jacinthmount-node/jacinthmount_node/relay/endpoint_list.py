"""Proves that the list of endpoints of this host is complete."""

import curio
from jacinthmount.list_freshness import ALIVE_INTERVAL_S, ListFreshness

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.object_watch import ObjectWatch

__all__ = ('EndpointList',)

LIST_TIMEOUT_S = 0.4


class _Listing:
    """A listing that is in flight, for all tasks that wait for it."""

    __slots__ = ('done', 'requested_at')

    def __init__(self, *, requested_at: float) -> None:
        self.done = curio.Event()
        self.requested_at = requested_at


class EndpointList:
    """The registered endpoints as the watch of this host holds them."""

    __slots__ = ('_freshness', '_listing', '_watch')

    def __init__(self, *, watch: ObjectWatch, freshness: ListFreshness) -> None:
        self._watch = watch
        self._freshness = freshness
        self._listing: _Listing | None = None

    async def run(self) -> None:
        """Detects that the process stood still, until cancelled."""
        while True:
            self._freshness.note_alive()
            await curio.sleep(ALIVE_INTERVAL_S)

    def now(self) -> float:
        """Returns the time in seconds that confirmations are compared with."""
        return self._freshness.now()

    def is_fresh(self) -> bool:
        """Returns whether an endpoint that is not listed does not exist."""
        return self._freshness.is_fresh()

    def on_runner_reply(
        self, requested_at: float, revisions: dict[str, int]
    ) -> None:
        """Records the revisions that an active runner reported.

        They show that no change was missed, but not that the list is complete.

        :param requested_at: time at which the runner was asked.
        :param revisions: by prefix, without this one if its list is not fresh.
        """
        revision = revisions.get(self._watch.prefix, 0)
        if 0 < revision <= self._watch.revision:
            self._freshness.vouch(requested_at)

    async def confirm(self, since: float) -> bool:
        """Lists the endpoints by a call that is sent since a time.

        Tasks share the call; at most one is in flight.

        :returns: false if the store does not answer this host.
        """
        is_sent = False
        while not self._freshness.is_confirmed_since(since):
            if is_sent or self._watch.in_outage:
                return False
            listing = self._listing
            if listing is None:
                listing = _Listing(requested_at=self.now())
                self._listing = listing
                await curio.spawn(self._list, listing, daemon=True)
            is_sent = listing.requested_at >= since
            await listing.done.wait()
        return True

    async def _list(self, listing: _Listing) -> None:
        try:
            await with_timeout(LIST_TIMEOUT_S, self._watch.refresh)
        except TimeoutError:
            # A store that is slow is no store that is lost.
            log_event('endpoints_not_listed')
        finally:
            self._listing = None
            await listing.done.set()
