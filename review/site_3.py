"""A small deployment on loopback for the cases 11 to 15.

The project's programs run as separate processes, started with the commands of
the deploy file. The platform's store, the engines and the clients are small
stand-ins in the process of the case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
OK, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 25.0
# As on the sheets.
STORE_ANSWER_S = 0.004
HOST = 'booth.example'
SERVICE = 'assist'


class CaseNotRun(Exception):
    """The deployment did not start, or the disruption could not be made."""


class Message:
    """Head and body of an HTTP request or response."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(' ')[1])


async def read_head(reader):
    """Reads a head, or returns None at the end of the connection."""
    try:
        packed = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = packed.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for row in rows:
        name, _, text = row.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first, headers)


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        yield piece[:-2]


async def read_body(reader, message):
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        return b''.join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(
        int(message.headers.get('content-length', 0))
    )


def pack_response(status, headers, body=b''):
    rows = [f'HTTP/1.1 {status} X', *(f'{k}: {v}' for k, v in headers)]
    rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(rows).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store: objects by kind and name, one revision counter."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self._serve, ip, port)

    async def put(self, kind, name, spec):
        """Writes an object for the operator or an engine."""
        found = self.objects.get((kind, name), {})
        await self._save(kind, name, {**found, 'spec': spec}, False)

    async def _save(self, kind, name, row, removed):
        self.revision += 1
        row = {
            'spec': row.get('spec'),
            'status': row.get('status'),
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': 1,
                'finalizers': [],
                'deleting': False,
            },
        }
        if removed:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = row
        self.events.append((self.revision, kind, removed, row))
        async with self.changed:
            self.changed.notify_all()
        return row

    async def _serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                status, answer = await self._answer(message)
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(
                    pack_response(
                        status,
                        [('Content-Type', 'application/json')],
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, message):
        method, target, _ = message.first.split(' ')
        path, _, query = target.partition('?')
        asked = {k: v[-1] for k, v in parse_qs(query).items()}
        words = [unquote(w) for w in path.split('/')[3:]]
        if not path.startswith('/api/objects/') or not words:
            return 404, {}
        kind, name = words[0], words[1] if len(words) > 1 else ''
        if method == 'GET' and not name:
            if 'watch' in asked:
                return await self._watch(kind, asked)
            return self._list(kind, asked.get('after', ''))
        if method == 'GET':
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        body = json.loads(message.body) if message.body else {}
        return await self._change(method, kind, words, body, asked)

    def _list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        return 200, {
            'items': [self.objects[kind, n] for n in names[:500]],
            'more': len(names) > 500,
            'as_of': self.revision,
        }

    async def _watch(self, kind, asked):
        after = int(asked['watch'])

        def find():
            return [
                {'object': row, 'removed': removed}
                for revision, k, removed, row in self.events
                if k == kind and revision > after
            ]

        try:
            async with asyncio.timeout(int(asked.get('wait_ms', 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(find)
        except TimeoutError:
            pass
        return 200, {'events': find(), 'as_of': self.revision}

    async def _change(self, method, kind, words, body, asked):
        metadata = body.get('metadata') or {}
        name = words[1] if len(words) > 1 else metadata['name']
        found = self.objects.get((kind, name))
        expected = metadata.get('revision') or asked.get('revision')
        if method == 'POST':
            if found:
                return 409, found
            return 200, await self._save(kind, name, body, False)
        if not found:
            return 404, {}
        if expected and int(expected) != found['metadata']['revision']:
            return 409, found
        if method == 'DELETE':
            return 200, await self._save(kind, name, found, True)
        part = 'status' if words[2:] == ['status'] else 'spec'
        changed = {**found, part: body.get(part)}
        return 200, await self._save(kind, name, changed, False)


class Engine:
    """An engine; ``play`` answers the requests that it runs."""

    def __init__(self, site, number, *, slots, queue=16):
        self.site = site
        self.id = f'i-{number:08x}'
        self.slots = slots
        self.queue = queue
        self.busy = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.address = ''
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.site.ip(200), 0
        )
        ip, port = self.server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'
        await self.site.store.put(
            'servers',
            self.id,
            {
                'service': SERVICE,
                'address': self.address,
                'zone': 'a',
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'cold_left_ms': 0,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': 0,
                'born': int(time.time() * 1000),
            },
        )

    def headers(self, request_id):
        return [
            ('Attempt-Id', request_id),
            ('Server-Seal', f'seal.{self.id}.{request_id}'),
            ('Server-Load', f'{self.busy},{self.waiting},{self.slots}'),
            ('Keep-Alive', 'timeout=10'),
        ]

    async def _serve(self, reader, writer):
        self.site.tasks.add(asyncio.current_task())
        state = {}
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                if not await self._answer(message, reader, writer, state):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, message, reader, writer, state):
        method, target, _ = message.first.split(' ')
        request_id = message.headers.get('attempt-id', '')
        if target == '/health':
            writer.write(pack_response(200, [('Instance-Id', self.id)]))
            return True
        if message.headers.get('expect-instance', self.id) != self.id:
            writer.write(pack_response(421, [('Instance-Id', self.id)]))
            return True
        if self.busy >= self.slots and self.waiting >= self.queue:
            writer.write(pack_response(503, [('Not-Executed', '1')]))
            return True
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.busy < self.slots)
                self.busy += 1
        finally:
            self.waiting -= 1
        run = {
            'engine': self.id,
            'id': request_id,
            'target': target,
            'tenant': message.headers.get('tenant', ''),
            'after': message.headers.get('last-event-id'),
            'body': message.body,
            'at': time.monotonic(),
            'ended': 'broken off',
        }
        self.site.runs.append(run)
        # An engine drops a request when its channel closes.
        closed = asyncio.create_task(_wait_closed(reader))
        work = asyncio.create_task(
            self.site.play(self, run, message, writer, state)
        )
        try:
            await asyncio.wait(
                {closed, work}, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                run['ended'] = work.result()
                return run['ended'] != 'cut'
            return False
        finally:
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
            self.busy -= 1
            async with self.free:
                self.free.notify(1)

    async def stream(self, run, writer, texts, pause_s, *, framed=True):
        """Streams the events that follow the client's last one."""
        first = int(run['after'] or 0) + 1
        rows = [
            'HTTP/1.1 200 OK',
            *(f'{k}: {v}' for k, v in self.headers(run['id'])),
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join(rows).encode('latin-1') + b'\r\n\r\n')
        for number in range(first, len(texts) + 1):
            await asyncio.sleep(pause_s)
            event = f'id: {number}\ndata: {texts[number - 1]}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return 'whole'

    async def fail(self, run, writer, status):
        """Answers with a failure of its own, after the run."""
        writer.write(pack_response(status, self.headers(run['id']), b'no'))
        await writer.drain()
        return str(status)


async def _wait_closed(reader):
    while not reader.at_eof() and reader.exception() is None:
        if reader._buffer:  # noqa: SLF001 - bytes of the next request
            await asyncio.sleep(0.05)
            continue
        await asyncio.sleep(0.02)


class Site:
    """A deployment: store, engines, fronts and runners."""

    def __init__(
        self,
        folder,
        *,
        fronts=2,
        runners=2,
        engines=2,
        slots=4,
        tenants=None,
        routes=None,
    ):
        self.folder = Path(folder)
        self.record_file = (self.folder / 'record.txt').open('w')
        self.temp = Path(tempfile.mkdtemp(prefix='case-'))
        self.began = time.monotonic()
        self.base = (
            f'127.{random.randint(64, 250)}.{random.randint(1, 250)}.'
        )
        self.store = Store()
        self.runs = []
        self.tasks = set()
        self.processes = {}
        self.fronts = {f'front-{n + 1}': n + 11 for n in range(fronts)}
        self.runners = {f'store-{n + 1}': n + 31 for n in range(runners)}
        self.ports = {}
        self.engines = [
            Engine(self, n + 1, slots=slots) for n in range(engines)
        ]
        self.tenants = tenants or {'gin': ['key-gin']}
        self.routes = routes or [
            make_route('live', 'streaming', resumable=False),
            make_route('check', 'streaming', resumable=True),
            make_route('lots', 'batch', resumable=True),
        ]
        self.version = 0

    def ip(self, last):
        return f'{self.base}{last}'

    def record(self, text):
        """Writes a line to the record of the case."""
        line = f'{time.monotonic() - self.began:8.3f} {text}\n'
        self.record_file.write(line)
        self.record_file.flush()

    async def play(self, engine, run, message, writer, state):
        """Runs a request; a case replaces it."""
        texts = [f'{run["id"]} {n}' for n in range(1, 6)]
        return await engine.stream(run, writer, texts, 0.01)

    async def write_config(self, **changes):
        """Writes a configuration with a higher version."""
        self.version += 1
        spec = {
            'version': self.version,
            'routes': self.routes,
            'services': [
                {
                    'name': SERVICE,
                    'health_path': '/health',
                    'max_connections': 360,
                    'protocol': 'h1',
                    'tls': False,
                    'engine': {'slots': self.engines[0].slots},
                }
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [
                {
                    'name': name,
                    'api_keys': keys,
                    'priority': 1,
                    'rate_per_s': 0,
                    'burst': 0,
                }
                for name, keys in self.tenants.items()
            ],
            **changes,
        }
        await self.store.put('config', 'main', spec)

    async def start(self):
        """Starts everything and waits until the fronts are ready."""
        names = ('front', 'ready', 'control', 'metrics', 'store')
        self.ports = dict(zip(names, _free_ports(len(names)), strict=True))
        await self.store.start(self.ip(2), self.ports['store'])
        for engine in self.engines:
            await engine.start()
        await self.write_config()
        for name in (*self.fronts, *self.runners):
            self.start_role(name)
        until = time.monotonic() + START_LIMIT_S
        for name in self.fronts:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CaseNotRun(f'{name} is not ready')
                await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4)
        self.record('the deployment is ready')

    def start_role(self, name):
        """Starts a process as the deploy file tells."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        on = 'front' if name in self.fronts else 'store'
        role, rules = next(
            (r, one)
            for r, one in deploy['roles'].items()
            if one['on'] == on
        )
        path = self.temp / f'{name}.toml'
        path.write_text(self._settings(name, role, on, rules['serves']))
        with (self.temp / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                rules['run'].split(' '),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'JACINTHMOUNT_BOOT': str(path),
                },
            )

    def _settings(self, name, role, on, serves):
        number = {**self.fronts, **self.runners}[name]
        seeds = [
            f'{self.ip(n)}:{self.ports["control"]}'
            for n in [*self.fronts.values(), *self.runners.values()][:3]
        ]
        listen = [f'control = "{self.ip(number)}:{self.ports["control"]}"']
        listen.append(
            f'metrics = "{self.ip(number)}:{self.ports["metrics"]}"'
        )
        if on == 'front':
            listen += [
                f'{kind} = "{self.ip(number)}:{self.ports[kind]}"'
                for kind in ('front', 'ready')
            ]
        zone = 'ab'[number % 2]
        return '\n'.join([
            f'node_name = "{name}"',
            f'role = "{role}"',
            f'machine_class = "{on}"',
            f'serves = {json.dumps(serves)}',
            f'ip = "{self.ip(number)}"',
            f'zone = "{zone}"',
            'region = "r"',
            f'seeds = {json.dumps(seeds)}',
            'bootstrap = true',
            f'in_tolerance = {str(on == "store").lower()}',
            'heartbeat_ms = 1200',
            '[zones]\na = "r"\nb = "r"',
            '[listen]',
            *listen,
            '[limits]\ncpu_share = 0.7\ncores = 2\nmemory_mb = 170',
            'max_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = 0',
            '[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0',
            '[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000',
            'ack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200',
            'config_apply_ms = 2000\nquota_window_s = 5\nquota_overshoot = 0.1',
            'quota_slack = 20\nrecovery_s = 12\nfinish_s = 18\nstatus_s = 120',
            'cancel_ms = 3000\nsettle_ms = 1000',
            '[platform]',
            f'address = "{self.ip(2)}:{self.ports["store"]}"',
            'form = "objects"\nwrites_per_s = 400\nreads_per_s = 2000',
            'history_s = 20\nvalue_bytes = 1048576\n',
        ])

    def signal(self, name, number):
        self.record(f'{signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    async def is_ready(self, name):
        try:
            answer = await self.call_at(
                f'{self.ip(self.fronts[name])}:{self.ports["ready"]}',
                'GET',
                '/api/ready',
                {'Host': 'ready'},
            )
        except OSError:
            return False
        return answer is not None and answer.status == 200

    def front_address(self, name):
        return f'{self.ip(self.fronts[name])}:{self.ports["front"]}'

    async def call(self, front, method, path, *, body=b'', key='key-gin', **h):
        """Sends one request on a new channel and reads the whole answer.

        :returns: None if the channel ended without a complete answer.
        """
        headers = {'Host': HOST, 'Authorization': f'Bearer {key}'}
        headers.update({k.replace('_', '-'): v for k, v in h.items()})
        return await self.call_at(
            self.front_address(front), method, path, headers, body
        )

    async def call_at(self, address, method, path, headers, body=b''):
        ip, port = address.split(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(pack_request(method, path, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()

    async def submit(self, front, batch_id, items, *, key='key-gin'):
        """Submits a batch as often as a client does."""
        body = json.dumps({'items': items}).encode()
        names = list(self.fronts)
        for attempt in range(4):
            name = names[(names.index(front) + attempt) % len(names)]
            try:
                answer = await self.call(
                    name,
                    'POST',
                    f'/lots/{batch_id}',
                    body=body,
                    key=key,
                    Attempt_Id=batch_id,
                    Content_Type='application/json',
                )
            except OSError:
                answer = None
            status = answer.status if answer else 'no answer'
            self.record(f'batch {batch_id} sent to {name}: {status}')
            if status == 202:
                return True
            await asyncio.sleep(0.2)
        return False

    async def read_results(self, front, batch_id, after=0, *, key='key-gin'):
        """Reads results once; None if the read failed."""
        try:
            answer = await self.call(
                front, 'GET', f'/api/lots/{batch_id}?after={after}', key=key
            )
        except OSError:
            return None
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)

    async def wait_results(self, front, batch_id, limit_s, *, key='key-gin'):
        """Reads about twice a second until all items are listed."""
        found = []
        total = None
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            page = await self.read_results(
                front, batch_id, len(found), key=key
            )
            if page is not None:
                total = page['total']
                found += page['results']
                if len(found) >= total:
                    break
            await asyncio.sleep(0.5)
        self.record(f'batch {batch_id}: {len(found)} of {total} listed')
        return found

    def stop(self):
        """Ends all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record_file.close()


def make_item(item_id, *, tokens=40, path=None, output=5):
    return {
        'id': item_id,
        'path': path or f'/lots/run/{item_id}',
        'headers': {'Model': 'm', 'Token-Usage': f'{tokens - output},{output}'},
        'body': base64.b64encode(f'body of {item_id}'.encode()).decode(),
        'tokens': tokens,
    }


def make_route(name, kind, *, resumable, **changes):
    return {
        'name': f'r-{name}',
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 300,
        'priority': 0,
        'service': SERVICE,
        'max_attempts': 3 if kind == 'batch' else 2,
        'public': False,
        'sticky': True,
        'resumable': resumable,
        'gap_target_ms': 400,
        'completion_target_ms': 18000,
        'retention_s': 60,
        'cap': 1500000,
        **changes,
    }


def pack_request(method, path, headers, body=b''):
    rows = [f'{method} {path} HTTP/1.1', *(f'{k}: {v}' for k, v in headers.items())]
    rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(rows).encode('latin-1') + b'\r\n\r\n' + body


async def read_answer(reader):
    """Reads a response; None if it isn't complete."""
    try:
        answer = await read_head(reader)
        if answer is not None:
            answer.body = await read_body(reader, answer)
        return answer
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return None


def _free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def run_case(case, folder, **options):
    """Runs ``case(site)``, which returns the ways in which the rule broke."""
    site = Site(folder, **options)

    async def main():
        try:
            async with asyncio.timeout(112):
                await site.start()
                return await case(site)
        finally:
            for task in site.tasks:
                task.cancel()

    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(main())
    except (CaseNotRun, TimeoutError, OSError) as exc:
        site.record(f'not run: {type(exc).__name__}: {exc}')
        code = NOT_RUN
    else:
        for line in broken:
            site.record(f'BROKEN {line}')
        site.record(f'trouble={TROUBLE} broken={len(broken)}')
        code = BROKEN if broken else OK
    finally:
        site.stop()
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)
