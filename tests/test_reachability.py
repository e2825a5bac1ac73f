"""What is heard from other data centres."""

import pytest
from jacinthmount.reachability import ISOLATED_S, DataCentreContacts

LATER = ISOLATED_S + 1


@pytest.fixture
def centres():
    """Seen from east, after both others were heard at 0 s."""
    found = DataCentreContacts(own='east')
    found.on_contact('west', 0.0)
    found.on_contact('north', 0.0)
    return found


def miss(centres, *names, at_s=0.1):
    """Lets questions go without an answer."""
    for name in names:
        centres.on_timeout(name, at_s)


def test_cut_is_noticed_once_all_others_are_silent(centres):
    """After more than one question that nobody answers."""
    miss(centres, 'west', 'north')
    assert not centres.is_isolated(ISOLATED_S / 2)
    assert centres.is_isolated(LATER)


def test_one_data_centre_in_touch_is_enough(centres):
    """The others may be down themselves."""
    miss(centres, 'west')
    assert not centres.is_isolated(LATER)


def test_host_that_hears_peers_is_not_isolated(centres):
    """Runners may be out of reach of one host while other hosts are not.

    Seen as a host cut off from all runners that refused batches at once,
    though its peers would have written them.
    """
    miss(centres, 'west', 'north', at_s=LATER)
    centres.on_contact('west', LATER - 0.3)
    assert not centres.is_isolated(LATER)


def test_silence_without_a_question_means_nothing(centres):
    """Nobody was asked, so nobody owes an answer."""
    assert not centres.is_isolated(LATER)


def test_host_without_other_data_centres_is_never_isolated():
    """There is nowhere else to send callers to."""
    assert not DataCentreContacts(own='east').is_isolated(LATER)
