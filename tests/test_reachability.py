"""Detection of isolation from other data centres."""

import pytest
from jacinthmount.reachability import ISOLATED_S, DataCentreContacts

LATER = ISOLATED_S + 1


@pytest.fixture
def centres():
    """Contacts of a host in east with both others, at 0 s."""
    found = DataCentreContacts(own='east')
    found.on_contact('west', 0.0)
    found.on_contact('north', 0.0)
    return found


def miss(centres, *names, at_s=0.1):
    """Records requests that time out."""
    for name in names:
        centres.on_timeout(name, at_s)


def test_isolation_is_detected_once_all_others_are_unresponsive(centres):
    """It takes longer than one unanswered request."""
    miss(centres, 'west', 'north')
    assert not centres.is_isolated(ISOLATED_S / 2)
    assert centres.is_isolated(LATER)


def test_one_responsive_data_centre_is_enough(centres):
    """The other data centres may be down."""
    miss(centres, 'west')
    assert not centres.is_isolated(LATER)


def test_host_with_contact_to_peers_is_not_isolated(centres):
    """A host may be unable to reach runners but able to reach other hosts.

    Otherwise a host that could reach no runner refused batches immediately,
    though its peers could have written them.
    """
    miss(centres, 'west', 'north', at_s=LATER)
    centres.on_contact('west', LATER - 0.3)
    assert not centres.is_isolated(LATER)


def test_no_isolation_without_requests(centres):
    """Without a request no reply is missing."""
    assert not centres.is_isolated(LATER)


def test_host_without_other_data_centres_is_never_isolated():
    """There is no other data centre to lose contact with."""
    assert not DataCentreContacts(own='east').is_isolated(LATER)
