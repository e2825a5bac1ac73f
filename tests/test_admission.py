"""Tokens from the owner of a bucket that answers late for a while."""

import time
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.buckets import TAKE_VALID_S
from jacinthmount.errors import PeerUnavailable, ShareUnconfirmed
from jacinthmount.members import HostRecord
from jacinthmount_node.callers.admission import Admission
from jacinthmount_node.messages import TakeReply

OWNER = HostRecord(
    host='east-h1',
    data_centre='east',
    incarnation='i1',
    peer_address='127.0.0.1:1',
    admin_address='127.0.0.1:2',
    leaving=False,
    write_id='w1',
)


class BusyLinks:
    """Links to an owner that answers late for some time."""

    def __init__(self, busy_s):
        """Starts to be busy."""
        self._busy_until = time.monotonic() + busy_s

    async def request(self, record, take, timeout_s):
        """Answers a question for a token."""
        if time.monotonic() < self._busy_until:
            await curio.sleep(timeout_s)
            raise PeerUnavailable(detail='no reply')
        return TakeReply(granted=True, owned=True, retry_after_s=0)


@pytest.fixture
def admit():
    """Admits one request while the owner is busy for a time."""
    node = SimpleNamespace(
        host='east-h2',
        data_centre='east',
        now=time.monotonic,
        host_buckets=SimpleNamespace(owner=lambda account: 'east-h1'),
        members={'east-h1': OWNER},
        splits={'gin': {'east': None}},
        share_tables=[],
    )

    def run(busy_s):
        admission = Admission(node=node, links=BusyLinks(busy_s))
        curio.run(admission.admit, 'gin')

    return run


def test_request_waits_for_an_owner_on_a_busy_machine(admit):
    """It is not refused for what passes within a second.

    Seen as 503 "the share of account gin is changing hosts" beside six busy
    processes, where each answer took longer than a token is valid.
    """
    admit(20 * TAKE_VALID_S)


def test_request_is_refused_where_the_owner_stays_away(admit):
    """A caller is told when to come back, rather than kept for long."""
    before = time.monotonic()
    with pytest.raises(ShareUnconfirmed):
        admit(60)
    assert time.monotonic() - before < 5
