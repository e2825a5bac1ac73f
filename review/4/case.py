"""The store is silent for a moment, and the end of a batch goes unnoticed."""

import asyncio
import time
from pathlib import Path

from stage import Engine, Stage, batch_route, make_item, play

KEY = 'key-of-auditor'
ROUNDS = 10
ENGINES = 2
ITEMS = 64
EVENTS = 60
EVENT_S = 0.05
SILENT_S = 0.3
# Bounds of the rule: cancel_ms, and contact_ms after the end of the silence.
CANCEL_S = 3.0
CONTACT_S = 3.0
# No multiple of the half second at which the runner probes the store.
ROUND_S = 7.7


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
        for number in range(ROUNDS):
            broken = await play_round(stage, number, trouble)
            if broken:
                return broken
        return []
    finally:
        await stage.stop()


async def play_round(stage, number, trouble):
    batch_id = f'{number}c41e09b52d6a3f8'
    items = [
        make_item(f'{batch_id}-{n}', '/audits/run') for n in range(ITEMS)
    ]
    status = await stage.submit('front-1', 'audits', batch_id, items, key=KEY)
    if status != 202:
        raise RuntimeError(f'not accepted: {status}')
    started_at = time.monotonic()
    await asyncio.sleep(0.15)
    if trouble:
        await stage.store.be_silent(SILENT_S)
    else:
        await asyncio.sleep(SILENT_S)
    calm_at = time.monotonic() + CONTACT_S
    await asyncio.sleep(0.6)
    status, _ = await stage.call(
        'front-2', 'DELETE', f'/api/lots/{batch_id}', key=KEY
    )
    acked_at = time.monotonic()
    stage.record.note(f'DELETE {batch_id} at front-2 -> {status}')
    if status != 200:
        raise RuntimeError(f'no ack: {status}')
    await asyncio.sleep(started_at + ROUND_S - time.monotonic())
    late = [
        moment - acked_at
        for engine in stage.engines
        for moment, request_id, _, _, _ in engine.runs
        if request_id.startswith(f'{batch_id}-')
        and moment > max(acked_at + CANCEL_S, calm_at)
    ]
    stage.record.note(f'round {number}: {len(late)} items sent too late')
    if not late:
        return []
    return [
        f'UNASKED: {len(late)} items of {batch_id} reached an engine and ran '
        f'{min(late):.2f} to {max(late):.2f} s after the ack of its end'
    ]


play(Path(__file__).parent, case)
