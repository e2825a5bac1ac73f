"""Tests of the ownership and handover of buckets."""

import pytest
from jacinthmount.declarations import Account, DataCentre
from jacinthmount.members import rank_hosts
from jacinthmount.shares import (
    HANDOVER_WAIT_S,
    AccountLimit,
    HostBuckets,
    split_limits,
)

from tests.builders import make_table

ACCOUNT = 'gin'
FIRST, SECOND = rank_hosts(ACCOUNT, ['a', 'b'])


@pytest.fixture
def keepers():
    """Two hosts, of which the share table lists only the second."""
    made = {}
    for name in (FIRST, SECOND):
        made[name] = HostBuckets(host=name, incarnation='1')
        made[name].apply_limits(
            {ACCOUNT: AccountLimit(rate_per_s=1, burst=10)},
            0,
        )
    made[SECOND].on_table(make_table(SECOND), 1, 0, confirmed=True)
    return made


def test_creator_of_the_table_serves_at_once(keepers):
    """No other host can have held a bucket before the first table."""
    assert keepers[SECOND].bucket(ACCOUNT, 0) is not None


def test_bucket_fills_from_the_time_of_ownership(keepers):
    """The bucket fills from the time of ownership, not of the first use."""
    assert keepers[SECOND].bucket(ACCOUNT, 4).level(4) == pytest.approx(4)


def test_bucket_moves_with_its_level(keepers):
    """A host that joins gets its buckets from their old owner."""
    keepers[SECOND].bucket(ACCOUNT, 0)
    table = make_table(FIRST, SECOND, previous=(SECOND,), version=1)
    keepers[FIRST].on_table(table, 2, 5, confirmed=True)
    assert keepers[FIRST].bucket(ACCOUNT, 5) is None
    transfers = keepers[SECOND].on_table(table, 2, 5, confirmed=True)
    assert keepers[SECOND].bucket(ACCOUNT, 5) is None
    assert [transfer.host for transfer in transfers] == [FIRST]
    keepers[FIRST].on_handover(transfers[0].handover, 5)
    assert keepers[FIRST].bucket(ACCOUNT, 5).level(5) == pytest.approx(5)


def test_unconfirmed_host_hands_nothing_over(keepers):
    """Another host may have created its bucket since."""
    keepers[SECOND].bucket(ACCOUNT, 0)
    table = make_table(FIRST, SECOND, previous=(SECOND,), version=1)
    assert not keepers[SECOND].on_table(table, 2, 5, confirmed=False)
    assert keepers[SECOND].bucket(ACCOUNT, 5) is None


def test_lost_handover_is_replaced_after_the_wait(keepers):
    """The new owner starts empty once every host has acknowledged."""
    keepers[FIRST].on_table(
        make_table(FIRST, SECOND, previous=(SECOND,), version=1),
        2,
        0,
        confirmed=True,
    )
    assert keepers[FIRST].bucket(ACCOUNT, 100) is None
    keepers[FIRST].on_ack(SECOND, 2, 100)
    assert keepers[FIRST].bucket(ACCOUNT, 100 + HANDOVER_WAIT_S - 1) is None
    bucket = keepers[FIRST].bucket(ACCOUNT, 100 + HANDOVER_WAIT_S)
    assert bucket is not None
    assert not bucket.level(100 + HANDOVER_WAIT_S)
    assert bucket.level(101 + HANDOVER_WAIT_S) == pytest.approx(1)


def test_new_incarnation_of_a_host_is_not_listed(keepers):
    """A restarted process can't use the slot of its old incarnation."""
    restarted = HostBuckets(host=SECOND, incarnation='2')
    restarted.apply_limits(
        {ACCOUNT: AccountLimit(rate_per_s=1, burst=10)},
        0,
    )
    restarted.on_table(make_table(SECOND), 1, 0, confirmed=True)
    assert restarted.bucket(ACCOUNT, 1000) is None


