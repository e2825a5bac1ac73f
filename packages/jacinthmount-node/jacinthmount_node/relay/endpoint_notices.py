"""What answers and losses tell of endpoints, shared with other hosts."""

from jacinthmount_node.net.http_client import ClientPool
from jacinthmount_node.parts import PartGroup
from jacinthmount_node.relay.crash_evidence import CrashEvidence
from jacinthmount_node.relay.endpoint_limits import EndpointLimits
from jacinthmount_node.relay.host_news import HostNews
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('EndpointNotices',)


class EndpointNotices:
    """The crashes of endpoints, and the limits that they name.

    :param pool: connects to endpoints that may have crashed.
    """

    __slots__ = ('crashes', 'limits')

    def __init__(
        self,
        *,
        state: RelayState,
        links: TrackedLinks,
        pool: ClientPool,
    ) -> None:
        news = HostNews(state=state, links=links)
        self.crashes = CrashEvidence(state=state, news=news, pool=pool)
        self.limits = EndpointLimits(state=state, news=news)

    async def run(self) -> None:
        """Exchanges both with other hosts until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self.crashes.run)
            await group.spawn(self.limits.run)
