"""An engine goes dark while it runs items of a batch."""

import asyncio
import time
from pathlib import Path

from stage import Engine, Stage, batch_route, make_item, play

KEY = 'key-of-auditor'
BATCH = '7c41e09b52d6a3f8'
ENGINES = 6
ITEMS = 36
EVENTS = 80
EVENT_S = 0.05
# Age of the last check-in as the engine goes dark; it checks in each 1.2 s.
DARK_AFTER_BEAT_S = 1.15
FINISH_S = 18.0


def make_text(request_id, number):
    return f'{request_id}.{number}'


async def case(record, trouble):
    stage = Stage(
        record, fronts=2, runners=2, tenants={'auditor': KEY},
        routes=[batch_route('audits', cap=0)],
    )
    try:
        engines = [
            Engine(
                record, stage.store, number, slots=8, event_s=EVENT_S,
                make_text=make_text, count=lambda _: EVENTS,
            )
            for number in range(ENGINES)
        ]
        await stage.start(engines)
        items = [
            make_item(f'e5b2907c-{n}', '/audits/run') for n in range(ITEMS)
        ]
        status = await stage.submit('front-1', 'audits', BATCH, items, key=KEY)
        if status != 202:
            raise RuntimeError(f'not accepted: {status}')
        await asyncio.sleep(1.5)
        if trouble:
            lost = max(engines, key=lambda engine: engine.busy)
            beat_at = lost.beat_at
            while lost.beat_at == beat_at:
                await asyncio.sleep(0.01)
            await asyncio.sleep(DARK_AFTER_BEAT_S)
            await lost.go_dark()
        until = time.monotonic() + FINISH_S + 4
        rows = []
        while time.monotonic() < until and len(rows) < ITEMS:
            await asyncio.sleep(1)
            status, rows = await stage.results('front-2', BATCH, key=KEY)
            record.note(f'GET results -> {status}, {len(rows)} of {ITEMS}')
        return check(record, engines, rows)
    finally:
        await stage.stop()


def check(record, engines, rows):
    listed = {row['id'] for row in rows}
    sound = [engine for engine in engines if not engine.dark]
    busy = sum(engine.busy for engine in sound)
    last_s = time.monotonic() - max(
        moment for engine in sound for moment, _, _ in engine.finished
    )
    record.note(
        f'{len(listed)} of {ITEMS} listed; sound engines run {busy} requests '
        f'and finished the last one {last_s:.1f} s ago'
    )
    broken = []
    if len(listed) < ITEMS and not busy and last_s > 5:
        broken.append(
            f'LOST: {ITEMS - len(listed)} of {ITEMS} accepted items are '
            f'neither completed nor dead letters, and no engine runs them'
        )
    return broken


play(Path(__file__).parent, case)
