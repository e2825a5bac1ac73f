"""A front is stopped as planned while clients hold kept channels to it."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site_3 import (  # noqa: E402
    HOST,
    TROUBLE,
    pack_request,
    read_answer,
    run_case,
)

GRACE_S = 8.0
BUDGET_S = 5.0
CLIENTS = 8
# Most requests of the route are short, some are long; all stay within the
# route's timeout and the client's time budget.
SHORT_EVENTS, LONG_EVENTS = 3, 40
EVENT_S = 0.1
# Sent from this long after the SIGTERM on, one after the other.
FIRST_AT_S = 3.1
APART_S = 0.06


class Client:
    """A client with a channel that it keeps."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.count = 0
        self.reader = None
        self.writer = None

    async def connect(self):
        ip, port = self.site.front_address('front-1').split(':')
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def ask(self, events):
        """Sends a request on the kept channel.

        :returns: its id, when it was sent and ended, and the answer.
        """
        self.count += 1
        request_id = f'c{self.number:02d}{self.count:04d}'
        headers = {
            'Host': HOST,
            'Authorization': 'Bearer key-gin',
            'Attempt-Id': request_id,
            'Model': 'm',
            'Token-Usage': f'100,{events}',
            'Deadline-Remaining': str(int(BUDGET_S * 1000)),
        }
        sent_at = time.monotonic()
        self.writer.write(
            pack_request('POST', f'/live/{events}', headers, b'question')
        )
        answer = await read_answer(self.reader)
        return request_id, sent_at, time.monotonic(), answer


async def case(site):
    async def play(engine, run, message, writer, state):
        events = int(run['target'].rpartition('/')[2])
        texts = [f'{run["id"]} {n}' for n in range(events)]
        return await engine.stream(run, writer, texts, EVENT_S)

    site.play = play
    clients = [Client(site, n) for n in range(CLIENTS)]
    for client in clients:
        await client.connect()
    for client in clients:
        await client.ask(LONG_EVENTS if client.number < 2 else SHORT_EVENTS)
    for _ in range(6):
        await asyncio.gather(*(c.ask(SHORT_EVENTS) for c in clients))
        await asyncio.sleep(0.2)
    site.record('each client has a kept channel, which is idle now')
    stopped_at = time.monotonic()
    if TROUBLE:
        site.signal('front-1', signal.SIGTERM)

    async def ask_late(client):
        await asyncio.sleep(FIRST_AT_S + client.number * APART_S)
        return await client.ask(LONG_EVENTS)

    answers = await asyncio.gather(*map(ask_late, clients))
    broken = []
    for request_id, sent_at, ended_at, answer in answers:
        runs = [r for r in site.runs if r['id'] == request_id]
        status = answer.status if answer else 'channel ended'
        sent_s, ended_s = sent_at - stopped_at, ended_at - stopped_at
        site.record(
            f'{request_id} sent {sent_s:.2f} s after the stop began, '
            f'{status} at {ended_s:.2f} s, runs {[r["ended"] for r in runs]}'
        )
        in_time = ended_at - sent_at < BUDGET_S and ended_s < GRACE_S + 1
        if answer is None and runs and in_time:
            broken.append(
                f'LOST {request_id}: passed on, ended without an answer '
                f'{ended_at - sent_at:.2f} s after it was sent'
            )
    return broken


run_case(case, Path(__file__).resolve().parent, engines=2, slots=16)
