"""Knows at which version the streams of callers began, at any host."""

import curio
from jacinthmount.errors import (
    PeerUnavailable,
    StreamNotResumable,
    StreamOriginUnavailable,
)
from jacinthmount.placement import EndpointUse
from jacinthmount.stream_lookup import (
    StreamReply,
    find_known,
    find_only_version,
    is_settled,
)
from jacinthmount.stream_origins import (
    NotedOrigin,
    StreamOrigin,
)

from jacinthmount_node.logs import log_event
from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.messages import RelayHost
from jacinthmount_node.relay.new_messages import StreamAsk, StreamNews
from jacinthmount_node.relay.online_call import OnlineCall
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.stream_record import StreamRecord
from jacinthmount_node.relay.stream_sender import StreamSender
from jacinthmount_node.relay.sync import RelaySync
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('StreamRegistry', 'make_origin')

ASK_TIMEOUT_S = 0.15
ASK_PAUSE_S = 0.1
# A runner replies before the host that asks it gives up.
ASK_LIST_TIMEOUT_S = 0.1
# The caller of a stream expects its next event within 2 s.
FIND_LIMIT_S = 1.0
MAX_ASKED_FRONTS = 16
RETRY_AFTER_S = 0.3
RESTORE_CHECK_S = 0.5
# Longest pauses of a new host until a runner has told it the versions.
RESTORE_PAUSES_S = (0.4, 1.0, 2.0, 4.0, 8.0, 16.0)


