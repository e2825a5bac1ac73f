"""A small deployment on loopback for the scripts of the cases.

The programs of the deploy file run as processes. The platform's store, the
engines and the clients are stand-ins in the process of the script. They follow
PROTOCOL.md; only the standard library is needed.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, quote, unquote

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'scans.example'
SERVICE = 'provenance'
VALUE_BYTES = 1_048_576
HEARTBEAT_S = 1.2
# An entry is removed after so many check-in intervals of silence.
SILENT_BEATS = 3
ZONES = ('east', 'west', 'north')
# Below the ports that the kernel gives to outgoing connections.
OWN_PORTS = (20_000, 32_000)
REASONS = {
    200: 'OK', 202: 'Accepted', 404: 'Not Found', 409: 'Conflict', 410: 'Gone',
    413: 'Too Large', 421: 'Misdirected', 422: 'Unprocessable',
    500: 'Failed', 503: 'Unavailable',
}


_taken_ports = set()


def free_port():
    """Finds a free port that no outgoing connection gets by chance."""
    while True:
        port = random.randrange(*OWN_PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = Path(path).open('w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def note(self, text):
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


async def read_message(reader):
    """Reads one message; returns its first line, headers and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *rows = head.split('\r\n')[:-2]
    headers = {}
    for row in rows:
        name, _, text = row.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


