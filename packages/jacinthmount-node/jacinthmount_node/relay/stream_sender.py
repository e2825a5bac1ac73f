"""Tells runners at which endpoints the streams of callers have begun."""

import curio
from jacinthmount.stream_origins import (
    MAX_STREAMS,
    StreamOrigin,
    pack_streams,
)

from jacinthmount_node.relay.active_runner import ActiveRunner
from jacinthmount_node.relay.host_news import HostNews
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.new_messages import StreamNews
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('StreamSender',)

# Streams that begin within this time are told in one message.
PAUSE_S = 0.02
RETRY_S = 0.1
# Runners that are told; the active one writes a record as well.
COPIES = 2


class StreamSender:
    """Streams that have begun here and that runners have not been told of.

    While one version alone can have begun the streams of a service, nothing is
    told.
    """

    __slots__ = (
        '_active',
        '_changed',
        '_links',
        '_mixed',
        '_news',
        '_state',
        '_unsent',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        news: HostNews,
        active: ActiveRunner,
    ) -> None:
        self._state = state
        self._links = links
        self._news = news
        self._active = active
        self._unsent: list[tuple[str, StreamOrigin]] = []
        # Services of several versions.
        self._mixed: set[str] = set()
        self._changed = curio.Event()

    async def note(self, stream: str, origin: StreamOrigin, now: float) -> None:
        """Records a stream that has just begun."""
        service = origin.service
        if not self._state.versions.is_mixed(service, now):
            self._mixed.discard(service)
            return
        if service in self._mixed:
            self._unsent.append((stream, origin))
        else:
            # Streams that began before the second version came.
            self._mixed.add(service)
            self._unsent.extend(self._state.origins.items(now))
        await self._changed.set()

    async def run(self) -> None:
        """Tells runners of what was noted, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            unsent = self._unsent
            self._unsent = []
            if unsent and not await self._tell(unsent):
                self._unsent = (unsent + self._unsent)[-MAX_STREAMS:]
                await curio.sleep(RETRY_S)
                await self._changed.set()
            await curio.sleep(PAUSE_S)

    def choose_runners(self) -> list[RelayHost]:
        """Lists the runners that are told: the active one and one more.

        All of them while none is known to be active; only those that may
        understand it.
        """
        active = self._active.find()
        runners = [
            one
            for one in self._state.runners()
            if self._links.may_understand_news(one)
        ]
        if active is None:
            return runners
        runners.sort(key=lambda one: one != active)
        return runners[:COPIES]

    async def _tell(self, streams: list[tuple[str, StreamOrigin]]) -> bool:
        """Tells runners of streams.

        :returns: false if none of them answered.
        """
        runners = self.choose_runners()
        if not runners:
            return False
        news = StreamNews(begun=pack_streams(streams))
        tasks = [
            await curio.spawn(self._news.send, runner, news, daemon=True)
            for runner in runners
        ]
        replies = [await task.join() for task in tasks]
        return any(reply is not None for reply in replies)
