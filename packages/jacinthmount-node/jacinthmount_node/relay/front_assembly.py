"""Connects the components that serve callers."""

from jacinthmount.held_shares import HeldShares

from jacinthmount_node.net.endpoint_pools import EndpointPools
from jacinthmount_node.parts import Part
from jacinthmount_node.relay.batch_api import BatchApi
from jacinthmount_node.relay.endpoint_notices import EndpointNotices
from jacinthmount_node.relay.endpoint_probes import EndpointProbes
from jacinthmount_node.relay.front import RelayFront
from jacinthmount_node.relay.helper_relay import HelperRelay
from jacinthmount_node.relay.host_connectivity import HostConnectivity
from jacinthmount_node.relay.online import OnlineRelay
from jacinthmount_node.relay.ports import RelayPorts
from jacinthmount_node.relay.quota import AccountQuota
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.sync import RelaySync
from jacinthmount_node.relay.tracked_links import TrackedLinks

__all__ = ('FrontAssembly',)


class FrontAssembly:
    """A front with its relay; ``parts`` are the tasks of both by name."""

    __slots__ = ('front', 'parts')

    def __init__(
        self,
        *,
        state: RelayState,
        ports: RelayPorts,
        pools: EndpointPools,
        links: TrackedLinks,
        reporter: HostReporter,
        runner_link: RunnerLink,
        notices: EndpointNotices,
        shares: HeldShares,
        connectivity: HostConnectivity,
        sync: RelaySync,
    ) -> None:
        helpers = HelperRelay(
            state=state,
            links=links,
            pool=pools.helpers,
            callers=ports.callers,
            endpoints=ports.endpoints,
            catch_up=sync.request_snapshot,
        )
        relay = OnlineRelay(
            state=state,
            pool=pools.online,
            protocol=ports.endpoints,
            reporter=reporter,
            runner_link=runner_link,
            notices=notices,
            helpers=helpers,
        )
        self.front = RelayFront(
            state=state,
            protocol=ports.callers,
            quota=AccountQuota(
                state=state, runner_link=runner_link, shares=shares
            ),
            relay=relay,
            batches=BatchApi(
                state=state,
                runner_link=runner_link,
                connectivity=connectivity,
            ),
            streams=notices.streams,
            helpers=helpers,
        )
        reporter.on_views = relay.pump
        self.parts: dict[str, Part] = {
            'online': relay.run,
            'probes': EndpointProbes(state=state, pool=pools.online).run,
        }
