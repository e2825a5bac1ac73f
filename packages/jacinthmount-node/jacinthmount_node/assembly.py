"""Factories that connect a node's components to their port adapters."""

import random

from jacinthmount.caller_memory import CallerMemory
from jacinthmount.settings import Settings

from jacinthmount_node.callers.plain_service import HttpPlainService
from jacinthmount_node.engines.engine import HttpEngine
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.engines.engine_control import HttpEngineControl
from jacinthmount_node.engines.load_slots import LoadSlots
from jacinthmount_node.engines.order_task import OrderTask
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.connection_memory import make_caller_memory
from jacinthmount_node.net.object_api import HttpStore, HttpWeightStore
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.node import Node

__all__ = ('make_callers_memory', 'make_node', 'make_orders')


def make_node(settings: Settings, pool: ClientPool) -> Node:
    """Creates the shared state of a node with its port adapters."""
    return Node(
        settings=settings,
        store=HttpStore(addresses=settings.platform, pool=pool),
        clock=SystemClock(),
        engine=HttpEngine(pool=pool),
        plain=HttpPlainService(pool=pool),
        rng=random.Random(),
    )


def make_orders(
    node: Node,
    links: PeerLinks,
    rooms: EngineCapacity,
    pool: ClientPool,
) -> OrderTask:
    """Creates the task that sends orders to engines."""
    weights = None
    addresses = node.settings.weight_store
    if addresses:
        weights = HttpWeightStore(addresses=addresses, pool=pool)
    return OrderTask(
        node=node,
        links=links,
        rooms=rooms,
        control=HttpEngineControl(pool=pool),
        slots=LoadSlots(node=node, weights=weights),
    )


def make_callers_memory(settings: Settings, metrics: Metrics) -> CallerMemory:
    """Creates the memory budget of a node's callers."""
    return make_caller_memory(settings.memory_mb, 0, metrics)
