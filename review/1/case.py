"""Results that wait out an outage of the store are never written."""

import asyncio
import random
import time
from pathlib import Path

import stage

KEY, TENANT = 'key-of-ansah', 'ansah'
ITEMS = 48
OUTAGE_S = 4.5
FINISH_S = 18
BATCH = '7c41e09b52d6a3f8'


def count(item_id):
    # 253 events, spread 0.25, as the sheet has it.
    return int(253 * random.Random(item_id).uniform(0.75, 1.25))


def make_text(item_id, number):
    return f'сводка заседания, пункт {number:04}'


def whole(item_id):
    return '\n'.join(
        make_text(item_id, number) for number in range(1, count(item_id) + 1)
    )


async def case(record, trouble):
    site = stage.Stage(
        record, fronts=2, runners=2, tenants={TENANT: KEY},
        routes=[stage.batch_route('summary', cap=1_500_000)],
    )
    engines = [
        stage.Engine(
            record, site.store, n, slots=8, event_s=0.0185,
            make_text=make_text, count=count,
        )
        for n in range(4)
    ]
    try:
        await site.start(engines)
        ids = [f'{n:02x}b2907c14da6f38' for n in range(ITEMS)]
        items = [stage.make_item(one, '/summary/1', tokens=650) for one in ids]
        status = await site.submit('front-1', 'summary', BATCH, items, key=KEY)
        if status != 202:
            raise RuntimeError('the batch was not accepted')
        await asyncio.sleep(3.3)
        if trouble:
            await site.store.go_down()
            await asyncio.sleep(OUTAGE_S)
            site.store.come_back()
        # All runs end; then finish_s more, in calm.
        until = time.monotonic() + 30
        while time.monotonic() < until:
            ended = {one for e in engines for _, one, _ in e.finished}
            if len(ended) == ITEMS:
                break
            await asyncio.sleep(0.2)
        record.note(f'engines have finished {len(ended)} of {ITEMS} items')
        deadline = time.monotonic() + FINISH_S
        rows = []
        while time.monotonic() < deadline and len(rows) < ITEMS:
            status, rows = await site.results('front-2', BATCH, key=KEY)
            record.note(f'GET {BATCH} at front-2 -> {status}, {len(rows)} results')
            await asyncio.sleep(1)
        last_run = max((at for e in engines for at, *_ in e.runs), default=0)
        busy = sum(e.busy for e in engines)
        record.note(
            f'last run began {time.monotonic() - last_run:.1f} s ago, '
            f'{busy} requests at engines'
        )
        broken = []
        if len(rows) < ITEMS:
            broken.append(
                f'LOST: {ITEMS - len(rows)} of {ITEMS} items of an open batch '
                f'are listed neither completed nor dead_letter {FINISH_S} s '
                f'after their runs ended; the engines are idle'
            )
        for row in rows:
            if row['state'] != 'completed' or row['text'] != whole(row['id']):
                broken.append(f'MIXED: {row["id"]} is {row["state"]}')
        return broken
    finally:
        await site.stop()


stage.play(Path(__file__).parent, case)
