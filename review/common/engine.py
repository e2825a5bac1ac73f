"""An engine as a process of its own, so that a script can kill it.

engine.py PORT ID EVENTS EVENT_S

Its answers have no length and end with their channel.
"""

import asyncio
import sys
import time

from stage import Server, pack_answer


def make_text(item_id, number):
    return f'point {number} of {item_id}'


class UnframedEngine(Server):
    def __init__(self, port, engine_id, events, event_s):
        super().__init__()
        self.port = port
        self._id = engine_id
        self._events = events
        self._event_s = event_s

    async def handle(self, method, target, headers, body, reader, writer):
        if method == 'GET':
            writer.write(pack_answer(200, b'{}', Instance_Id=self._id))
            return
        request_id = headers.get('attempt-id', '')
        if headers.get('expect-instance', self._id) != self._id:
            writer.write(pack_answer(
                421, Attempt_Id=request_id, Not_Executed='1'
            ))
            return
        first = int(headers.get('last-event-id', '0')) + 1
        say(f'runs {request_id} from {first}')
        writer.write((
            'HTTP/1.1 200 OK\r\n'
            f'Attempt-Id: {request_id}\r\n'
            f'Server-Seal: seal.{self._id}.{request_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Connection: close\r\n\r\n'
        ).encode())
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._event_s)
            if writer.is_closing():
                raise ConnectionResetError
            text = make_text(request_id, number)
            writer.write(f'id: {number}\ndata: {text}\n\n'.encode())
            await writer.drain()
        say(f'ends {request_id}')
        writer.close()
        await writer.wait_closed()
        raise ConnectionResetError


def say(text):
    print(f'{time.time():.3f} {text}', flush=True)


async def main(words):
    port, engine_id, events, event_s = words
    engine = UnframedEngine(int(port), engine_id, int(events), float(event_s))
    await engine.open()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1:]))