class StreamRegistry:
    """Records where streams begin, and finds the origins of others."""

    __slots__ = ('_links', '_sender', '_state', '_sync')

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        sender: StreamSender,
        sync: RelaySync,
    ) -> None:
        self._state = state
        self._sync = sync
        self._links = links
        self._sender = sender

    async def run(self) -> None:
        """Tells runners of streams, or records them, until cancelled."""
        async with PartGroup() as group:
            if self._state.settings.runs_batches:
                await group.spawn(StreamRecord(state=self._state).run)
            else:
                await group.spawn(self._sender.run)
                await group.spawn(self._restore)

    async def note_begun(self, call: OnlineCall, use: EndpointUse) -> None:
        """Records the first event of an attempt, before the caller has it."""
        now = self._state.now()
        if call.origin is None:
            call.begin(make_origin(use, now), now)
        else:
            self._count('went_on')
        if call.origin is None or not call.route.resumable:
            return
        self._state.origins.note(call.stream, call.origin, now)
        await self._sender.note(call.stream, call.origin, now)

    async def bind(self, call: OnlineCall) -> None:
        """Finds the origin of a stream that a caller takes up.

        :raises StreamNotResumable: nobody knows it, or its version has left.
        :raises StreamOriginUnavailable: nobody can tell yet.
        """
        noted = await self._find(call)
        call.begin(noted.origin, noted.at)
        call.service = noted.origin.service
        await self._learn_endpoints(noted)
        self.raise_if_stranded(call)

    def raise_if_stranded(self, call: OnlineCall) -> None:
        """Refuses a stream with which no endpoint may go on.

        :raises StreamNotResumable: its version has left, or is in doubt.
        """
        origin = call.origin
        if origin is None:
            return
        names = {one.service for one in call.route.services}
        placement = self._state.placement(origin.service)
        if not self._state.versions.is_certain(origin, call.began_at):
            raise self._refuse(call, 'unknown', 'is in doubt')
        if origin.service not in names or not placement.has_version(
            origin.version
        ):
            raise self._refuse(call, 'gone', f'{origin.version} is gone')

    def on_news(self, news: StreamNews) -> StreamNews:
        """Records streams that began at another host."""
        now = self._state.now()
        for group in news.begun:
            if group.origin.version:
                self._state.versions.add(
                    group.origin.service, [group.origin.version], now
                )
        self._state.origins.note_all(news.begun, now)
        return StreamNews(begun=[])

    async def on_ask(self, ask: StreamAsk) -> StreamReply:
        """Tells what this host knows."""
        known = self._find_here(ask.stream)
        is_settled = known is None and await self._is_settled()
        return StreamReply(
            origin=known.origin if known else None,
            is_settled=is_settled,
            versions=self._state.versions.all_candidates(self._state.now()),
        )

    async def _is_settled(self) -> bool:
        if not self._state.settings.runs_batches:
            return False
        if not self._state.leadership.active:
            return False
        endpoints = self._sync.endpoint_list
        is_listed = await curio.ignore_after(
            ASK_LIST_TIMEOUT_S, endpoints.confirm, endpoints.now()
        )
        # The result is None after the timeout.
        return bool(is_listed) and self._state.versions.is_complete(
            self._state.now()
        )

    async def _find(self, call: OnlineCall) -> NotedOrigin:
        until = self._state.now() + FIND_LIMIT_S
        arrived_at = self._sync.endpoint_list.now()
        while True:
            noted = self._find_here(call.stream)
            noted = noted or await self._find_elsewhere(call, arrived_at)
            if noted is not None:
                return noted
            if self._state.now() >= until:
                raise self._make_unavailable('which version began it')
            await curio.sleep(ASK_PAUSE_S)

    def _find_here(self, stream: str) -> NotedOrigin | None:
        noted = self._state.origins.find(stream, self._state.now())
        if noted is None:
            return None
        is_certain = self._state.versions.is_certain(noted.origin, noted.at)
        return noted if is_certain else None

    async def _find_elsewhere(
        self, call: OnlineCall, arrived_at: float
    ) -> NotedOrigin | None:
        """Asks other hosts for the origin of a stream.

        :param arrived_at: time of the list of endpoints at the arrival.
        :returns: None if another try may find it.
        :raises StreamNotResumable: nobody knows it.
        """
        replies = await self._ask_all(self._state.runners(), call.stream)
        known = find_known(replies)
        settled = is_settled(replies)
        if known is None and not settled:
            fronts = await self._ask_all(self._pick_fronts(), call.stream)
            known = find_known(fronts)
            replies.extend(fronts)
        if known is not None:
            return NotedOrigin(origin=known, at=self._state.now())
        if not settled and not await self._knows_all_versions(arrived_at):
            return None
        only = self._infer(call, replies)
        if only is None and settled:
            raise self._refuse(call, 'unknown', 'is not known')
        return only

    def _infer(
        self, call: OnlineCall, replies: list[StreamReply]
    ) -> NotedOrigin | None:
        now = self._state.now()
        tables = [reply.versions for reply in replies]
        tables.append(self._state.versions.all_candidates(now))
        services = [one.service for one in call.route.services]
        only = find_only_version(services, tables)
        return NotedOrigin(origin=only, at=now) if only else None

    async def _knows_all_versions(self, since: float) -> bool:
        is_listed = await self._sync.endpoint_list.confirm(since)
        return is_listed and self._state.versions.is_complete(self._state.now())

    async def _learn_endpoints(self, noted: NotedOrigin) -> None:
        """Catches up unless endpoints of a version are known here.

        :raises StreamOriginUnavailable: there may be some all the same.
        """
        endpoints = self._sync.endpoint_list
        if self._serves(noted.origin):
            return
        if await endpoints.confirm(endpoints.now()):
            return
        hosts = self._state.runners() + self._pick_fronts()
        async with PartGroup() as group:
            for host in hosts[:MAX_ASKED_FRONTS]:
                await group.spawn(
                    self._sync.request_snapshot, host.peer_address
                )
            async for _ in group:
                if self._serves(noted.origin):
                    break
            await group.cancel_remaining()
        if not self._serves(noted.origin):
            raise self._make_unavailable('whether its version still serves')

    def _serves(self, origin: StreamOrigin) -> bool:
        placement = self._state.placement(origin.service)
        return placement.has_version(origin.version)

    def _make_unavailable(self, unknown: str) -> StreamOriginUnavailable:
        self._count('unavailable')
        return StreamOriginUnavailable(
            detail=f'no host can tell yet {unknown}',
            retry_after_s=RETRY_AFTER_S,
        )

    def _refuse(
        self, call: OnlineCall, outcome: str, reason: str
    ) -> StreamNotResumable:
        self._count(outcome)
        log_event(
            'stream_not_resumed',
            request=call.request.request_id,
            first=call.request.first_attempt,
            outcome=outcome,
            version=call.origin.version if call.origin else '',
            events=call.last_event,
        )
        return StreamNotResumable(
            detail=f'the version that began the stream {reason}; begin anew'
        )

    def _count(self, outcome: str) -> None:
        self._state.metrics.resumed_streams.labels(outcome).inc()

    def _pick_fronts(self) -> list[RelayHost]:
        names = [one for one in self._state.fronts() if one != self._state.host]
        chosen = self._state.rng.sample(
            names, min(len(names), MAX_ASKED_FRONTS)
        )
        return [self._state.hosts[name] for name in chosen]

    async def _ask_all(
        self, hosts: list[RelayHost], stream: str
    ) -> list[StreamReply]:
        """Asks hosts at once, until one knows the stream or all replied."""
        replies = []
        async with PartGroup() as group:
            for host in hosts:
                await group.spawn(self._ask, host, StreamAsk(stream=stream))
            async for task in group:
                if task.result is None:
                    continue
                replies.append(task.result)
                if task.result.origin is not None:
                    break
            await group.cancel_remaining()
        return replies

    async def _ask(self, host: RelayHost, ask: StreamAsk) -> StreamReply | None:
        try:
            reply = await self._links.request_at(
                host.peer_address, ask, ASK_TIMEOUT_S
            )
        except PeerUnavailable as exc:
            log_event('stream_ask_failed', peer=host.host, detail=exc.detail)
            return None
        return reply if isinstance(reply, StreamReply) else None

    async def _restore(self) -> None:
        """Learns the versions that left unseen, until cancelled."""
        while True:
            if self._state.versions.needs_restore(self._state.now()):
                await self._restore_once()
            await curio.sleep(RESTORE_CHECK_S)

    async def _restore_once(self) -> None:
        for pause_s in RESTORE_PAUSES_S:
            # Hosts that start together ask one after the other.
            await curio.sleep(self._state.rng.uniform(0, pause_s))
            replies = await self._ask_all(self._sender.choose_runners(), '')
            if not is_settled(replies):
                continue
            for reply in replies:
                for service, versions in reply.versions.items():
                    self._state.versions.add(
                        service, versions, self._state.now()
                    )
            self._state.versions.complete()
            return


def make_origin(use: EndpointUse, now: float) -> StreamOrigin:
    """Makes the origin of what an endpoint begins now.

    Its version is empty while it is in doubt.
    """
    return StreamOrigin(
        service=use.entry.service,
        endpoint_id=use.entry.endpoint_id,
        started_at_ms=use.entry.started_at_ms,
        version=use.find_version(now),
    )
