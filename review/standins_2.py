"""Stand-ins of the platform's store and of an engine, for the cases 6 to 10.

They use the standard library only and keep to PROTOCOL.md:

    standins_2.py store PORT...
    standins_2.py engine ADDRESS ID SERVICE SLOTS STORE_PORT EVENT_MS VERSION

The store listens on several ports, one for each machine and one for the
operator, so that a case can make it fail for one machine only. Both take
``POST /standin`` with a JSON object of switches, and an engine answers
``GET /standin`` with what it ran.
"""

import asyncio
import json
import sys
import time
import urllib.parse

REASONS = {200: 'OK', 409: 'Conflict', 404: 'Not Found', 410: 'Gone'}
HEARTBEAT_S = 1.2
PAGE_ITEMS = 500
VALUE_BYTES = 1_048_576


async def read_request(reader):
    """Reads one request: method, target, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return method, target, headers, body


def make_head(status, rows):
    """Makes the head of an answer."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines.extend(f'{name}: {text}' for name, text in rows)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class Server:
    """Answers requests on kept connections."""

    def __init__(self):
        self.switches = {}

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def send_json(self, writer, status, answer, rows=()):
        """Sends a complete JSON answer."""
        body = json.dumps(answer).encode()
        head = make_head(
            status,
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                *rows,
            ],
        )
        writer.write(head + body)
        await writer.drain()
        return True


