"""Tests of the load tool against a running fleet."""

import json

import pytest
from jacinthmount_standin.load_tool import LoadOptions, run_load_tool

from tests.site import MODEL, Site

PNG_SIGNATURE = b'\x89PNG'


@pytest.fixture
def site(tmp_path):
    """A site with one host, one engine and two accounts."""
    new_site = Site(
        folder=tmp_path / 'site',
        data_centres={'east': 1},
        engines={'engine-1': 'east'},
        accounts={'gin': (500, 500), 'mill': (2, 2)},
    )
    yield new_site
    new_site.fleet.stop()


def test_accounts_and_batch_are_measured(site, tmp_path):
    """The tool reports figures for each account and batch, and a PNG plot."""
    keys = [site.grant(account)[1] for account in ('gin', 'mill')]
    options = LoadOptions(
        fronts=[f'127.0.0.1:{site.fleet.hosts["east-h1"].front}'],
        keys=keys,
        model=MODEL,
        rate_per_s=40,
        seconds=3,
        tokens=4,
        batch_lines=20,
        seed=7,
    )
    figures = run_load_tool(options, tmp_path / 'out')
    first, second = figures['account 0'], figures['account 1']
    assert first['status_200'] == first['requests']
    assert first['requests'] > 30
    assert second['status_429'] > second['status_200']
    assert second['refused_p50_ms'] > 0
    assert figures['batch']['total'] == 20
    written = json.loads((tmp_path / 'out' / 'load.json').read_text())
    assert written == figures
    assert (tmp_path / 'out' / 'load.png').read_bytes()[:4] == PNG_SIGNATURE
