"""The operator adds a batch route that is public; tenants use it with a key."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site_3 import (  # noqa: E402
    TROUBLE,
    make_item,
    make_route,
    run_case,
)

SETTLE_S = 1.0
READ_S = 10
ITEMS = 6


async def submit(site, front, lot, items):
    answer = await site.call(
        front,
        'POST',
        f'/more/{lot}',
        body=json.dumps({'items': items}).encode(),
        Attempt_Id=lot,
    )
    site.record(f'{lot} sent to {front}: {answer and answer.status}')
    return answer is not None and answer.status == 202


async def case(site):
    # A new version adds a route, well before it is used.
    site.routes = [
        *site.routes,
        make_route('more', 'batch', resumable=True, public=TROUBLE),
    ]
    await site.write_config()
    await asyncio.sleep(4)
    broken = []
    for number, front in enumerate(site.fronts):
        lot = f'lot-{number}'
        items = [
            make_item(f'{lot}-{n}', path=f'/more/run/{n}')
            for n in range(ITEMS)
        ]
        if not await submit(site, front, lot, items):
            continue
        accepted_at = time.monotonic()
        statuses = []
        total = 0
        while time.monotonic() - accepted_at < READ_S and total < ITEMS:
            await asyncio.sleep(0.5)
            for reader in site.fronts:
                sent_at = time.monotonic()
                answer = await site.call(reader, 'GET', f'/api/lots/{lot}')
                status = answer.status if answer else 0
                statuses.append(status)
                if status == 200:
                    total = answer.body.count(b'"completed"')
                if status in (404, 410) and sent_at - accepted_at > SETTLE_S:
                    broken.append(
                        f'LOST {lot}: {status} at {reader} '
                        f'{sent_at - accepted_at:.1f} s after its 202'
                    )
        site.record(f'{lot}: reads {statuses}, {total} completed')
        tenants = {r['tenant'] for r in site.runs if r['id'].startswith(lot)}
        site.record(f'{lot}: engines got Tenant {tenants}')
        if tenants - {'gin'}:
            broken.append(f'UNASKED {lot}: run with Tenant {tenants}')
    return broken


run_case(case, Path(__file__).resolve().parent)
