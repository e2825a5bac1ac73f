"""Engines of one zone crash, and a sound prompt part is blocked for good."""

import asyncio
import time
from pathlib import Path

from stage import Engine, Stage, batch_route, make_item, play

KEY = 'key-of-auditor'
FIRST, SECOND = '7c41e09b52d6a3f8', '8d52f1ac63e7b409'
# The engines are spread evenly over the zones. Those of one zone, 3 of 18, are
# within the 0.17 of a service that the site file lets crash at once.
ZONES = ('z1', 'z2', 'z3', 'z4', 'z5', 'z6')
ENGINES = 18
CRASH_SHARE = 0.17
ITEMS = 160
LATER_ITEMS = 10
EVENTS = 30
EVENT_S = 0.03
# An engine reads 61.8 tokens in a ms: 8 prompts of 15,400 tokens take 2 s.
PROMPT_TOKENS = 15_400
PREFILL_S = 2.0
CRASH_AFTER_S = 0.6
DOWN_S = 4.5
FINISH_S = 18.0


def make_text(request_id, number):
    return f'{request_id}.{number}'


class ReadingEngine(Engine):
    """An engine that reads the prompt before its first event."""

    async def _run(self, request_id, target, headers, writer):
        if 'last-event-id' not in headers:
            self.begun.append((time.monotonic(), request_id))
            await asyncio.sleep(PREFILL_S)
            if writer.is_closing():
                raise ConnectionResetError
        await super()._run(request_id, target, headers, writer)


def make_items(batch_id, count):
    items = [
        make_item(
            f'{batch_id[:8]}-{number}', '/audits/run',
            tokens=PROMPT_TOKENS + 300, output=300,
        )
        for number in range(count)
    ]
    for number, item in enumerate(items):
        # The items share the first part of their prompts, the instructions.
        item['headers']['Prompt-Prefix'] = (
            f'9c2e41:100,{batch_id[:4]}{number:04x}:{PROMPT_TOKENS - 100}'
        )
    return items


async def case(record, trouble):
    stage = Stage(
        record, fronts=2, runners=2, tenants={'auditor': KEY},
        routes=[batch_route('audits', cap=0)], zones=ZONES,
    )
    try:
        engines = [
            ReadingEngine(
                record, stage.store, number, slots=8, event_s=EVENT_S,
                make_text=make_text, count=lambda _: EVENTS, zones=ZONES,
            )
            for number in range(ENGINES)
        ]
        for engine in engines:
            engine.begun = []
        await stage.start(engines)
        await submit(stage, FIRST, ITEMS)
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble:
            hit = [engine for engine in engines if engine.zone == ZONES[1]]
            assert len(hit) <= CRASH_SHARE * ENGINES
            record.note(f'the engines of {ZONES[1]} crash')
            for engine in hit:
                stage.spawn(engine.crash(DOWN_S))
        await asyncio.sleep(DOWN_S + 5)
        await submit(stage, SECOND, LATER_ITEMS)
        until = time.monotonic() + FINISH_S
        listed = {FIRST: 0, SECOND: 0}
        while time.monotonic() < until and (
            sum(listed.values()) < ITEMS + LATER_ITEMS
        ):
            await asyncio.sleep(1)
            for batch_id in listed:
                status, rows = await stage.results('front-2', batch_id, key=KEY)
                listed[batch_id] = len(rows)
            record.note(f'listed: {listed}')
        return check(record, engines, listed)
    finally:
        await stage.stop()


async def submit(stage, batch_id, count):
    status = await stage.submit(
        'front-1', 'audits', batch_id, make_items(batch_id, count), key=KEY
    )
    if status != 202:
        raise RuntimeError(f'not accepted: {status}')


def check(record, engines, listed):
    begun = [entry for engine in engines for entry in engine.begun]
    idle_s = time.monotonic() - max(moment for moment, _ in begun)
    busy = sum(engine.busy for engine in engines)
    record.note(
        f'engines run {busy} requests; the last one began {idle_s:.1f} s ago'
    )
    if busy or idle_s < 5:
        return []
    broken = []
    for batch_id, count in ((FIRST, ITEMS), (SECOND, LATER_ITEMS)):
        missing = count - listed[batch_id]
        if missing:
            broken.append(
                f'LOST: {missing} of {count} accepted items of {batch_id} are '
                'neither completed nor dead letters, and no engine has them'
            )
    return broken


play(Path(__file__).parent, case)
