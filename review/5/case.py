"""Items of two tenants' batches displace one another and are never run."""

import asyncio
import time
from pathlib import Path

import stage

TENANTS = {'ministry': 'key-of-ministry', 'bank': 'key-of-bank'}
ITEMS = 40
FINISH_S = 18
EVENTS = 60


def make_text(item_id, number):
    return f'point {number} of {item_id}'


async def case(record, trouble):
    site = stage.Stage(
        record, fronts=2, runners=2, tenants=TENANTS,
        routes=[stage.batch_route('summary', cap=1_500_000)],
    )
    engines = [
        stage.Engine(
            record, site.store, n, slots=8, event_s=0.0185,
            make_text=make_text, count=lambda _: EVENTS,
        )
        for n in range(2)
    ]
    lots = {'ministry': '5a41e09b52d6a3f8', 'bank': '6b41e09b52d6a3f8'}
    items = [
        stage.make_item(f'panel-{n + 1}', '/summary/1') for n in range(ITEMS)
    ]
    rows = {}

    async def wait(tenant, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, rows[tenant] = await site.results(
                'front-2', lots[tenant], key=TENANTS[tenant]
            )
            if len(rows[tenant]) >= ITEMS:
                break
            await asyncio.sleep(1)
        record.note(
            f'GET {lots[tenant]} of {tenant} -> {status}, '
            f'{len(rows[tenant])} of {ITEMS} results'
        )

    try:
        await site.start(engines)
        for tenant in TENANTS:
            status = await site.submit(
                'front-1', 'summary', lots[tenant], items, key=TENANTS[tenant]
            )
            if status != 202:
                raise RuntimeError('the batch was not accepted')
            if not trouble:
                # Without the burst the batches come one after the other.
                await wait(tenant, 30)
        await asyncio.sleep(10)
        for tenant in TENANTS:
            await wait(tenant, 30)
        broken = []
        last_run = max(at for e in engines for at, *_ in e.runs)
        idle_s = time.monotonic() - last_run
        record.note(f'last run began {idle_s:.1f} s ago')
        for tenant in TENANTS:
            lacking = ITEMS - len(rows[tenant])
            if lacking and idle_s > FINISH_S:
                broken.append(
                    f'LOST: {lacking} of {ITEMS} items of {tenant} are listed '
                    f'neither completed nor dead_letter'
                )
        return broken
    finally:
        await site.stop()


stage.play(Path(__file__).parent, case)
