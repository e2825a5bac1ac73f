"""Admission while the owner of a bucket replies late."""

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
    """Links to an owner whose replies time out for some time."""

    def __init__(self, busy_s):
        """Starts the busy time."""
        self._busy_until = time.monotonic() + busy_s

    async def request(self, record, take, timeout_s):
        """Replies to a token request, or times out while busy."""
        if time.monotonic() < self._busy_until:
            await curio.sleep(timeout_s)
            raise PeerUnavailable(detail='no reply')
        return TakeReply(granted=True, owned=True, retry_after_s=0)


@pytest.fixture
def admit():
    """Function that admits one request while the owner is busy."""
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
    """A request is not refused if the owner is busy for less than a second.

    Beside six busy processes each reply took longer than a token is valid, and
    callers got 503 "the share of account gin is changing hosts".
    """
    admit(20 * TAKE_VALID_S)


def test_request_is_refused_where_the_owner_stays_away(admit):
    """The caller gets a retry delay within seconds instead of a long wait."""
    before = time.monotonic()
    with pytest.raises(ShareUnconfirmed):
        admit(60)
    assert time.monotonic() - before < 5
