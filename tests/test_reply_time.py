"""Timeouts that follow from the reply times so far."""

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

TARGET_S = 0.3
REQUEST = CreditAsk(account='gin')
REPLY_S = 0.005
SLOW_REPLY_S = 0.06


def test_longest_timeout_before_the_first_reply():
    """Without any reply time no request times out early."""
    limit_s = ReplyTime(max_limit_s=MAX_WAIT_S).limit_s()
    assert limit_s == pytest.approx(MAX_WAIT_S)


def test_timeout_follows_the_reply_times():
    """Fast replies shorten the timeout, slow ones lengthen it."""
    reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    assert reply_time.limit_s() == pytest.approx(MIN_LIMIT_S)
    for _ in range(4):
        reply_time.on_reply(SLOW_REPLY_S)
    longer_s = reply_time.limit_s()
    assert longer_s > SLOW_REPLY_S


def test_timeouts_lengthen_the_timeout():
    """In a fleet that has become slow, requests get more time."""
    reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    for second in range(4):
        reply_time.on_timeout(second)
    longer_s = reply_time.limit_s()
    assert longer_s > 2 * MIN_LIMIT_S


class Network:
    """A runner that replies after a fixed time, until it is lost.

    Another host forwards requests to it, and then gets no reply either.
    """

    def __init__(self, clock):
        """Starts with a running runner."""
        self._clock = clock
        self.is_lost = False
        self.waited_s = []

    async def request_at(self, address, body, timeout_s):
        """Sends a request to the runner."""
        took_s = timeout_s if self.is_lost else REPLY_S
        self._clock.advance(took_s)
        self.waited_s.append(took_s)
        if self.is_lost:
            raise PeerUnavailable(detail='no reply')
        return body

    async def request(self, peer, body, timeout_s):
        """Sends a request to the runner through another host."""
        return await self.request_at(peer, body, timeout_s)

    def choose(self):
        """Returns the address of another host."""
        return 'h2:1'


@pytest.fixture
def network():
    """A network whose clock advances during requests."""
    clock = ManualClock()
    clock.advance(100)
    return Network(clock)


@pytest.fixture
def link(network):
    """The link of a host to the active runner."""
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
    """The request fails long before its latency target, so credit can be used.

    Otherwise, in the second in which the active runner was lost, nine streams
    waited 0.30 s for a token and were all late.
    """

    async def ask_until_lost():
        for _ in range(100):
            await link.request(REQUEST, TARGET_S / 2)
        network.is_lost = True
        network.waited_s.clear()
        with pytest.raises(PeerUnavailable):
            await link.request(REQUEST, TARGET_S / 2)

    curio.run(ask_until_lost)
    assert len(network.waited_s) == 2
    assert sum(network.waited_s) < TARGET_S / 2


def test_longest_timeout_without_reply_times(network, link):
    """The first request of a host after its start gets the longest timeout."""
    network.is_lost = True

    async def request():
        with pytest.raises(PeerUnavailable):
            await link.request(REQUEST, within_s=10)

    curio.run(request)
    assert network.waited_s[0] == pytest.approx(MAX_WAIT_S)


def test_host_after_its_start_keeps_the_latency_target(network, link):
    """Without reply times the timeout is still limited by the target.

    Otherwise 25 streams waited 0.30 s in the second after all hosts had been
    killed.
    """
    network.is_lost = True

    async def request():
        with pytest.raises(PeerUnavailable):
            await link.request(REQUEST, TARGET_S / 2)

    curio.run(request)
    assert sum(network.waited_s) <= TARGET_S / 2


def test_request_without_a_latency_target_is_sent(network, link):
    """A route without a latency target leaves the runner time to reply."""
    assert curio.run(link.request, REQUEST, 0) == REQUEST
    network.is_lost = True
    with pytest.raises(PeerUnavailable):
        curio.run(link.request, REQUEST, 0)
    assert min(network.waited_s[1:]) > REPLY_S


def test_requests_that_time_out_together_count_once():
    """A burst to a lost runner does not lengthen later timeouts."""
    reply_time = ReplyTime(max_limit_s=MAX_WAIT_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    reply_time.on_timeout(1)
    once_s = reply_time.limit_s()
    for _ in range(20):
        reply_time.on_timeout(1)
    assert reply_time.limit_s() == pytest.approx(once_s)
