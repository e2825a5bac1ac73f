"""A stream that a front takes away from a silent engine ends as complete."""

import asyncio
import time
from pathlib import Path

from stage import Engine, Stage, play, stream_route

KEY = 'key-of-ansah'
ENGINES = 4
STREAMS = 16
EVENTS = 60
EVENT_S = 0.04
SILENT_S = 1.2


def make_text(request_id, number):
    return f'point {number} of {request_id}'


class UnframedEngine(Engine):
    """An engine whose answers have no length and end with their channel."""

    silent_until = 0.0

    def start_headers(self):
        return 'Connection: close\r\n\r\n'

    def pack_event(self, event):
        return event

    async def pause(self):
        await asyncio.sleep(EVENT_S)
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.01)

    async def finish(self, request_id, writer, first):
        await writer.drain()
        writer.close()
        raise ConnectionResetError


async def read_stream(stage, number, broken):
    request_id = f'{number:02x}f2907c14da6f38'
    front = f'front-{number % 2 + 1}'
    status, body = await stage.call(
        front, 'POST', '/check/1', key=KEY, body=b'term',
        Attempt_Id=request_id, Deadline_Remaining='5000', Model='m',
        Token_Usage='350,60', Prompt_Prefix=f'aa{number:02x}:350',
    )
    read = [
        line.removeprefix('data: ')
        for line in body.decode().split('\n') if line.startswith('data: ')
    ]
    stage.record.note(
        f'stream {request_id} at {front} -> {status}, '
        f'{len(read)} of {EVENTS} events'
    )
    whole = [make_text(request_id, n) for n in range(1, EVENTS + 1)]
    if status == 200 and read != whole:
        broken.append(
            f'ORDER: the stream {request_id} ends as complete with '
            f'{len(read)} of {EVENTS} events'
        )
    return status


async def case(record, trouble):
    stage = Stage(
        record, fronts=2, runners=2, tenants={'ansah': KEY},
        routes=[stream_route('check', resumable=True)],
    )
    broken = []
    try:
        engines = [
            UnframedEngine(
                record, stage.store, number, slots=8, event_s=EVENT_S,
                make_text=make_text, count=lambda _: EVENTS,
            )
            for number in range(ENGINES)
        ]
        await stage.start(engines)
        streams = asyncio.gather(*(
            read_stream(stage, number, broken) for number in range(STREAMS)
        ))
        await asyncio.sleep(1)
        if trouble:
            silent = max(engines, key=lambda engine: engine.busy)
            record.note(
                f'engine {silent.engine_id} is silent for {SILENT_S} s, with '
                f'{silent.busy} streams'
            )
            silent.silent_until = time.monotonic() + SILENT_S
        if 200 not in await streams:
            raise RuntimeError('no stream was served')
        return broken
    finally:
        await stage.stop()


play(Path(__file__).parent, case)
