"""What the owner of an engine tells the other hosts about it."""

import time
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.declarations import Service
from jacinthmount.errors import PeerUnavailable
from jacinthmount.ports import EngineState
from jacinthmount_node.engines.order_task import OrderTask

from tests.builders import make_endpoint

HOST, OTHER = 'a', 'b'
# Three checks of the owner, and less than its pause between reports.
CHECKED_S = 3.5
RUNS_TARGET = EngineState(
    weights='w',
    version='2',
    adapters=[],
    role='',
    loading=False,
    fencing=0,
)


class _Links:
    """Links that lose the first messages."""

    def __init__(self, *, lost):
        """Counts the messages to lose."""
        self._lost = lost
        self.received = []

    async def request(self, record, message, timeout_s):
        """Takes or loses a message."""
        if self._lost:
            self._lost -= 1
            raise PeerUnavailable(detail='lost')
        self.received.append(message.closed)


class _Control:
    """Control of an engine that runs its declared weights."""

    async def read_state(self, address):
        """Returns the state of the engine."""
        return RUNS_TARGET


class _Capacity:
    """The engines of a host that owns one."""

    def owned_endpoints(self):
        """Lists the engine."""
        return [make_endpoint('e1', service='m')]

    def is_idle(self, endpoint):
        """Returns that nothing runs."""
        return True

    async def on_closed(self, message):
        """Does nothing."""


@pytest.fixture
def node():
    """A host with one other host."""
    service = Service(
        name='m',
        kind='model',
        profile='online',
        weights='w',
        version='2',
        adapters=[],
        write_id='w',
    )
    return SimpleNamespace(
        host=HOST,
        loaded=True,
        members={OTHER: SimpleNamespace(host=OTHER)},
        catalogue=SimpleNamespace(
            find=lambda kind, name: service,
            profile_of=lambda name: None,
        ),
        table=SimpleNamespace(read=lambda name: None),
        now=time.monotonic,
        router=lambda name: SimpleNamespace(states=list),
        live_hosts=lambda: [HOST, OTHER],
    )


async def run_task(task):
    """Lets an owner check its engines a few times."""
    running = await curio.spawn(task.run)
    await curio.sleep(CHECKED_S)
    await running.cancel()


@pytest.mark.parametrize('lost', [0, 1, 2])
def test_host_misses_that_an_engine_is_open_again(node, lost):
    """It is told until it confirms, and not again after that."""
    links = _Links(lost=lost)
    task = OrderTask(
        node=node,
        links=links,
        rooms=_Capacity(),
        control=_Control(),
        slots=None,
    )
    curio.run(run_task, task)
    assert links.received == [False]
