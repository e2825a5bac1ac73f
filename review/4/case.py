"""An item whose engine sends bytes without end is never listed."""

import asyncio
import time
from pathlib import Path

import stage

KEY, TENANT = 'key-of-ansah', 'ansah'
ITEMS = 120
EVENTS = 20
FINISH_S = 18
BATCH = '4b41e09b52d6a3f8'
# One in fifty answers of each second engine, for 5.5 s.
SPOILED_SHARE = 0.02
SPOILED_FOR_S = 5.5
DRIP_S = 0.5


def make_text(item_id, number):
    return f'point {number} of {item_id}'


class Trouble:
    """Which answers are spoiled: one in fifty of those of some engines."""

    def __init__(self):
        self.until = 0.0
        self.answers = 0
        self.spoiled = 0

    def spoils(self):
        if time.monotonic() > self.until:
            return False
        self.answers += 1
        if self.spoiled + 1 > self.answers * SPOILED_SHARE:
            return False
        self.spoiled += 1
        return True


class DrippingEngine(stage.Engine):
    """After all events of a spoiled answer it sends comments without end."""

    def __init__(self, *args, trouble, **kwargs):
        super().__init__(*args, **kwargs)
        self._trouble = trouble
        self.dripping = 0

    async def finish(self, request_id, writer):
        if not self._trouble.spoils():
            await super().finish(request_id, writer)
            return
        self._record.note(
            f'engine {self.engine_id} has made all of {request_id}, and now '
            f'sends bytes that are no answer'
        )
        self.finished.append((time.monotonic(), request_id, TENANT))
        # Its slot is free: it works on nothing.
        self._slots.release()
        self.busy -= 1
        self.dripping += 1
        try:
            while not writer.is_closing():
                writer.write(b'2\r\n:\n\r\n')
                await writer.drain()
                await asyncio.sleep(DRIP_S)
        finally:
            self.dripping -= 1
            self.busy += 1
            await self._slots.acquire()
            self._record.note(f'the caller has closed {request_id}')
        raise ConnectionResetError


async def case(record, trouble):
    site = stage.Stage(
        record, fronts=2, runners=2, tenants={TENANT: KEY},
        routes=[stage.batch_route('summary', cap=1_500_000)],
    )
    spoiling = Trouble()
    engines = [
        DrippingEngine(
            record, site.store, n, slots=8, event_s=0.0185,
            make_text=make_text, count=lambda _: EVENTS, trouble=spoiling,
        ) if n % 2 else stage.Engine(
            record, site.store, n, slots=8, event_s=0.0185,
            make_text=make_text, count=lambda _: EVENTS,
        )
        for n in range(4)
    ]
    try:
        await site.start(engines)
        if trouble:
            spoiling.until = time.monotonic() + SPOILED_FOR_S
        ids = [f'{n:03x}2907c14da6f38a' for n in range(ITEMS)]
        items = [stage.make_item(one, '/summary/1') for one in ids]
        if await site.submit('front-1', 'summary', BATCH, items, key=KEY) != 202:
            raise RuntimeError('the batch was not accepted')
        # Traffic has ended; the trouble ends a few seconds later.
        until = time.monotonic() + SPOILED_FOR_S + FINISH_S + 5
        rows = []
        while time.monotonic() < until and len(rows) < ITEMS:
            await asyncio.sleep(1)
            status, rows = await site.results('front-2', BATCH, key=KEY)
        record.note(f'GET {BATCH} at front-2 -> {status}, {len(rows)} results')
        record.note(
            f'{spoiling.spoiled} of {spoiling.answers} answers of two of four '
            f'engines were spoiled'
        )
        last_end = max(at for e in engines for at, *_ in e.finished)
        record.note(
            f'engines at work: {sum(e.busy for e in engines)}; the last item '
            f'ended {time.monotonic() - last_end:.1f} s ago'
        )
        if trouble and not spoiling.spoiled:
            raise RuntimeError('no answer was spoiled')
        broken = []
        listed = {row['id'] for row in rows}
        for one in ids:
            if one not in listed:
                broken.append(
                    f'LOST: {one} is listed neither completed nor dead_letter; '
                    f'no engine works, and its engine has made all of it'
                )
        for row in rows:
            due = '\n'.join(
                make_text(row['id'], n) for n in range(1, EVENTS + 1)
            )
            if row['state'] != 'completed' or row['text'] != due:
                broken.append(f'MIXED: {row["id"]} is {row["state"]}')
        return broken
    finally:
        await site.stop()


stage.play(Path(__file__).parent, case)
