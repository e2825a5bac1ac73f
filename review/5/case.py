"""The text of a result ends at a line separator inside an event."""

import asyncio
import time
from pathlib import Path

from stage import Engine, Stage, batch_route, make_item, play

KEY = 'key-of-auditor'
BATCH = '7c41e09b52d6a3f8'
ITEMS = 10
EVENTS = 30
# Characters that end no line of an event stream: only CR and LF do.
ODD = ('\u2028', '\u2029', '\x85', '\x0b', '\x0c', '\x1c', '\x1d', '\x1e')


def make_odd_text(request_id, number):
    return f'page {number}{ODD[number % len(ODD)]}bale {request_id}'


def make_text(request_id, number):
    return f'page {number} bale {request_id}'


async def case(record, trouble):
    text = make_odd_text if trouble else make_text
    stage = Stage(
        record, fronts=2, runners=2, tenants={'auditor': KEY},
        routes=[batch_route('audits', cap=0)],
    )
    try:
        engines = [
            Engine(
                record, stage.store, number, slots=8, event_s=0.02,
                make_text=text, count=lambda _: EVENTS,
            )
            for number in range(3)
        ]
        await stage.start(engines)
        items = [
            make_item(f'e5b2907c-{n}', '/audits/run') for n in range(ITEMS)
        ]
        status = await stage.submit('front-1', 'audits', BATCH, items, key=KEY)
        if status != 202:
            raise RuntimeError(f'not accepted: {status}')
        until = time.monotonic() + 20
        rows = []
        while time.monotonic() < until and len(rows) < ITEMS:
            await asyncio.sleep(1)
            status, rows = await stage.results('front-2', BATCH, key=KEY)
            record.note(f'GET results -> {status}, {len(rows)} of {ITEMS}')
        broken = []
        for row in rows:
            whole = '\n'.join(
                text(row['id'], number) for number in range(1, EVENTS + 1)
            )
            if row['state'] == 'completed' and row['text'] != whole:
                broken.append(
                    f'MIXED: {row["id"]} is completed with '
                    f'{len(row["text"])} of {len(whole)} characters'
                )
        record.note(f'text begins {rows[0]["text"][:60]!r}' if rows else 'none')
        return broken
    finally:
        await stage.stop()


play(Path(__file__).parent, case)
