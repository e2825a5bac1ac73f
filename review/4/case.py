"""A text that a crash cut off is listed as a completed result."""

import asyncio
import os
import sys
import time
from pathlib import Path

import stage
from engine import make_text

KEY, TENANT = 'key-of-ansah', 'ansah'
ENGINES = 6
ITEMS = 12
STREAMS = 12
EVENTS = 60
EVENT_S = 0.05
BATCH = '9e41e09b52d6a3f8'
PROGRAM = Path(stage.__file__).with_name('engine.py')


class EngineProcess:
    def __init__(self, record, store, number):
        self.record = record
        self.store = store
        self.engine_id = f'i-{os.urandom(4).hex()}'
        self.port = stage.free_port()
        self.zone = stage.ZONES[number % 3]
        self.lines = []
        self.alive = True

    async def open(self):
        self.proc = await asyncio.create_subprocess_exec(
            sys.executable, str(PROGRAM), str(self.port), self.engine_id,
            str(EVENTS), str(EVENT_S), stdout=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.create_task(self._read())

    async def register(self):
        sequence = 0
        while self.alive:
            sequence += 1
            await self.store.put('servers', self.engine_id, {
                'service': stage.SERVICE,
                'address': f'127.0.0.1:{self.port}', 'zone': self.zone,
                'version': 'v1', 'slots': 8, 'state': 'ready',
                'cold_left_ms': 0, 'sequence': sequence, 'born': 1,
            })
            await asyncio.sleep(1.2)
        # Three check-in intervals of silence.
        await asyncio.sleep(2.4)
        await self.store.change(
            'DELETE', 'servers', self.engine_id, [], {}, {}
        )

    def crash(self):
        self.proc.kill()
        self.alive = False
        self.record.note(f'SIGKILL engine {self.engine_id}')

    async def stop(self):
        if self.proc.returncode is None:
            self.proc.kill()
        await self.proc.wait()

    async def _read(self):
        async for line in self.proc.stdout:
            text = line.decode().strip()
            self.lines.append(text)
            self.record.note(f'engine {self.engine_id}: {text}')


async def read_stream(site, number, broken):
    """Reads a live stream; a broken channel is no fault here."""
    request_id = f'{number:02x}f2907c14da6f38'
    front = f'front-{number % 2 + 1}'
    status, body = await site.call(
        front, 'POST', '/check/1', key=KEY, body=b'term',
        Attempt_Id=request_id, Deadline_Remaining='5000', Model='m',
        Token_Usage='350,60', Prompt_Prefix=f'aa{number:02x}:350',
    )
    read = [
        line.removeprefix('data: ')
        for line in body.decode().split('\n') if line.startswith('data: ')
    ]
    site.record.note(f'stream {request_id} at {front} -> {status}, {len(read)} events')
    due = [make_text(request_id, n) for n in range(1, EVENTS + 1)]
    if status == 200 and read != due:
        broken.append(
            f'ORDER: the stream {request_id} ends as complete with '
            f'{len(read)} of {EVENTS} events'
        )


async def case(record, trouble):
    site = stage.Stage(
        record, fronts=2, runners=2, tenants={TENANT: KEY},
        routes=[
            stage.batch_route('summary', cap=1_500_000),
            stage.stream_route('check', resumable=True),
        ],
    )
    engines = [EngineProcess(record, site.store, n) for n in range(ENGINES)]
    broken = []
    try:
        await site.start(engines)
        ids = [f'{n:02x}d2907c14da6f38' for n in range(ITEMS)]
        items = [stage.make_item(one, '/summary/1') for one in ids]
        if await site.submit('front-1', 'summary', BATCH, items, key=KEY) != 202:
            raise RuntimeError('the batch was not accepted')
        streams = asyncio.gather(*(
            read_stream(site, n, broken) for n in range(STREAMS)
        ))
        await asyncio.sleep(1.5)
        if trouble:
            # One engine of six, a share of 0.17.
            max(engines, key=lambda one: len(one.lines)).crash()
        rows = []
        until = time.monotonic() + 40
        while time.monotonic() < until and len(rows) < ITEMS:
            await asyncio.sleep(0.5)
            _, rows = await site.results('front-2', BATCH, key=KEY)
        if len(rows) < ITEMS:
            raise RuntimeError('the batch did not complete')
        await streams
        for row in rows:
            due = [make_text(row['id'], n) for n in range(1, EVENTS + 1)]
            read = row['text'].split('\n') if row['text'] else []
            record.note(f'{row["id"]} {row["state"]}, {len(read)} of {EVENTS} events')
            if read != due:
                broken.append(
                    f'MIXED: {row["id"]} is {row["state"]} with {len(read)} '
                    f'of {EVENTS} events'
                )
        return broken
    finally:
        for engine in engines:
            await engine.stop()
        await site.stop()


stage.play(Path(__file__).parent, case)
