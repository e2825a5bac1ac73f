"""Silences of the store that are too short for any host to notice."""

import time

import curio
import pytest
from jacinthmount_ctl import porcelain
from jacinthmount_platform_standin.site import PlatformSite

from tests.site import eventually as within
from tests.test_platform_site import eventually, make_items, stream, submit

# Time after the acknowledged end of a batch from which on it holds.
END_S = 3.0
# Time for a configuration or a key to be in force.
IN_FORCE_S = 5.0
# Time that a host takes to make its next watch call after a change.
NEXT_CALL_S = 0.6


@pytest.fixture
def make_site(tmp_path):
    """Starts a site of two fronts, some runners and two engines."""
    made = []

    def make(runners):
        found = PlatformSite(folder=tmp_path, fronts=2, runners=runners)
        made.append(found)
        found.start()
        return found

    yield make
    for found in made:
        found.stop()


def test_items_run_on_after_a_silence_that_nobody_noticed(make_site):
    """The watch call on batches is lost, and its runner learns of no end.

    Guards against items that start seconds after the end of their batch.
    """
    site = make_site(1)
    site.switch(site.store, lose_watch='batches')
    assert submit(site, make_items(60, events=100)) == 202
    eventually(site.ran)
    time.sleep(NEXT_CALL_S)
    site.switch(site.store, lose_watch='')
    assert site.call('front-2', 'DELETE', '/api/lots/b1')[0] == 200
    time.sleep(END_S)
    before = len(site.ran())
    time.sleep(END_S)
    assert len(site.ran()) == before


def test_front_without_runners_keeps_an_old_configuration(make_site):
    """The watch call on the configuration is lost.

    Guards against a withdrawn key that a front accepts for long.
    """
    site = make_site(0)
    site.switch(site.store, lose_watch='config')
    site.write_config()
    time.sleep(NEXT_CALL_S)
    site.write_config(tenants=[{'name': 'gin-yards', 'api_keys': ['other']}])
    site.switch(site.store, lose_watch='')
    for front in site.fronts:
        eventually(lambda at=front: stream(site, at)[0] == 401, IN_FORCE_S)


def test_host_keeps_old_keys_after_a_silence(one_host_site):
    """The watch call of a host is lost.

    Guards against a new key that a host refuses for long.
    """
    fleet = one_host_site.fleet
    fleet.switch(fleet.platform_port, lose_watches=True)
    one_host_site.grant('gin')
    time.sleep(NEXT_CALL_S)
    _, key = curio.run(porcelain.grant_key, one_host_site.store(), 'gin')
    fleet.switch(fleet.platform_port, lose_watches=False)
    within(
        lambda: one_host_site.get('east-h1', '/v1/models', key).status == 200,
        IN_FORCE_S,
    )