def reset(writer):
    """Resets a channel instead of closing it."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


def pack_answer(status, body=b'', **headers):
    rows = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    rows += [f'{name.replace("_", "-")}: {text}' for name, text in headers.items()]
    rows += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(rows).encode() + body


class Server:
    """An HTTP/1.1 server; one request at a time on a channel."""

    def __init__(self):
        self.port = free_port()
        self._writers = set()
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=8_000_000
        )

    async def shut(self):
        """The process ends: its channels are reset, new ones are refused."""
        self._server.close()
        self.reset_channels()

    def reset_channels(self):
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ')
                await self.handle(method, target, headers, body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.revision = 100
        self.objects = {}
        self.events = []
        self.down = False
        self.silent = False
        self.gates = []
        self._changed = asyncio.Condition()

    async def go_down(self):
        """The store is down: it resets all channels, old and new."""
        self.down = True
        self._record.note('store: down, resets every channel')
        for server in [self, *self.gates]:
            server.reset_channels()

    def come_back(self):
        self.down = False
        self._record.note('store: back')

    async def be_silent(self, for_s):
        """No call is answered; channels with a lost answer stay dead."""
        self.silent = True
        self._record.note('store: silent')
        await asyncio.sleep(for_s)
        self.silent = False
        self._record.note('store: answers again')

    async def handle(self, method, target, headers, body, reader, writer):
        if self.down:
            raise ConnectionResetError
        if self.silent:
            await asyncio.Event().wait()
        path, _, query = target.partition('?')
        query = {name: texts[-1] for name, texts in parse_qs(query).items()}
        parts = [unquote(part) for part in path.split('/')[3:]]
        raw = json.loads(body) if body else {}
        status, answer = await self.answer(method, parts, query, raw)
        if self.down:
            raise ConnectionResetError
        if self.silent:
            await asyncio.Event().wait()
        packed = json.dumps(answer).encode()
        writer.write(
            pack_answer(status, packed, Content_Type='application/json')
        )

    async def answer(self, method, parts, query, raw):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else ''
        if method == 'GET' and not name:
            return await self._list_or_watch(kind, query)
        if method == 'GET':
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        return await self.change(method, kind, name, parts[2:], query, raw)

    async def put(self, kind, name, spec):
        """A write by the operator or by an engine."""
        raw = {'metadata': {'name': name}, 'spec': spec}
        method = 'PUT' if (kind, name) in self.objects else 'POST'
        return await self.change(
            method, kind, name if method == 'PUT' else '', [], {}, raw
        )

    async def change(self, method, kind, name, rest, query, raw):
        await asyncio.sleep(0.004)
        metadata = raw.get('metadata', {})
        name = name or metadata.get('name', '')
        found = self.objects.get((kind, name))
        expected = metadata.get('revision') or query.get('revision')
        if method == 'POST' and found is not None:
            return 409, found
        if method != 'POST' and found is None:
            return 404, {}
        if method != 'POST' and expected and (
            int(expected) != found['metadata']['revision']
        ):
            return 409, found
        if method == 'DELETE':
            self.objects.pop((kind, name))
            await self._announce(kind, found, removed=True)
            return 200, {}
        field = 'status' if rest[:1] == ['status'] else 'spec'
        content = raw.get(field)
        size = len(
            content.encode()
            if isinstance(content, str)
            else json.dumps(content, ensure_ascii=False).encode()
        )
        if size > VALUE_BYTES:
            self._record.note(
                f'store: 413 for {method} {kind}/{name}, {size} bytes of '
                f'{VALUE_BYTES}'
            )
            return 413, {}
        made = dict(found or {'spec': None, 'status': None})
        if found is not None and found[field] == content:
            return 200, found
        made[field] = content
        made['metadata'] = {
            **(found or {}).get('metadata', {'created': self.revision + 1}),
            'name': name,
            'finalizers': [],
            'deleting': False,
        }
        self.objects[kind, name] = made
        await self._announce(kind, made, removed=False)
        return 200, made

    async def _announce(self, kind, made, *, removed):
        self.revision += 1
        made['metadata'] = {**made['metadata'], 'revision': self.revision}
        self.events.append((self.revision, kind, dict(made), removed))
        async with self._changed:
            self._changed.notify_all()

    async def _list_or_watch(self, kind, query):
        if 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query.get('wait_ms', 0)) / 1000
            )
        after = query.get('after', '')
        items, size, more = [], 0, False
        for name in sorted(n for k, n in self.objects if k == kind):
            if name <= after:
                continue
            found = self.objects[kind, name]
            size += len(json.dumps(found))
            if items and (len(items) >= 500 or size > 1_000_000):
                more = True
                break
            items.append(found)
        return 200, {'items': items, 'more': more, 'as_of': self.revision}

    async def _watch(self, kind, after, wait_s):
        def news():
            return [
                {'object': made, 'removed': removed}
                for revision, k, made, removed in self.events
                if k == kind and revision > after
            ]

        until = time.monotonic() + wait_s
        async with self._changed:
            while not news() and time.monotonic() < until and not self.down:
                try:
                    await asyncio.wait_for(
                        self._changed.wait(), max(0.01, until - time.monotonic())
                    )
                except TimeoutError:
                    break
        return 200, {'events': news(), 'as_of': self.revision}


class Gate(Server):
    """The store's address for one machine, which the store may turn away.

    A machine that is turned away has its channels reset, old and new.
    """

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.turned_away = False

    def turn_away(self):
        self.turned_away = True
        self.reset_channels()

    async def handle(self, method, target, headers, body, reader, writer):
        if self.turned_away:
            raise ConnectionResetError
        await self._store.handle(method, target, headers, body, reader, writer)


class Engine(Server):
    """A model engine that streams numbered events.

    :param make_text: gives the data of an event, by request id and number.
    :param count: gives the number of events of a request, by its id.
    """

    def __init__(
        self, record, store, number, *, slots, event_s, make_text, count,
        zones=ZONES,
    ):
        super().__init__()
        self._record = record
        self._store = store
        self.engine_id = f'i-{os.urandom(4).hex()}'
        self.zone = zones[number % len(zones)]
        self._slots = asyncio.Semaphore(slots)
        self.slots = slots
        self._event_s = event_s
        self._make_text = make_text
        self._count = count
        self.busy = 0
        self.runs = []
        self.finished = []
        self._born = int(time.time() * 1000)
        self.beat_at = 0.0
        # An engine that is dark sends nothing any more, on any channel.
        self.dark = False
        self.crashed = False

    async def go_dark(self):
        """The engine is lost for good; its entry goes after three beats."""
        self.dark = True
        self._record.note(
            f'engine {self.engine_id}: dark for good, '
            f'{time.monotonic() - self.beat_at:.2f} s after its check-in'
        )
        await asyncio.sleep(
            self.beat_at + SILENT_BEATS * HEARTBEAT_S - time.monotonic()
        )
        await self._store.change('DELETE', 'servers', self.engine_id, [], {}, {})
        self._record.note(f'store: entry of {self.engine_id} removed')

    async def crash(self, for_s):
        """The engine crashes, and is back under a new id after a while."""
        self._record.note(f'engine {self.engine_id}: crashes')
        self.crashed = True
        beat_at, old_id = self.beat_at, self.engine_id
        await self.shut()
        await asyncio.sleep(
            beat_at + SILENT_BEATS * HEARTBEAT_S - time.monotonic()
        )
        await self._store.change('DELETE', 'servers', old_id, [], {}, {})
        await asyncio.sleep(max(0, for_s - SILENT_BEATS * HEARTBEAT_S))
        self.engine_id = f'i-{os.urandom(4).hex()}'
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(self.slots)
        self.busy = 0
        await self.open()
        self.crashed = False
        self._record.note(f'engine {old_id}: back as {self.engine_id}')

    async def register(self):
        sequence = 0
        while not self.dark:
            sequence += 1
            if not self.crashed:
                self.beat_at = time.monotonic()
            if not (self.crashed or self._store.down or self._store.silent):
                await self._store.put('servers', self.engine_id, {
                    'service': SERVICE,
                    'address': f'127.0.0.1:{self.port}',
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': self.slots,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'sequence': sequence,
                    'born': self._born,
                })
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, target, headers, body, reader, writer):
        if self.dark:
            await asyncio.Event().wait()
        if method == 'GET':
            writer.write(pack_answer(
                200, b'{}', Instance_Id=self.engine_id,
                Server_Load=f'{self.busy},0,{self.slots}',
            ))
            return
        request_id = headers.get('attempt-id', '')
        if headers.get('expect-instance', self.engine_id) != self.engine_id:
            writer.write(pack_answer(
                421, Attempt_Id=request_id, Not_Executed='1'
            ))
            return
        async with self._slots:
            self.busy += 1
            try:
                await self._run(request_id, target, headers, writer)
            finally:
                self.busy -= 1

    async def _run(self, request_id, target, headers, writer):
        tenant = headers.get('tenant', '')
        first = int(headers.get('last-event-id', '0')) + 1
        self.runs.append((time.monotonic(), request_id, tenant, target, first))
        self._record.note(
            f'engine {self.engine_id} runs {request_id} of {tenant} from {first}'
        )
        writer.write((
            'HTTP/1.1 200 OK\r\n'
            f'Attempt-Id: {request_id}\r\n'
            f'Server-Seal: seal.{self.engine_id}.{request_id}\r\n'
            f'Server-Load: {self.busy},0,{self.slots}\r\n'
            'Keep-Alive: timeout=10\r\n'
            'Content-Type: text/event-stream\r\n'
            f'{self.start_headers()}'
        ).encode())
        for number in range(first, self._count(request_id) + 1):
            await self.pause()
            if self.dark:
                await asyncio.Event().wait()
            if writer.is_closing():
                raise ConnectionResetError
            text = self._make_text(request_id, number)
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            writer.write(self.pack_event(event))
            await writer.drain()
        await self.finish(request_id, writer, first)
        self.finished.append((time.monotonic(), request_id, tenant))

    async def pause(self):
        """Waits until the next event is made."""
        await asyncio.sleep(self._event_s)

    def start_headers(self):
        """The framing of an answer, and the end of its head."""
        return 'Transfer-Encoding: chunked\r\n\r\n'

    def pack_event(self, event):
        return b'%x\r\n%s\r\n' % (len(event), event)

    async def finish(self, request_id, writer, first):
        """Ends the answer to a request whose events have been sent."""
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def batch_route(name, *, cap, max_attempts=3):
    return {
        'name': name, 'host': HOST, 'path_prefix': f'/{name}/',
        'kind': 'batch', 'timeout_ms': 15000, 'target_latency_ms': 400,
        'priority': 2, 'service': SERVICE, 'max_attempts': max_attempts,
        'public': False, 'resumable': True, 'sticky': True,
        'gap_target_ms': 400, 'completion_target_ms': 18000,
        'retention_s': 60, 'cap': cap,
    }


def stream_route(name, *, resumable):
    return {
        'name': name, 'host': HOST, 'path_prefix': f'/{name}/',
        'kind': 'streaming', 'timeout_ms': 5000, 'target_latency_ms': 300,
        'priority': 0, 'service': SERVICE, 'max_attempts': 2,
        'public': False, 'resumable': resumable, 'sticky': True,
        'gap_target_ms': 400,
    }


class Stage:
    """Fronts, runners, engines and the store."""

    def __init__(
        self, record, *, fronts, runners, tenants, routes, zones=ZONES
    ):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(record)
        self.engines = []
        self._procs = {}
        self._tasks = []
        self.fronts = {f'front-{n + 1}': free_port() for n in range(fronts)}
        self.runners = [f'runner-{n + 1}' for n in range(runners)]
        names = [*self.fronts, *self.runners]
        self.gates = {name: Gate(self.store) for name in names}
        self.store.gates = list(self.gates.values())
        self.ready = {name: free_port() for name in self.fronts}
        self.control = {name: free_port() for name in names}
        self._all_zones = zones
        self.metrics = {name: free_port() for name in names}
        self.zones = {
            name: zones[n % len(zones)]
            for group in (self.fronts, self.runners)
            for n, name in enumerate(group)
        }
        self.config = {
            'version': 3,
            'routes': routes,
            'services': [{
                'name': SERVICE, 'health_path': '/health',
                'max_connections': 360, 'engine': {'slots': 8},
            }],
            'limits': {
                'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
            },
            'tenants': [
                {'name': name, 'api_keys': [key], 'rate_per_s': 0, 'burst': 0}
                for name, key in tenants.items()
            ],
        }

    async def write_config(self, **changes):
        self.config = {
            **self.config, **changes, 'version': self.config['version'] + 2
        }
        await self.store.put('config', 'main', self.config)
        self.record.note(f'operator: config version {self.config["version"]}')

    async def start(self, engines):
        await self.store.open()
        for gate in self.gates.values():
            await gate.open()
        await self.write_config()
        self.engines = engines
        for engine in engines:
            await engine.open()
            self._tasks.append(asyncio.create_task(engine.register()))
        for name in self.control:
            await self.start_process(name)
        until = time.monotonic() + 25
        while not all([await self._is_ready(name) for name in self.fronts]):
            if time.monotonic() > until:
                raise RuntimeError('the fronts did not become ready')
            await asyncio.sleep(0.1)
        # Traffic starts 12 s after the machines on the sheets; 4 s suffice.
        await asyncio.sleep(4)
        self.record.note('deployment is ready')

    async def start_process(self, name):
        role = 'front' if name in self.fronts else 'batch'
        with (ROOT / 'deploy/system.toml').open('rb') as file:
            words = tomllib.load(file)['roles'][role]['run'].split(' ')
        settings = self.folder / f'{name}.toml'
        settings.write_text(self._make_settings(name, role))
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['JACINTHMOUNT_BOOT'] = str(settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{name}.log').open('ab') as log:
            self._procs[name] = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.note(f'start {name}')

    def spawn(self, coro):
        self._tasks.append(asyncio.create_task(coro))

    def turn_away(self, names):
        """The store turns some machines away and serves the others."""
        for name in names:
            self.gates[name].turn_away()
        self.record.note(f'store: turns away {", ".join(names)}')

    def serve_again(self, names):
        for name in names:
            self.gates[name].turned_away = False
        self.record.note(f'store: serves {", ".join(names)} again')

    async def kill(self, name):
        """SIGKILL to one process."""
        self._procs[name].kill()
        await self._procs[name].wait()
        self.record.note(f'SIGKILL {name}')

    def is_running(self, name):
        return self._procs[name].returncode is None

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for proc in self._procs.values():
            if proc.returncode is None:
                proc.kill()
        for proc in self._procs.values():
            await proc.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, front, method, target, *, key, body=b'', timeout_s=10, **headers):
        """One request on a new channel; returns status and body."""
        rows = [
            f'{method} {target} HTTP/1.1', f'Host: {HOST}',
            f'Authorization: Bearer {key}', f'Content-Length: {len(body)}',
            'Connection: close',
        ]
        rows += [f'{n.replace("_", "-")}: {t}' for n, t in headers.items()]
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.fronts[front], limit=8_000_000
                )
                try:
                    writer.write(('\r\n'.join(rows) + '\r\n\r\n').encode() + body)
                    first, _, answer = await read_message(reader)
                    return int(first.split(' ')[1]), answer
                finally:
                    writer.transport.abort()
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            # The channel broke, or the answer is not whole.
            return 0, b''

    async def submit(self, front, route, batch_id, items, *, key):
        body = json.dumps({'items': items}).encode()
        status, _ = await self.call(
            front, 'POST', f'/{route}/{batch_id[:6]}', key=key, body=body,
            timeout_s=5.5, Attempt_Id=batch_id,
            Content_Type='application/json',
        )
        self.record.note(
            f'POST {batch_id} at {front}: {len(items)} items, '
            f'{sum(item["tokens"] for item in items)} tokens -> {status}'
        )
        return status

    async def results(self, front, batch_id, *, key):
        """Reads all results; returns the status and the rows."""
        rows = []
        while True:
            status, body = await self.call(
                front, 'GET', f'/api/lots/{batch_id}?after={len(rows)}', key=key
            )
            if status != 200:
                return status, rows
            page = json.loads(body)
            rows.extend(page['results'])
            if not page['results'] or len(rows) >= page['total']:
                return status, rows

    async def _is_ready(self, name):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready[name]
            )
        except OSError:
            return False
        writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            first, _, _ = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.transport.abort()
        return ' 200 ' in first

    def _make_settings(self, name, role):
        serves = ['front', 'control'] if role == 'front' else ['store', 'control']
        listen = [
            f'control = "127.0.0.1:{self.control[name]}"',
            f'metrics = "127.0.0.1:{self.metrics[name]}"',
        ]
        if role == 'front':
            listen.append(f'front = "127.0.0.1:{self.fronts[name]}"')
            listen.append(f'ready = "127.0.0.1:{self.ready[name]}"')
        seeds = [f'127.0.0.1:{port}' for port in self.control.values()][:3]
        zones = '\n'.join(f'{zone} = "coast"' for zone in self._all_zones)
        return '\n'.join([
            f'node_name = "{name}"', f'role = "{role}"',
            f'machine_class = "{serves[0]}"', f'serves = {json.dumps(serves)}',
            'ip = "127.0.0.1"', f'zone = "{self.zones[name]}"',
            'region = "coast"', f'seeds = {json.dumps(seeds)}',
            'bootstrap = true', 'discovery = "platform"', 'entry = "vip"',
            'heartbeat_ms = 1200', '[zones]', zones, '[listen]', *listen,
            '[fault_tolerance]', 'machines = 1', 'zones = 1', 'regions = 0',
            '[bounds]', 'contact_ms = 3000', 'ack_ms = 4000',
            'drain_ms = 2000', 'grace_s = 8', 'config_apply_ms = 2000',
            'quota_window_s = 5', 'quota_overshoot = 0.1', 'quota_slack = 20',
            'recovery_s = 12', 'finish_s = 18', 'status_s = 120',
            'cancel_ms = 3000', 'settle_ms = 1000',
            '[platform]', f'address = "127.0.0.1:{self.gates[name].port}"',
            'form = "objects"', 'writes_per_s = 400', 'reads_per_s = 2000',
            'history_s = 20', f'value_bytes = {VALUE_BYTES}', '',
        ])


def make_item(item_id, path, *, tokens=540, output=300):
    return {
        'id': item_id, 'path': path,
        'headers': {
            'Model': 'm', 'Token-Usage': f'{tokens - output},{output}',
            'Prompt-Prefix': f'{quote(item_id)}:{tokens - output}',
        },
        'body': base64.b64encode(f'bale {item_id}'.encode()).decode(),
        'tokens': tokens,
    }


def play(folder, case, *, limit_s=110):
    """Runs a case and exits with 0, 1 or 2.

    :param case: coroutine function of the record and of whether the
        disruption comes; returns what was broken, in a list of lines.
    """
    record = Record(Path(os.environ.get('RECORD_DIR', folder)) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'disruption: {"yes" if trouble else "no"}')

    async def run():
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(run())
    except BaseException as exc:
        record.note(f'could not run: {type(exc).__name__}: {exc}')
        sys.exit(NOT_RUN)
    for line in broken:
        record.note(f'BROKEN: {line}')
    record.note('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else HELD)
