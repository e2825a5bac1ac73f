"""The set of adapters that a relay process needs."""

from jacinthmount.ports import Clock, ObjectStore

from jacinthmount_node.relay.protocols import (
    CallerProtocol,
    EndpointProtocol,
    RetirementRequests,
)
from jacinthmount_node.relay.sync import FleetDecoder

__all__ = ('RelayPorts',)


class RelayPorts:
    """Adapters to everything outside the process."""

    __slots__ = (
        'callers',
        'clock',
        'decoder',
        'endpoints',
        'retirements',
        'store',
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        decoder: FleetDecoder,
        callers: CallerProtocol,
        endpoints: EndpointProtocol,
        retirements: RetirementRequests,
    ) -> None:
        self.store = store
        self.clock = clock
        self.decoder = decoder
        self.callers = callers
        self.endpoints = endpoints
        self.retirements = retirements
