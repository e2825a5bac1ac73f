"""A new route is not known yet to the store machine that leads."""

import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_2 import (
    FINISH_S,
    CannotRun,
    Site,
    make_items,
    make_route,
    run_case,
    with_trouble,
)

TENANT = 'gin-yards'
# One channel goes silent in each.
ROUNDS = 20
SUBMIT_S = 6.0
EVENTS = 10
ITEMS = 4


def make_site():
    # The machines of Baleward.
    site = Site(case=__file__, fronts=8, runners=3)
    site.start()
    return site


def mute_config(site, name):
    """Lets the channel of the next configuration watch go silent."""
    site.switch(site.store, mute_next=[site.path[name], 'config'])
    ends_at = time.monotonic() + 5
    while site.read_switches(site.store)['mute_next']:
        if time.monotonic() > ends_at:
            raise CannotRun('no watch call came')
        time.sleep(0.005)


def submit_early(site, route):
    """Submits one batch after the other, each once, until one is accepted.

    :returns: its id and the ids of its items.
    """
    ends_at = time.monotonic() + SUBMIT_S
    fronts = sorted(site.front)
    for number in itertools.count():
        lot = f'{route}-lot-{number}'
        names = [f'{lot}-{one}' for one in range(ITEMS)]
        status, _ = site.ask(
            fronts[number % len(fronts)], 'POST', f'/{route}/{lot}', TENANT,
            {'items': make_items(names, EVENTS, f'/{route}/')},
            Attempt_Id=lot, Content_Type='application/json',
        )
        if status == 202:
            return lot, names
        if time.monotonic() > ends_at:
            raise CannotRun('nothing was accepted on the new route')


def play_round(site, number, leader):
    if with_trouble():
        mute_config(site, leader)
    time.sleep(random.uniform(0, 0.6))
    route = f'audit-{number}'
    site.write_config(
        routes=[*site.config['routes'], make_route(route, 'batch')]
    )
    lot, names = submit_early(site, route)
    found = site.wait_done('front-2', TENANT, lot, len(names), FINISH_S)
    ran = {run['id'] for run in site.ran()}
    broken = [
        f'MIXED: {one["id"]} is a dead letter, '
        f'at an engine before: {one["id"] in ran}'
        for one in found
        if one['state'] == 'dead_letter'
    ]
    if len(found) < len(names):
        broken.append(f'LOST: {len(found)} of {len(names)} of {lot} listed')
    return broken


def play(site):
    site.submit('front-1', TENANT, 'first', make_items(['first-a'], EVENTS))
    site.wait_done('front-1', TENANT, 'first', 1, FINISH_S)
    leader = site.find_leader()
    broken = []
    for number in range(ROUNDS):
        broken.extend(play_round(site, number, leader))
        if broken:
            break
    return broken


if __name__ == '__main__':
    run_case(__file__, make_site, play)