class Store(Server):
    """The platform's store: objects by kind and name, and one revision.

    Switches, each by the number of the port on which the calls arrive:
    ``refuse`` answers 503, ``silence`` gives no answer, ``slow_s`` delays all.
    ``mute_next`` has a port and a kind: the channel of the next watch call
    there goes silent for good, and new channels work.
    """

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Condition()
        self.beats = {}
        # Which port wrote last to a kind.
        self.writers = {}
        self.switches = {
            'refuse': [],
            'silence': [],
            'slow_s': 0.0,
            'mute_next': [],
        }

    async def expire(self):
        """Removes engines after three check-in intervals of silence."""
        while True:
            await asyncio.sleep(0.2)
            for name, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    self.beats.pop(name)
                    if ('servers', name) in self.objects:
                        await self.save('servers', name, {}, removed=True)

    async def answer(self, request, reader, writer):
        method, target, _, body = request
        path, _, raw_query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(raw_query))
        if path == '/standin':
            self.switches.update(json.loads(body or b'{}'))
            answer = {**self.switches, 'writers': self.writers}
            return await self.send_json(writer, 200, answer)
        port = writer.get_extra_info('sockname')[1]
        if port in self.switches['silence']:
            await asyncio.sleep(600)
        if port in self.switches['refuse']:
            return await self.send_json(writer, 503, {})
        await asyncio.sleep(self.switches['slow_s'] or 0.004)
        words = [urllib.parse.unquote(one) for one in path.split('/')[3:]]
        if 'watch' in query and self.switches['mute_next'] == [port, words[0]]:
            self.switches['mute_next'] = []
            await asyncio.sleep(600)
        if method == 'GET':
            status, answer = await self.read(words, query)
        else:
            spec = json.loads(body) if body else {}
            status, answer = await self.change(method, words, query, spec)
            if status == 200:
                self.writers[words[0]] = port
        return await self.send_json(writer, status, answer)

    async def read(self, words, query):
        if len(words) > 1:
            found = self.objects.get((words[0], words[1]))
            return (200, found) if found else (404, {})
        if 'watch' in query:
            return await self.watch(words[0], query)
        names = sorted(
            name
            for kind, name in self.objects
            if kind == words[0] and name > query.get('after', '')
        )
        items = [self.objects[words[0], name] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return 200, {'items': items, 'more': more, 'as_of': self.revision}

    async def watch(self, kind, query):
        after = int(query['watch'])
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            found = [
                {'object': row, 'removed': removed}
                for revision, each, removed, row in self.events
                if each == kind and revision > after
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'as_of': self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left_s)
            except (TimeoutError, asyncio.TimeoutError):
                continue

    async def change(self, method, words, query, body):
        kind = words[0]
        metadata = body.get('metadata', {})
        name = words[1] if len(words) > 1 else metadata['name']
        found = self.objects.get((kind, name))
        expected = metadata.get('revision') or query.get('revision')
        if len(json.dumps(body, ensure_ascii=False).encode()) > VALUE_BYTES:
            return 413, {}
        if kind == 'servers':
            self.beats[name] = time.monotonic()
        if method == 'POST':
            if found is not None:
                return 409, found
            return 200, await self.save(kind, name, {'spec': body.get('spec')})
        if found is None:
            return 404, {}
        if expected and int(expected) != found['metadata']['revision']:
            return 409, found
        if method == 'DELETE':
            self.beats.pop(name, None)
            await self.save(kind, name, {}, removed=True)
            return 200, {}
        part = 'status' if words[2:] == ['status'] else 'spec'
        if found.get(part) == body.get(part):
            return 200, found
        return 200, await self.save(kind, name, {part: body.get(part)})

    async def save(self, kind, name, changes, removed=False):
        self.revision += 1
        row = {'spec': None, 'status': None}
        row.update(self.objects.get((kind, name), {}))
        row.update(changes)
        row['metadata'] = {
            'name': name,
            'revision': self.revision,
            'created': int(time.time() * 1000),
            'finalizers': [],
            'deleting': False,
        }
        if removed:
            self.objects.pop((kind, name))
        else:
            self.objects[kind, name] = row
        self.events.append((self.revision, kind, removed, row))
        async with self.changed:
            self.changed.notify_all()
        return row


class Engine(Server):
    """A model engine: numbered events, ``slots`` requests at once.

    Switches: ``data`` has the texts of the events, which a request repeats
    until its number of output tokens is reached. Without ``framed`` an answer
    has no length and ends with its channel. Without ``listed`` the engine has
    taken its entry back and serves on.
    """

    def __init__(
        self, address, engine_id, service, slots, store, event_ms, version
    ):
        super().__init__()
        self.engine_id = engine_id
        self.slots = slots
        self.store = store
        self.running = 0
        self.ran = []
        self.switches = {
            'data': ['event {n} of {id}'],
            'event_ms': event_ms,
            'first_ms': 20,
            'framed': True,
            'listed': True,
        }
        self.entry = {
            'service': service,
            'address': address,
            'zone': 'zone-a',
            'version': version,
            'slots': slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 0,
            'born': int(time.time() * 1000),
        }

    async def register(self):
        """Checks in at the store."""
        path = f'/api/objects/servers/{self.engine_id}'
        while self.switches['listed']:
            self.entry['sequence'] += 1
            body = {'metadata': {'name': self.engine_id}, 'spec': self.entry}
            status = await self.call_store('PUT', path, body)
            if status == 404:
                await self.call_store('POST', '/api/objects/servers', body)
            await self.pause()
        await self.call_store('DELETE', path, {})
        # It serves until it is ended.
        await asyncio.Event().wait()

    async def pause(self):
        """Waits until the next check-in, or until it leaves."""
        ends_at = time.monotonic() + HEARTBEAT_S
        while self.switches['listed'] and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)

    async def call_store(self, method, path, body):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.store)
        packed = json.dumps(body).encode()
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: store\r\n'
            f'Content-Length: {len(packed)}\r\n\r\n'.encode() + packed
        )
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    async def answer(self, request, reader, writer):
        method, target, headers, body = request
        if target == '/standin':
            if method == 'POST':
                self.switches.update(json.loads(body))
            return await self.send_json(writer, 200, {'ran': self.ran})
        rows = [('Attempt-Id', headers.get('attempt-id', ''))]
        if headers.get('expect-instance', self.engine_id) != self.engine_id:
            return await self.send_json(writer, 421, {}, rows)
        if self.running >= self.slots:
            rows.append(('Not-Executed', '1'))
            return await self.send_json(writer, 503, {}, rows)
        self.running += 1
        try:
            return await self.run(target, headers, body, writer, rows)
        finally:
            self.running -= 1

    async def run(self, target, headers, body, writer, rows):
        run = {
            'engine': self.engine_id,
            'id': headers.get('attempt-id', ''),
            'path': target,
            'tenant': headers.get('tenant', ''),
            'after': headers.get('last-event-id', ''),
            'sent': 0,
            'whole': False,
            'at': time.time(),
        }
        self.ran.append(run)
        framed = self.switches['framed']
        framing = ('Transfer-Encoding', 'chunked')
        if not framed:
            framing = ('Connection', 'close')
        first = int(headers.get('last-event-id') or 0) + 1
        last = int(headers.get('token-usage', '0,5').split(',')[1])
        writer.write(
            make_head(
                200,
                [
                    *rows,
                    ('Content-Type', 'text/event-stream'),
                    framing,
                    ('Server-Seal', f'seal.{self.engine_id}'),
                    ('Server-Load', f'{self.running},0,{self.slots}'),
                    ('Weight-Versions', '1'),
                    ('Keep-Alive', 'timeout=5'),
                ],
            )
        )
        await asyncio.sleep(self.switches['first_ms'] / 1000)
        for number in range(first, last + 1):
            text = make_text(
                self.switches['data'], run['id'], number, self.entry['version']
            )
            packed = f'id: {number}\ndata: {text}\n\n'.encode()
            if framed:
                packed = b'%x\r\n%s\r\n' % (len(packed), packed)
            writer.write(packed)
            await writer.drain()
            run['sent'] = number
            await asyncio.sleep(self.switches['event_ms'] / 1000)
        if framed:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        run['whole'] = True
        return framed


def make_text(data, request_id, number, version='v1'):
    """Makes the data of an event, the same at each engine of a version."""
    text = data[(number - 1) % len(data)]
    text = text.replace('{n}', str(number)).replace('{id}', request_id)
    return text.replace('{version}', version)


async def run_store(ports):
    store = Store()
    for port in ports:
        await asyncio.start_server(store.serve, '127.0.0.1', port, limit=2**23)
    await store.expire()


async def run_engine(address, *words):
    engine = Engine(address, *words)
    ip, _, port = address.rpartition(':')
    await asyncio.start_server(engine.serve, ip, int(port), limit=2**23)
    await engine.register()


def main(words):
    if words[0] == 'store':
        asyncio.run(run_store([int(word) for word in words[1:]]))
    address, engine_id, service, slots, store, event_ms, version = words[1:]
    asyncio.run(
        run_engine(
            address,
            engine_id,
            service,
            int(slots),
            int(store),
            float(event_ms),
            version,
        )
    )


if __name__ == '__main__':
    main(sys.argv[1:])
