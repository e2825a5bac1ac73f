"""Versions that may have begun streams, and doubt about them."""

import pytest
from jacinthmount.stream_origins import StreamOrigin
from jacinthmount.version_history import (
    GONE_VALID_S,
    NEWS_LAG_S,
    VersionHistory,
)

from tests.relay_builders import make_entry

SERVICE = 'model-a'
OLD = StreamOrigin(
    service=SERVICE, endpoint_id='e1', started_at_ms=1, version='v1'
)


@pytest.fixture
def history():
    """A history that began at 0 s."""
    return VersionHistory(now=0.0)


def test_version_that_has_left_is_a_candidate_for_a_while(history):
    """Its streams may still be taken up."""
    history.update([make_entry('e1'), make_entry('e2', version='v2')], 1.0)
    history.update([make_entry('e2', version='v2')], 5.0)
    assert history.candidates(SERVICE, 5.0) == {'v1', 'v2'}
    assert history.is_mixed(SERVICE, 4.9 + GONE_VALID_S)
    assert history.candidates(SERVICE, 5.0 + GONE_VALID_S) == {'v2'}


def test_versions_of_services_are_separate(history):
    """One service is replaced beside another."""
    history.update(
        [make_entry('e1'), make_entry('e2', service='b', version='v2')], 1.0
    )
    assert not history.is_mixed(SERVICE, 1.0)
    assert history.all_candidates(1.0) == {SERVICE: ['v1'], 'b': ['v2']}


def test_new_process_does_not_know_what_left_before(history):
    """It does after a while, or once it was told."""
    assert not history.is_complete(GONE_VALID_S)
    history.update([make_entry('e1')], 0.5)
    assert not history.is_complete(GONE_VALID_S - 0.1)
    assert history.is_complete(GONE_VALID_S)
    history.add(SERVICE, ['v0'], 1.0)
    history.complete()
    assert history.is_complete(1.0)
    assert history.candidates(SERVICE, 1.0) == {'v0', 'v1'}


def test_stream_of_an_endpoint_that_changed_its_version_is_in_doubt(history):
    """It may have begun at the new process already."""
    history.note_registration(make_entry('e1'), 0.0)
    history.note_registration(
        make_entry('e1', version='v2', started_at_ms=9), 20.0
    )
    assert history.is_certain(OLD, 19.9 - NEWS_LAG_S)
    assert not history.is_certain(OLD, 19.0)
    assert not history.is_certain(OLD, float('inf'))
    new = StreamOrigin(
        service=SERVICE, endpoint_id='e1', started_at_ms=9, version='v2'
    )
    assert history.is_certain(new, 21.0)


def test_endpoint_that_restarts_with_its_version_raises_no_doubt(history):
    """What the two processes write fits together."""
    history.note_registration(make_entry('e1'), 0.0)
    history.note_registration(make_entry('e1', started_at_ms=9), 20.0)
    assert history.is_certain(OLD, 19.0)


def test_version_that_came_and_left_unseen_is_not_missed(history):
    """A history with a gap is as incomplete as that of a new process."""
    history.update([make_entry('e1')], 0.5)
    history.complete()
    assert not history.needs_restore(1.0)
    history.restart(2.0)
    assert history.needs_restore(2.0)
    assert not history.is_complete(2.0)
    assert history.is_complete(2.0 + GONE_VALID_S)
