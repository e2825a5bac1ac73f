"""Waits for answers follow from how long answers took."""

import random

import curio
import pytest
from jacinthmount.errors import PeerUnavailable, RateExceeded
from jacinthmount.fleet_config import AccountRule
from jacinthmount.held_shares import HeldShares
from jacinthmount.memory import ManualClock
from jacinthmount.reply_time import MIN_LIMIT_S, ReplyTime
from jacinthmount.stores import MemoryStore
from jacinthmount_node.relay.messages import TokenGrant
from jacinthmount_node.relay.quota import MAX_ASK_S, AccountQuota
from jacinthmount_node.relay.state import RelayState

from tests.relay_builders import make_relay_settings

ACCOUNT = AccountRule(name='gin', key_hashes=[], rate_per_s=50, burst=50)
AIM_S = 0.3
REPLY_S = 0.005


def test_before_the_first_answer_the_longest_wait_holds():
    """Nothing is known, so nothing is given up early."""
    assert ReplyTime(max_limit_s=MAX_ASK_S).limit_s() == MAX_ASK_S


def test_limit_follows_the_answers():
    """Quick answers shorten the wait, slow ones lengthen it again."""
    reply_time = ReplyTime(max_limit_s=MAX_ASK_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    assert reply_time.limit_s() == MIN_LIMIT_S
    for took_s in (0.03, 0.06, 0.03, 0.06):
        reply_time.on_reply(took_s)
    assert reply_time.limit_s() > 0.06


def test_missed_answers_lengthen_the_wait():
    """A fleet that turned slow is asked with more patience."""
    reply_time = ReplyTime(max_limit_s=MAX_ASK_S)
    for _ in range(100):
        reply_time.on_reply(REPLY_S)
    for _ in range(4):
        reply_time.on_missed()
    assert reply_time.limit_s() > 2 * MIN_LIMIT_S


class Runner:
    """A runner that answers each question after a time, until it is lost.

    A question that it does not answer goes on through another host, which
    doubles the wait.
    """

    def __init__(self, clock):
        """Starts alive."""
        self._clock = clock
        self.is_lost = False

    async def ask(self, asked, timeout_s):
        """Answers like the link to the active runner."""
        if self.is_lost:
            self._clock.advance(timeout_s * 3)
            raise PeerUnavailable(detail='no reply')
        self._clock.advance(REPLY_S)
        return TokenGrant(known=True, granted=1, wait_s=0.0, endpoint_id='')

    async def ask_any(self, asked, timeout_s):
        """Grants no credit."""
        raise PeerUnavailable(detail='no reply')


@pytest.fixture
def clock():
    """A clock that moves while somebody waits."""
    found = ManualClock()
    found.advance(100)
    return found


def test_request_is_in_time_when_the_runner_is_just_lost(clock):
    """It goes on credit, or learns of it, long before its aim.

    Seen as nine streams that waited 0.30 s for a token, and were all late, in
    the second in which the active runner was lost.
    """
    state = RelayState(
        settings=make_relay_settings(),
        store=MemoryStore(),
        clock=clock,
        rng=random.Random(1),
    )
    runner = Runner(clock)
    quota = AccountQuota(
        state=state,
        runner_link=runner,
        shares=HeldShares(now=clock.now()),
    )

    async def take_many():
        for _ in range(100):
            await quota.take(ACCOUNT, 'model-a')
            clock.advance(0.05)
        runner.is_lost = True
        clock.advance(10)
        lost_at = clock.now()
        with pytest.raises(RateExceeded):
            await quota.take(ACCOUNT, 'model-a')
        return clock.now() - lost_at

    assert curio.run(take_many) < AIM_S / 2
