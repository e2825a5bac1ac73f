"""What answers and losses tell of endpoints, shared with other hosts."""

from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.active_runner import ActiveRunner
from jacinthmount_node.relay.crash_evidence import CrashEvidence
from jacinthmount_node.relay.endpoint_limits import EndpointLimits
from jacinthmount_node.relay.host_news import HostNews
from jacinthmount_node.relay.reach_checks import ReachChecks
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.stream_registry import StreamRegistry
from jacinthmount_node.relay.stream_sender import StreamSender
from jacinthmount_node.relay.sync import RelaySync
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('EndpointNotices',)


class EndpointNotices:
    """Crashes of endpoints, the limits they name, and the streams they begin.

    :param pool: connects to endpoints that may have crashed.
    """

    __slots__ = ('crashes', 'limits', 'reach', 'streams')

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        pool: ClientPool,
        active: ActiveRunner,
        sync: RelaySync,
    ) -> None:
        news = HostNews(state=state, links=links)
        self.reach = ReachChecks(state=state, pool=pool)
        self.crashes = CrashEvidence(
            state=state, news=news, pool=pool, reach=self.reach
        )
        self.limits = EndpointLimits(state=state, news=news)
        self.streams = StreamRegistry(
            state=state,
            links=links,
            sender=StreamSender(
                state=state, links=links, news=news, active=active
            ),
            sync=sync,
        )

    async def run(self) -> None:
        """Exchanges them with other hosts until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self.crashes.run)
            await group.spawn(self.limits.run)
            await group.spawn(self.reach.run)
            await group.spawn(self.streams.run)
