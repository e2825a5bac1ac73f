"""An engine sends a late second copy of its 500, on the item's next run."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site_3 import TROUBLE, make_item, make_route, run_case  # noqa: E402

UNTIL_S = 75
MAX_ATTEMPTS = 2
# One engine of seven fails two fifths of its runs, its health good.
GREY_PART = 0.4
# It sends a second copy of at most so many of its answers.
COPIES_SHARE = 0.03
# Both come again and again, for so long each time.
LASTS_S, EACH_S = 5.0, 8.0
SENDERS = 6


async def case(site):
    faulty = site.engines[0]
    rng = random.Random()
    began = time.monotonic()
    counts = {'answers': 0, 'copies': 0}
    copied = set()

    async def play(engine, run, message, writer, state):
        if state.pop('copy', None):
            # Late, at the point where the next response is expected.
            writer.write(state['last'])
            await writer.drain()
            site.record(f'{engine.id} sends a second copy of its 500')
        is_faulty = (time.monotonic() - began) % EACH_S < LASTS_S
        if engine is not faulty or not is_faulty:
            return await engine.stream(run, writer, ['a', 'b', 'c'], 0.05)
        counts['answers'] += 1
        if rng.random() >= GREY_PART:
            return await engine.stream(run, writer, ['a', 'b', 'c'], 0.05)
        rows = [f'{k}: {v}' for k, v in engine.headers(run['id'])]
        head = '\r\n'.join(['HTTP/1.1 500 X', *rows, 'Content-Length: 2'])
        state['last'] = head.encode() + b'\r\n\r\nno'
        writer.write(state['last'])
        await writer.drain()
        allowed = counts['answers'] * COPIES_SHARE
        if TROUBLE and counts['copies'] + 1 <= allowed:
            counts['copies'] += 1
            copied.add(run['id'])
            state['copy'] = True
        return '500'

    site.play = play
    results = []

    async def hand_in(sender):
        n = 0
        while time.monotonic() - began < UNTIL_S:
            lot = f'lot-{sender}-{n}'
            items = [make_item(f'{lot}-{k}', output=3) for k in range(10)]
            if await site.submit('front-1', lot, items):
                results.extend(await site.wait_results('front-2', lot, 20))
            n += 1

    await asyncio.gather(*(hand_in(sender) for sender in range(SENDERS)))
    broken = []
    for one in results:
        runs = [r['ended'] for r in site.runs if r['id'] == one['id']]
        if one['id'] in copied or one['state'] != 'completed':
            site.record(f'{one["id"]} {one["state"]}, runs {runs}')
        if one['state'] == 'dead_letter' and runs.count('500') < MAX_ATTEMPTS:
            broken.append(
                f'MIXED {one["id"]}: dead_letter after {runs.count("500")} '
                f'answers of 500, {MAX_ATTEMPTS} are allowed'
            )
    site.record(f'{faulty.id}: {counts}; {len(results)} results')
    return broken


run_case(
    case,
    Path(__file__).resolve().parent,
    engines=7,
    slots=8,
    routes=[
        make_route(
            'lots', 'batch', resumable=True, max_attempts=MAX_ATTEMPTS
        )
    ],
)
