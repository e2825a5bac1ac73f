"""Demo: a fleet of two data centres answers a request and runs a batch."""

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import time
import types
from http import HTTPStatus
from pathlib import Path

from jacinthmount_standin.callers import call_http
from jacinthmount_standin.declare import Declared, write_declarations
from jacinthmount_standin.fleet import Fleet

__all__ = ('run_demo', 'stop_demo')

DATA_CENTRES = types.MappingProxyType({'east': 2, 'west': 1})
ENGINES = types.MappingProxyType({
    'engine-1': 'east',
    'engine-2': 'east',
    'engine-3': 'west',
})
SLOTS = 8
BATCH_LINES = 40
RETRY_PAUSE_S = 0.1
MAX_PRINTED_CHARS = 400
LATENCY_METRIC = 'jacinthmount_request_seconds'


def run_demo(folder: Path, *, keep: bool) -> None:
    """Runs the demo.

    :param folder: folder for settings, logs and keys; it is emptied first.
    :param keep: leave the fleet running at the end, for :func:`stop_demo`.
    """
    shutil.rmtree(folder, ignore_errors=True)
    fleet = Fleet(folder=folder, data_centres=dict(DATA_CENTRES))
    try:
        _run_steps(fleet, folder)
    except BaseException:
        fleet.stop()
        raise
    if keep:
        fleet.save()
        _print_line(
            f'fleet is running; see {folder}/fleet.json; end: make demo-down'
        )
        return
    fleet.stop()
    _print_line(f'logs are in {folder}; next: README.md, docs/OPERATIONS.md')


def _run_steps(fleet: Fleet, folder: Path) -> None:
    _start(fleet, folder)
    key = _apply_and_grant_key(fleet, folder)
    _stream_chat(fleet.hosts['east-h1'].front, key)
    _run_batch(fleet, folder)
    _print_histogram(fleet)


def stop_demo(folder: Path) -> None:
    """Terminates the processes of a fleet that a demo left running."""
    saved = json.loads((folder / 'fleet.json').read_text())
    for process_id in saved['process_ids'].values():
        with contextlib.suppress(ProcessLookupError):
            os.kill(process_id, signal.SIGTERM)
    (folder / 'fleet.json').unlink()


def _start(fleet: Fleet, folder: Path) -> None:
    _print_line('starting platform, engines, plain service and hosts')
    fleet.start_platform()
    fleet.start_plain()
    engines = {
        name: (data_centre, fleet.start_engine(name, slots=SLOTS), SLOTS)
        for name, data_centre in ENGINES.items()
    }
    write_declarations(
        folder / 'declarations',
        Declared(
            shares={'east': 0.6, 'west': 0.4},
            engines=engines,
            plain_port=fleet.plain_port,
            accounts={'gin-yards': (50, 50), 'auditors': (20, 40)},
        ),
    )
    fleet.start_hosts()


def _apply_and_grant_key(fleet: Fleet, folder: Path) -> str:
    _print_line('applying the declarations')
    _print_line(
        _run_ctl(
            fleet,
            'apply',
            str(folder / 'declarations'),
            '--wait',
        ).splitlines()[-1]
    )
    granted = json.loads(
        _run_ctl(
            fleet,
            '--output',
            'json',
            'keys',
            'grant',
            'gin-yards',
        )
    )
    key = granted[0]['key']
    (folder / 'gin-yards.key').write_text(key)
    return key


def _stream_chat(port: int, key: str) -> None:
    _print_line('streaming one chat request:')
    body = {
        'model': 'provenance-llm',
        'stream': True,
        'max_tokens': 12,
        'messages': [{'role': 'user', 'content': 'Where is bale 42?'}],
    }
    headers = {'authorization': f'Bearer {key}'}
    status, answer = 0, b''
    for _ in range(100):
        status, answer = call_http(
            port,
            'POST',
            '/v1/chat/completions',
            body,
            headers,
        )
        if status == HTTPStatus.OK:
            break
        time.sleep(RETRY_PAUSE_S)
    _print_line(answer.decode()[-MAX_PRINTED_CHARS:])
    if status != HTTPStatus.OK:
        raise RuntimeError(f'request failed with status {status}')


def _run_batch(fleet: Fleet, folder: Path) -> None:
    _print_line('running a batch:')
    path = folder / 'batch.jsonl'
    path.write_text(
        ''.join(
            json.dumps({
                'custom_id': f'bale-{number}',
                'method': 'POST',
                'url': '/v1/chat/completions',
                'body': {
                    'model': 'provenance-llm',
                    'max_tokens': 8,
                    'messages': [{'role': 'user', 'content': f'bale {number}'}],
                },
            })
            + '\n'
            for number in range(BATCH_LINES)
        )
    )
    front = fleet.hosts['west-h1'].front
    batch_arguments = (
        'batch',
        '--front',
        f'127.0.0.1:{front}',
        '--key-file',
        str(folder / 'gin-yards.key'),
    )
    batches = json.loads(
        _run_ctl(
            fleet,
            '--output',
            'json',
            *batch_arguments,
            'submit',
            str(path),
            '--wait',
        )
    )
    _print_line(json.dumps(batches[0]))
    results = _run_ctl(fleet, *batch_arguments, 'results', batches[0]['batch'])
    _print_line(f'{len(results.splitlines())} results; the first:')
    _print_line(results.splitlines()[0][:MAX_PRINTED_CHARS])


def _print_histogram(fleet: Fleet) -> None:
    _print_line('latency histogram by account on east-h1:')
    _, metrics = call_http(fleet.hosts['east-h1'].admin, 'GET', '/metrics')
    for line in metrics.decode().splitlines():
        if line.startswith(LATENCY_METRIC) and 'gin-yards' in line:
            _print_line(line)


def _run_ctl(fleet: Fleet, *arguments: str) -> str:
    result = subprocess.run(
        [
            sys.executable,
            '-m',
            'jacinthmount_ctl',
            '--platform',
            f'127.0.0.1:{fleet.platform_port}',
            '--admin-token-file',
            str(fleet.token_path),
            *arguments,
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        raise RuntimeError(result.stderr or result.stdout)
    return result.stdout


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
