"""Keys, configuration, draining and shutdown under failure."""

import json
import subprocess
import sys
import threading
import time

import curio
import pytest
from jacinthmount.errors import NotFound, StoreConflict
from jacinthmount_ctl import porcelain
from jacinthmount_standin.callers import call_http
from jacinthmount_standin.declare import write_declarations

from tests.site import Load, Site, eventually, make_lines

HOSTS = ('east-h1', 'east-h2', 'west-h1')
KEY_REFUSED_BOUND_S = 3.0
IN_FORCE_BOUND_S = 14.0
LEAVING_BOUND_S = 3.0


@pytest.fixture
def site(tmp_path):
    """Three hosts in two data centres with three engines."""
    made = Site(
        folder=tmp_path,
        data_centres={'east': 2, 'west': 1},
        engines={'engine-1': 'east', 'engine-2': 'east', 'engine-3': 'west'},
        accounts={'gin': (900, 900)},
    )
    yield made
    made.fleet.stop()


def refused_everywhere(site, key):
    """Checks whether every host refuses a key."""
    return all(
        site.get(host, '/v1/models', key).status == 401 for host in HOSTS
    )


def test_withdrawn_key_dies_in_seconds(site):
    """Every host refuses a withdrawn key, also on open connections."""
    key_id, key = site.grant('gin')
    load = Load(
        call=lambda number: site.get(HOSTS[number], '/v1/models', key),
        threads=3,
    )
    site.withdraw(key_id)
    assert (
        eventually(
            lambda: refused_everywhere(site, key),
            KEY_REFUSED_BOUND_S,
        )
        < KEY_REFUSED_BOUND_S
    )
    withdrawn_at = time.monotonic()
    time.sleep(1)
    late = [answer for answer in load.stop() if answer.asked_at > withdrawn_at]
    assert late
    assert {answer.status for answer in late} == {401}


def test_key_withdrawn_in_an_outage(site):
    """A host notifies the others, and the platform after the outage."""
    key_id, key = site.grant('gin')
    site.fleet.switch(site.fleet.platform_port, outage=True)
    site.withdraw(key_id, 'east-h2')
    eventually(lambda: refused_everywhere(site, key), KEY_REFUSED_BOUND_S)
    site.fleet.switch(site.fleet.platform_port, outage=False)

    def written():
        records = curio.run(porcelain.list_keys, site.store())
        return all(
            record.withdrawn for record in records if record.key_id == key_id
        )

    eventually(written, 20)
    site.fleet.kill('east-h1')
    site.fleet.start_host('east-h1')
    site.fleet.wait_ready('east-h1')
    assert refused_everywhere(site, key)


def test_queued_request_of_a_withdrawn_key_does_not_run(site):
    """A key is checked again when its request leaves the queue."""
    key_id, key = site.grant('gin')
    other = site.grant('gin')[1]
    blockers = Load(
        call=lambda _: site.chat('west-h1', other, 'long', max_tokens=400),
        threads=10,
    )
    eventually(
        lambda: site.stats(site.fleet.engine_port('engine-3'))['running'] == 8,
        10,
    )
    answers = []
    waiting = threading.Thread(
        target=lambda: answers.append(site.chat('west-h1', key, 'queued')),
    )
    waiting.start()
    time.sleep(0.3)
    site.withdraw(key_id)
    waiting.join()
    blockers.stop()
    assert answers[0].status == 401
    assert answers[0].error['run_state'] == 'not_run'


def test_change_is_in_force_everywhere(site):
    """An applied change reaches every host within the bound."""
    site.declared.accounts['new-yard'] = (5, 5)
    started = time.monotonic()
    version = site.apply()
    eventually(
        lambda: all(
            site.fleet.status(host)['revision'] >= version for host in HOSTS
        ),
        IN_FORCE_BOUND_S,
    )
    assert time.monotonic() - started < IN_FORCE_BOUND_S


def test_host_that_starts_in_an_outage_gets_the_newest(site):
    """A starting host loads the configuration, with deletions, from peers."""
    key = site.grant('gin')[1]
    site.declared.accounts['old-yard'] = (5, 5)
    site.apply()
    site.declared.accounts.pop('old-yard')
    version = site.apply()
    eventually(
        lambda: all(
            site.fleet.status(host)['revision'] >= version for host in HOSTS
        ),
        IN_FORCE_BOUND_S,
    )
    site.fleet.switch(site.fleet.platform_port, outage=True)
    site.fleet.kill('east-h1')
    site.fleet.start_host('east-h1')
    site.fleet.wait_ready('east-h1')
    eventually(
        lambda: site.fleet.status('east-h1')['revision'] >= version,
        10,
    )
    eventually(lambda: site.chat('east-h1', key, 'hello').status == 200, 30)
    site.fleet.switch(site.fleet.platform_port, outage=False)


def test_racing_operators_get_one_winner(site):
    """The second of two plans fails with a conflict and writes nothing."""
    folder = site.folder / 'declarations'
    site.declared.accounts['loser'] = (5, 5)
    write_declarations(folder, site.declared)
    plan = curio.run(
        porcelain.plan_changes,
        site.store(),
        porcelain.read_declarations(str(folder)),
    )
    assert len(plan.changes) == 1
    site.declared.accounts.pop('loser')
    site.declared.accounts['winner'] = (5, 5)
    site.apply()
    with pytest.raises(StoreConflict):
        curio.run(porcelain.apply_changes, site.store(), plan)
    records = curio.run(porcelain.read_objects, site.store(), 'account')
    assert {record.name for record in records} == {'gin', 'winner'}


