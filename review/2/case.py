"""An outage of the store makes the results of a batch too large to store."""

import asyncio
import time
from pathlib import Path

from stage import Engine, Stage, batch_route, make_item, play

KEY = 'key-of-registry'
ITEMS = 36
ENGINES = 6
# The sheets have 0.2 to 0.3 events each 10 ms and about 60 bytes an event.
EVENT_S = 0.01
TEXT = 'آپ کی درخواست موصول ہو گئی ہے '
OUTAGE_S = 4.5
FINISH_S = 18.0


def count_events(request_id):
    """100 to 400 events: runs of 1 to 4 s."""
    return 100 + int(request_id.rpartition('-')[2]) * 300 // ITEMS


def make_text(request_id, number):
    return f'{TEXT}{number}'


async def case(record, trouble):
    stage = Stage(
        record, fronts=2, runners=2, tenants={'registry': KEY},
        routes=[batch_route('notices', cap=0)],
    )
    try:
        engines = [
            Engine(
                record, stage.store, number, slots=8, event_s=EVENT_S,
                make_text=make_text, count=count_events,
            )
            for number in range(ENGINES)
        ]
        await stage.start(engines)
        items = [
            make_item(f'5d0e77c1-{number}', '/notices/run')
            for number in range(ITEMS)
        ]
        status = await stage.submit(
            'front-1', 'notices', 'b7a10c52d6e3f894', items, key=KEY
        )
        if status != 202:
            raise RuntimeError(f'not accepted: {status}')
        await asyncio.sleep(0.5)
        if trouble:
            await stage.store.go_down()
        await asyncio.sleep(OUTAGE_S)
        if trouble:
            stage.store.come_back()
        until = time.monotonic() + FINISH_S
        rows = []
        while time.monotonic() < until and len(rows) < ITEMS:
            await asyncio.sleep(1)
            status, rows = await stage.results(
                'front-2', 'b7a10c52d6e3f894', key=KEY
            )
            record.note(f'GET results -> {status}, {len(rows)} of {ITEMS}')
        return check(record, engines, rows)
    finally:
        await stage.stop()


def check(record, engines, rows):
    broken = []
    listed = {row['id'] for row in rows}
    finished = {}
    for engine in engines:
        for moment, request_id, _ in engine.finished:
            finished[request_id] = moment
    now = time.monotonic()
    last_s = now - max(finished.values(), default=0)
    busy = sum(engine.busy for engine in engines)
    missing = ITEMS - len(listed)
    record.note(
        f'{len(finished)} items finished by engines, {len(listed)} listed; '
        f'engines run {busy} requests, the last one ended {last_s:.1f} s ago'
    )
    if missing and not busy:
        broken.append(
            f'LOST: {missing} of {ITEMS} accepted items are neither completed '
            f'nor dead letters {FINISH_S:.0f} s after the store came back'
        )
    for row in rows:
        whole = '\n'.join(
            make_text(row['id'], number)
            for number in range(1, count_events(row['id']) + 1)
        )
        if row['state'] != 'completed' or row['text'] != whole:
            broken.append(f'MIXED: {row["id"]}: {row["state"]}, not its text')
    return broken


play(Path(__file__).parent, case)
