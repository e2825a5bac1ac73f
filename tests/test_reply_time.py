"""Waits for answers follow from how long answers took."""

import random
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.errors import PeerUnavailable
from jacinthmount.memory import ManualClock
from jacinthmount.reply_time import MIN_LIMIT_S, ReplyTime
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.messages import CreditAsk
from jacinthmount_node.relay.runner_link import MAX_WAIT_S, RunnerLink
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_relay_settings

AIM_S = 0.3
QUESTION = CreditAsk(account='gin')
REPLY_S = 0.005
SLOW_REPLY_S = 0.06


def test_before_the_first_answer_the_longest_wait_holds():
    """Nothing is known, so nothing is given up early."""
    limit_s = ReplyTime(max_limit_s=MAX_WAIT_S).limit_s()
    assert limit_s == pytest.approx(MAX_WAIT_S)


def test_limit_follows_the_answers():
    """Quick answers shorten the wait, slow ones lengthen it again."""
    reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    assert reply_time.limit_s() == pytest.approx(MIN_LIMIT_S)
    for _ in range(4):
        reply_time.on_reply(SLOW_REPLY_S)
    longer_s = reply_time.limit_s()
    assert longer_s > SLOW_REPLY_S


def test_missed_answers_lengthen_the_wait():
    """A fleet that turned slow is asked with more patience."""
    reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    for second in range(4):
        reply_time.on_timeout(second)
    longer_s = reply_time.limit_s()
    assert longer_s > 2 * MIN_LIMIT_S


class Network:
    """A runner that answers each question after a time, until it is lost.

    Another host passes questions on, and is as helpless then.
    """

    def __init__(self, clock):
        """Starts with the runner alive."""
        self._clock = clock
        self.is_lost = False
        self.waited_s = []

    async def request_at(self, address, body, timeout_s):
        """See the links to other hosts."""
        took_s = timeout_s if self.is_lost else REPLY_S
        self._clock.advance(took_s)
        self.waited_s.append(took_s)
        if self.is_lost:
            raise PeerUnavailable(detail='no reply')
        return body

    async def request(self, peer, body, timeout_s):
        """See the help of other hosts."""
        return await self.request_at(peer, body, timeout_s)

    def choose(self):
        """Finds another host."""
        return 'h2:1'


@pytest.fixture
def network():
    """A network whose clock moves while somebody waits."""
    clock = ManualClock()
    clock.advance(100)
    return Network(clock)


@pytest.fixture
def link(network):
    """The way of a host to the active runner."""
    return RunnerLink(
        state=RelayState(
            settings=make_relay_settings(),
            store=MemoryStore(),
            clock=network._clock,
            rng=random.Random(1),
        ),
        links=network,
        peer_requests=network,
        active=SimpleNamespace(
            find=lambda: SimpleNamespace(peer_address='s1:1'),
        ),
    )


def test_request_is_in_time_when_the_runner_is_just_lost(network, link):
    """It goes on credit, or learns of it, long before its aim.

    Seen as nine streams that waited 0.30 s for a token, and were all late, in
    the second in which the active runner was lost.
    """

    async def ask_until_lost():
        for _ in range(100):
            await link.request(QUESTION, AIM_S / 2)
        network.is_lost = True
        network.waited_s.clear()
        with pytest.raises(PeerUnavailable):
            await link.request(QUESTION, AIM_S / 2)

    curio.run(ask_until_lost)
    assert len(network.waited_s) == 2
    assert sum(network.waited_s) < AIM_S / 2


def test_answers_are_waited_for_where_nothing_is_known(network, link):
    """The first question of a host that has just started is not cut short."""
    network.is_lost = True

    async def request():
        with pytest.raises(PeerUnavailable):
            await link.request(QUESTION, within_s=10)

    curio.run(request)
    assert network.waited_s[0] == pytest.approx(MAX_WAIT_S)


def test_host_that_has_just_started_asks_within_the_aim(network, link):
    """With nothing known it still answers in time.

    Seen as 25 streams that waited 0.30 s in the second after all hosts had
    been killed.
    """
    network.is_lost = True

    async def request():
        with pytest.raises(PeerUnavailable):
            await link.request(QUESTION, AIM_S / 2)

    curio.run(request)
    assert sum(network.waited_s) <= AIM_S / 2


def test_request_without_an_aim_is_asked_for_all_the_same(network, link):
    """A route that names no aim gives the runner time to answer."""
    assert curio.run(link.request, QUESTION, 0) == QUESTION
    network.is_lost = True
    with pytest.raises(PeerUnavailable):
        curio.run(link.request, QUESTION, 0)
    assert min(network.waited_s[1:]) > REPLY_S


def test_questions_missed_together_count_once():
    """A burst that meets a lost runner does not make later ones wait."""
    reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    reply_time.on_timeout(1)
    once_s = reply_time.limit_s()
    for _ in range(20):
        reply_time.on_timeout(1)
    assert reply_time.limit_s() == pytest.approx(once_s)
