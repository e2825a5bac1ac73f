"""Texts of batch items that hold characters which end lines elsewhere."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site_3 import TROUBLE, make_item, run_case  # noqa: E402

# None of them ends a line of `text/event-stream`: only CR, LF and CRLF do.
MARKS = {
    'line separator U+2028': '\u2028',
    'paragraph separator U+2029': '\u2029',
    'next line U+0085': '\x85',
    'form feed U+000C': '\x0c',
    'vertical tab U+000B': '\x0b',
}
EVENTS = 6


def make_texts(number):
    mark = list(MARKS.values())[number % len(MARKS)] if TROUBLE else ' '
    return [f'item {number} event {n}{mark}goes on' for n in range(EVENTS)]


async def case(site):
    async def play(engine, run, message, writer, state):
        number = int(run['id'].rpartition('-')[2])
        return await engine.stream(run, writer, make_texts(number), 0.02)

    site.play = play
    items = [make_item(f'it-{n}', output=EVENTS) for n in range(10)]
    if not await site.submit('front-1', 'batch-1', items):
        return []
    broken = []
    for result in await site.wait_results('front-2', 'batch-1', 25):
        number = int(result['id'].rpartition('-')[2])
        whole = '\n'.join(make_texts(number))
        runs = [r['ended'] for r in site.runs if r['id'] == result['id']]
        site.record(
            f'{result["id"]} {result["state"]}, runs {runs}, '
            f'engine sent {whole!r}, read {result["text"]!r}'
        )
        if result['state'] == 'completed' and result['text'] != whole:
            broken.append(f'MIXED {result["id"]}: text is not the whole output')
    await asyncio.sleep(0.2)
    return broken


run_case(case, Path(__file__).resolve().parent)