def test_lost_answer_of_an_apply_is_settled(site):
    """Writes that took effect without a reply are not reported as failed."""
    site.declared.accounts['settled'] = (5, 5)
    site.fleet.switch(site.fleet.platform_port, lose_answers=2)
    assert site.apply()
    records = curio.run(porcelain.read_objects, site.store(), 'account')
    assert 'settled' in {record.name for record in records}


def test_leaving_endpoint_gets_no_new_work(site):
    """A drained endpoint gets no requests after the bound."""
    key = site.grant('gin')[1]
    load = Load(
        call=lambda number: site.chat(HOSTS[number % 2], key, f'{number}'),
        threads=4,
    )
    eventually(lambda: len(load.answers) > 40)
    curio.run(_drain, site.store(), 'engine-1')
    time.sleep(LEAVING_BOUND_S)
    before = site.engine_runs('engine-1')
    seen = len(load.answers)
    eventually(lambda: len(load.answers) > seen + 40)
    assert site.engine_runs('engine-1') == before
    assert {answer.status for answer in load.stop()} == {200}


async def _drain(store, endpoint):
    await porcelain.drain_endpoint(store, endpoint, leaving=True)


def test_evacuated_data_centre_gets_no_new_work(site):
    """Its hosts refuse requests as not run until it returns."""
    key = site.grant('gin')[1]
    eventually(lambda: site.chat('east-h1', key, 'before').status == 200)
    evacuate(site, 'east', evacuated=True)
    time.sleep(LEAVING_BOUND_S)
    before = [site.engine_runs(name) for name in ('engine-1', 'engine-2')]
    refused = site.chat('east-h1', key, 'during')
    assert (refused.status, refused.error['run_state']) == (503, 'not_run')
    assert site.chat('west-h1', key, 'during').status == 200
    after = [site.engine_runs(name) for name in ('engine-1', 'engine-2')]
    assert before == after
    evacuate(site, 'east', evacuated=False)
    eventually(lambda: site.chat('east-h1', key, 'after').status == 200)


def evacuate(site, data_centre, *, evacuated):
    """Declares a data centre evacuated, or removes the declaration."""
    curio.run(
        porcelain.evacuate_data_centre, site.store(), data_centre, evacuated
    )


def test_evacuation_of_an_unknown_data_centre_is_refused(site):
    """A typing error evacuates nothing."""
    with pytest.raises(NotFound):
        evacuate(site, 'eats', evacuated=True)


def test_graceful_shutdown_cuts_nothing(site):
    """Open streams complete; batch items are neither lost nor duplicated."""
    key = site.grant('gin')[1]
    batch = site.caller('west-h1', key).submit(make_lines(300), '1h', '')
    answers = []

    def stream(number):
        answers.append(
            site.chat(
                'east-h1',
                key,
                f'{number}',
                stream=True,
                max_tokens=200,
            )
        )

    threads = [
        threading.Thread(target=stream, args=(number,)) for number in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    code = site.fleet.terminate('east-h1')
    for thread in threads:
        thread.join()
    assert code == 0
    assert {answer.status for answer in answers} == {200}
    for answer in answers:
        assert answer.body.rstrip().endswith(b'data: [DONE]')
    ended = site.wait_batch('west-h1', key, batch['id'], 60)
    assert ended['request_counts']['completed'] == 300
    rows = site.results('west-h1', key, batch['id'])
    assert len({row['custom_id'] for row in rows}) == len(rows) == 300


def test_rolling_restart_fails_no_request(site):
    """A caller that avoids hosts that are not ready gets no error."""
    key = site.grant('gin')[1]
    ready = set(HOSTS)

    def call(number):
        host = sorted(ready)[number % len(ready)]
        return site.chat(host, key, f'{number}')

    load = Load(call=call, threads=4)
    for host in HOSTS:
        ready.discard(host)
        time.sleep(0.3)
        assert site.fleet.terminate(host) == 0
        site.fleet.start_host(host)
        site.fleet.wait_ready(host)
        eventually(lambda: site.fleet.status(host)['shares_confirmed'])
        ready.add(host)
        time.sleep(1)
    answers = load.stop()
    failed = [answer for answer in answers if answer.status != 200]
    assert not failed, (len(answers), failed[0].status, failed[0].body)


def test_unknown_host_is_refused_by_peers(site, tmp_path):
    """A connection without a certificate of the fleet is refused."""
    port = site.fleet.hosts['east-h1'].peer
    before = site.fleet.status('east-h1')['revision']
    with pytest.raises(Exception, match='.'):
        call_http(port, 'GET', '/')
    assert site.fleet.status('east-h1')['revision'] == before


def test_command_line_shows_and_checks(site):
    """The command line prints tables or JSON and sets exit codes."""
    words = [
        sys.executable,
        '-m',
        'jacinthmount_ctl',
        '--platform',
        f'127.0.0.1:{site.fleet.platform_port}',
        '--admin-token-file',
        str(site.fleet.token_path),
    ]

    def run(*more):
        return subprocess.run(
            [*words, *more],
            capture_output=True,
            text=True,
            check=False,
        )

    assert run('check', str(site.folder / 'declarations')).returncode == 0
    assert run('check', str(site.folder)).returncode == 2
    shown = run('--output', 'json', 'get', 'account')
    assert json.loads(shown.stdout)[0]['name'] == 'gin'
    status = run('status')
    assert all(host in status.stdout for host in HOSTS)
    reported = json.loads(run('--output', 'json', 'status').stdout)
    engines = {row['endpoint'] for row in reported['endpoints']}
    assert engines > {'engine-1', 'engine-2', 'engine-3'}
    assert {row['host'] for row in reported['hosts']} == set(HOSTS)
    assert run('diff', str(site.folder / 'declarations')).stdout == ''
    site.fleet.switch(site.fleet.platform_port, outage=True)
    assert run('get', 'account').returncode == 5