def test_handover_waits_for_loans(keepers):
    """The moved bucket is not used before all loans have ended."""
    bucket = keepers[SECOND].bucket(ACCOUNT, 0)
    bucket.level(8)
    assert bucket.lend('loan', 0.5, 8)
    transfers = keepers[SECOND].on_table(
        make_table(FIRST, SECOND, previous=(SECOND,), version=1),
        2,
        9,
        confirmed=True,
    )
    wait_s = transfers[0].handover.wait_s
    assert wait_s == pytest.approx(4.5)
    keepers[FIRST].on_table(
        make_table(FIRST, SECOND, previous=(SECOND,), version=1),
        2,
        9,
        confirmed=True,
    )
    keepers[FIRST].on_handover(transfers[0].handover, 9)
    assert keepers[FIRST].bucket(ACCOUNT, 9 + wait_s - 0.1) is None
    assert keepers[FIRST].bucket(ACCOUNT, 9 + wait_s) is not None


def test_duplicate_handover_is_ignored(keepers):
    """A bucket held here is not replaced by an old copy."""
    keepers[SECOND].bucket(ACCOUNT, 0)
    table = make_table(FIRST, SECOND, previous=(SECOND,), version=1)
    keepers[FIRST].on_table(table, 2, 8, confirmed=True)
    transfers = keepers[SECOND].on_table(table, 2, 8, confirmed=True)
    keepers[FIRST].on_handover(transfers[0].handover, 8)
    assert keepers[FIRST].bucket(ACCOUNT, 8).take(5, 8)
    keepers[FIRST].on_handover(transfers[0].handover, 8)
    assert not keepers[FIRST].bucket(ACCOUNT, 8).take(5, 8)


def test_account_declared_after_a_change_is_served_at_once(keepers):
    """A settled handover lets the new owner create buckets immediately."""
    table = make_table(FIRST, SECOND, previous=(SECOND,), version=1)
    for host_buckets in keepers.values():
        host_buckets.apply_limits({}, 0)
    keepers[FIRST].on_table(table, 2, 5, confirmed=True)
    transfers = keepers[SECOND].on_table(table, 2, 5, confirmed=True)
    keepers[FIRST].on_handover(transfers[0].handover, 5)
    for host_buckets in keepers.values():
        host_buckets.apply_limits(
            {ACCOUNT: AccountLimit(rate_per_s=1, burst=9)}, 5
        )
    assert keepers[FIRST].bucket(ACCOUNT, 5) is not None
    assert keepers[SECOND].bucket(ACCOUNT, 5) is None


def test_handover_before_its_table_is_kept(keepers):
    """A handover for a newer table is kept until that table is known."""
    keepers[SECOND].bucket(ACCOUNT, 0)
    table = make_table(FIRST, SECOND, previous=(SECOND,), version=1)
    transfers = keepers[SECOND].on_table(table, 2, 5, confirmed=True)
    keepers[FIRST].on_handover(transfers[0].handover, 5)
    assert keepers[FIRST].bucket(ACCOUNT, 5) is None
    keepers[FIRST].on_table(table, 2, 6, confirmed=True)
    assert keepers[FIRST].bucket(ACCOUNT, 6) is not None


def test_handover_of_a_host_that_skipped_a_table_settles_nothing(keepers):
    """A host that skipped a table may not settle the handover for it."""
    table = make_table(FIRST, SECOND, previous=(SECOND,), version=2)
    keepers[FIRST].on_table(table, 3, 5, confirmed=True)
    transfers = keepers[SECOND].on_table(table, 3, 5, confirmed=True)
    for transfer in transfers:
        keepers[FIRST].on_handover(transfer.handover, 5)
    assert keepers[FIRST].bucket(ACCOUNT, 5) is None


@pytest.mark.parametrize(('burst', 'split_count'), [(100, 4), (10, 1)])
def test_limits_are_split_and_sum_to_the_whole(burst, split_count):
    """A small burst stays whole, since its parts would be too small."""
    data_centres = [
        DataCentre(
            name=f'dc-{number}',
            region='r',
            share=0.25,
            loads=1,
            load_rate_mib_per_s=0.0,
            write_id='',
        )
        for number in range(4)
    ]
    account = Account(
        name='gin',
        rate_per_s=8,
        burst=burst,
        weight=1,
        write_id='',
    )
    split = split_limits(account, data_centres)
    assert len(split) == split_count
    assert sum(limit.burst for limit in split.values()) == burst
    assert sum(limit.rate_per_s for limit in split.values()) == 8
