"""The active runner is killed while one tenant submits several batches."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site_3 import TROUBLE, make_item, make_route, run_case  # noqa: E402

CAP = 20_000
OVERSHOOT = 0.1
BATCHES = 6
ITEMS = 10
ITEM_TOKENS = 800


def find_active(site):
    found = []
    for name in site.runners:
        for line in (site.temp / f'{name}.log').read_text().splitlines():
            if '"jacinthmount:runner"' in line:
                row = json.loads(line)
                if row['active']:
                    found.append((row['timestamp'], name))
    return max(found)[1]


async def case(site):
    async def play(engine, run, message, writer, state):
        texts = [f'{run["id"]} {n}' for n in range(40)]
        return await engine.stream(run, writer, texts, 0.1)

    site.play = play
    active = find_active(site)
    if TROUBLE:
        site.signal(active, signal.SIGKILL)
    await asyncio.sleep(0.05)
    accepted = {}

    async def hand_in(number):
        lot = f'lot{number}'
        items = [
            make_item(f'{lot}-{n}', tokens=ITEM_TOKENS) for n in range(ITEMS)
        ]
        front = list(site.fronts)[number % len(site.fronts)]
        body = json.dumps({'items': items}).encode()
        answer = await site.call(
            front, 'POST', f'/lots/{lot}', body=body, Attempt_Id=lot
        )
        status = answer.status if answer else None
        site.record(f'{lot} of {ITEMS * ITEM_TOKENS} tokens at {front}: {status}')
        if status == 202:
            accepted[lot] = time.monotonic()

    await asyncio.gather(*(hand_in(n) for n in range(BATCHES)))
    last = max(accepted.values(), default=0)
    done = sum(
        1 for r in site.runs if r['ended'] == 'whole' and r['at'] < last
    )
    waiting = len(accepted) * ITEMS * ITEM_TOKENS - done * ITEM_TOKENS
    site.record(f'{waiting} tokens wait, {CAP} may; {done} items were done')
    if waiting > CAP * (1 + OVERSHOOT):
        return [f'QUOTA {waiting} tokens accepted and waiting of {CAP}']
    return []


run_case(
    case,
    Path(__file__).resolve().parent,
    fronts=3,
    runners=3,
    routes=[make_route('lots', 'batch', resumable=True, cap=CAP)],
)
