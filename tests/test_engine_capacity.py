"""What a host knows of engines that another host polls."""

import time
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.declarations import Endpoint
from jacinthmount.members import rank_hosts
from jacinthmount.routing import EndpointState
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.engines.engine_polls import EnginePolls
from jacinthmount_node.messages import EngineReportReply, EngineView

from tests.builders import make_endpoint

HOST, OWNER = 'a', 'b'
# Two checks of a host, and less than its pause between full reports.
CHECKED_S = 1.3


class _Links:
    """Links to the owner of the engines."""

    def __init__(self, *, silent):
        """Creates the links.

        :param silent: whether the owner finds the engines silent.
        """
        self._silent = silent

    async def request(self, record, report, timeout_s):
        """Answers a report of online requests."""
        views = [
            EngineView(
                engine=entry.engine,
                elsewhere=0,
                contenders=1,
                silent=self._silent,
                running=0,
                waiting=0,
                age_s=0.0,
            )
            for entry in report.engines
        ]
        return EngineReportReply(views=views)


@pytest.fixture
def state():
    """An engine that another host owns and has told to be silent."""
    names = (f'e{number}' for number in range(100))
    owned = next(
        name for name in names if rank_hosts(name, [HOST, OWNER])[0] == OWNER
    )
    found = EndpointState(endpoint=make_endpoint(owned))
    found.silent = True
    return found


@pytest.fixture
def node(state):
    """A host without requests."""
    router = SimpleNamespace(states=lambda: [state], find=lambda name: state)
    return SimpleNamespace(
        host=HOST,
        data_centre='east',
        members={OWNER: SimpleNamespace(host=OWNER)},
        catalogue=SimpleNamespace(
            list_records=lambda kind: [state.endpoint],
            find=lambda kind, name: (
                state.endpoint if kind is Endpoint else None
            ),
        ),
        now=time.monotonic,
        router=lambda name: router,
        state_of=lambda endpoint: state,
        iter_states=lambda: iter([state]),
        has_waiting=lambda service: False,
        live_hosts=lambda: [HOST, OWNER],
    )


async def run_capacity(capacity):
    """Lets a host check its engines."""
    running = await curio.spawn(capacity.run)
    await curio.sleep(CHECKED_S)
    await running.cancel()


@pytest.mark.parametrize('silent', [True, False])
def test_engine_that_went_on_is_never_used_again(node, state, silent):
    """A host that missed the news asks the owner, and believes it."""
    links = _Links(silent=silent)
    polls = EnginePolls(node=node, reports=None)
    capacity = EngineCapacity(node=node, links=links, polls=polls)
    curio.run(run_capacity, capacity)
    assert state.silent is silent
    assert state.available(time.monotonic()) is not silent
