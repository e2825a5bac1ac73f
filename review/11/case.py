"""Batches of two tenants whose items bear the same ids, at the same time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site_3 import TROUBLE, make_item, run_case  # noqa: E402

ITEMS = 10
FINISH_S = 18
CALM_S = 5


async def case(site):
    async def play(engine, run, message, writer, state):
        texts = [f'{run["tenant"]} {run["id"]} {n}' for n in range(20)]
        return await engine.stream(run, writer, texts, 0.02)

    site.play = play
    items = [make_item(f'item-{n}', output=20) for n in range(ITEMS)]
    tenants = {'gin': 'key-gin', 'spin': 'key-spin'}
    results = {}

    async def hand_in(tenant, front):
        key = tenants[tenant]
        if not await site.submit(front, f'lot-{tenant}', items, key=key):
            return
        results[tenant] = await site.wait_results(
            front, f'lot-{tenant}', FINISH_S + 2 * CALM_S, key=key
        )

    if TROUBLE:
        await asyncio.gather(
            hand_in('gin', 'front-1'), hand_in('spin', 'front-2')
        )
    else:
        await hand_in('gin', 'front-1')
        await hand_in('spin', 'front-2')
    broken = []
    for tenant, found in results.items():
        listed = {one['id']: one for one in found}
        for n in range(ITEMS):
            item_id = f'item-{n}'
            runs = [
                r['ended']
                for r in site.runs
                if (r['tenant'], r['id']) == (tenant, item_id)
            ]
            one = listed.get(item_id)
            state = one['state'] if one else 'not listed'
            site.record(f'{tenant} {item_id}: {state}, runs {runs}')
            if one is None:
                broken.append(f'LOST {tenant} {item_id}: not listed')
            elif one['text'] != '\n'.join(
                f'{tenant} {item_id} {k}' for k in range(20)
            ):
                broken.append(f'MIXED {tenant} {item_id}: {one["text"]!r}')
    last = max((r['at'] for r in site.runs), default=0) - site.began
    site.record(f'the last run began at {last:.3f}; the engines are idle since')
    return broken


run_case(
    case,
    Path(__file__).resolve().parent,
    engines=1,
    slots=4,
    tenants={'gin': ['key-gin'], 'spin': ['key-spin']},
)
