"""A stream that a front takes away from a silent engine ends as complete."""

import asyncio
import time
from pathlib import Path

import stage

KEY, TENANT = 'key-of-ansah', 'ansah'
ENGINES = 4
STREAMS = 16
EVENTS = 60
EVENT_S = 0.04
SILENT_S = 1.2


def make_text(request_id, number):
    return f'point {number} of {request_id}'


class UnframedEngine(stage.Engine):
    """Its answers have no length and end with their channel."""

    silent_until = 0.0

    async def _run(self, request_id, target, headers, writer):
        tenant = headers.get('tenant', '')
        first = int(headers.get('last-event-id', '0')) + 1
        self.runs.append((time.monotonic(), request_id, tenant, target, first))
        self._record.note(
            f'engine {self.engine_id} runs {request_id} from {first}'
        )
        writer.write((
            'HTTP/1.1 200 OK\r\n'
            f'Attempt-Id: {request_id}\r\n'
            f'Server-Seal: seal.{self.engine_id}.{request_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Connection: close\r\n\r\n'
        ).encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            while time.monotonic() < self.silent_until:
                await asyncio.sleep(0.01)
            if writer.is_closing():
                self._record.note(
                    f'engine {self.engine_id}: the caller of {request_id} has '
                    f'closed after event {number - 1}'
                )
                raise ConnectionResetError
            text = make_text(request_id, number)
            writer.write(f'id: {number}\ndata: {text}\n\n'.encode())
            await writer.drain()
        self.finished.append((time.monotonic(), request_id, tenant))
        self._record.note(f'engine {self.engine_id} ends {request_id}')
        writer.close()
        raise ConnectionResetError


async def read_stream(site, number, broken):
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
    shown = f'200, whole channel, {len(read)} of {EVENTS} events'
    site.record.note(
        f'stream {request_id} at {front} -> '
        f'{shown if status == 200 else status or "broken channel"}'
    )
    due = [make_text(request_id, n) for n in range(1, EVENTS + 1)]
    if status == 200 and read != due:
        broken.append(
            f'ORDER: the stream {request_id} ends as complete with '
            f'{len(read)} of {EVENTS} events'
        )
    return status


async def case(record, trouble):
    site = stage.Stage(
        record, fronts=2, runners=2, tenants={TENANT: KEY},
        routes=[stage.stream_route('check', resumable=True)],
    )
    engines = [
        UnframedEngine(
            record, site.store, n, slots=8, event_s=EVENT_S,
            make_text=make_text, count=lambda _: EVENTS,
        )
        for n in range(ENGINES)
    ]
    broken = []
    try:
        await site.start(engines)
        streams = asyncio.gather(*(
            read_stream(site, n, broken) for n in range(STREAMS)
        ))
        await asyncio.sleep(1)
        if trouble:
            silent = max(engines, key=lambda engine: engine.busy)
            record.note(
                f'engine {silent.engine_id} is silent for {SILENT_S} s, with '
                f'{silent.busy} streams'
            )
            silent.silent_until = time.monotonic() + SILENT_S
        answers = await streams
        if 200 not in answers:
            raise RuntimeError('no stream was served')
        return broken
    finally:
        await site.stop()


stage.play(Path(__file__).parent, case)
