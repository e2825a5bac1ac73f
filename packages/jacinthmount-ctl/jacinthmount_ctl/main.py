"""Entry point of the command line: dispatch, output and exit codes."""

import json
import sys
import time
from functools import singledispatch
from pathlib import Path
from typing import Any

import cappa
import curio
from jacinthmount.batches import BATCH_PREFIX, BatchManifest
from jacinthmount.errors import (
    InvalidDeclarations,
    JacinthmountError,
    NotFound,
    StoreConflict,
    StoreUnavailable,
)
from jacinthmount.records import Record, parse_json
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.object_api import HttpStore
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from jacinthmount_ctl import commands, porcelain
from jacinthmount_ctl.caller import Caller
from jacinthmount_ctl.changes import describe_change
from jacinthmount_ctl.losses import count_losses, format_losses
from jacinthmount_ctl.stories import build_timeline, format_timeline, iter_lines

__all__ = ('main',)

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_NOT_IN_FORCE = 6
BATCH_POLL_S = 0.5


class Context:
    """Shared options and output of one command line call."""

    __slots__ = ('_console', 'options')

    def __init__(self, *, options: commands.JacinthmountCommand) -> None:
        self.options = options
        self._console = Console()

    def store(self) -> HttpStore:
        """Creates a client for the object API of the platform.

        :raises InvalidDeclarations: no platform address is set.
        """
        if not self.options.platform:
            raise InvalidDeclarations(
                problems=[
                    f'--platform: required, or set {commands.ENV_PLATFORM}',
                ]
            )
        addresses = self.options.platform.split(',')
        return HttpStore(addresses=addresses, pool=ClientPool())

    def token(self) -> str:
        """Reads the operator token from its file.

        :raises InvalidDeclarations: no token file is set.
        """
        if not self.options.admin_token_file:
            raise InvalidDeclarations(
                problems=[
                    '--admin-token-file: required, or set '
                    f'{commands.ENV_TOKEN}',
                ]
            )
        return Path(self.options.admin_token_file).read_text().strip()

    def print_rows(self, title: str, rows: list[dict[str, Any]]) -> None:
        """Prints rows as a table or as JSON."""
        if self.options.output == 'json':
            self.write_line(json.dumps(rows, indent=2))
            return
        table = Table(title=title)
        for column in rows[0] if rows else ():
            table.add_column(column)
        for row in rows:
            table.add_row(*(str(cell) for cell in row.values()))
        self._console.print(table)

    def print_tables(self, tables: dict[str, list[dict[str, Any]]]) -> None:
        """Prints several tables, or one JSON object keyed by title."""
        if self.options.output == 'json':
            self.write_line(json.dumps(tables, indent=2))
            return
        for title, rows in tables.items():
            self.print_rows(title, rows)

    def write_line(self, line: str) -> None:
        """Writes a line to standard output."""
        sys.stdout.write(f'{line}\n')


def main() -> None:
    """Runs a command and exits with its exit code."""
    options = cappa.parse(commands.COMMAND_LINE)
    context = Context(options=options)
    try:
        sys.exit(run(options.command, context))
    except InvalidDeclarations as exc:
        sys.stderr.write('\n'.join([*exc.problems, '']))
        sys.exit(EXIT_INVALID)
    except (JacinthmountError, OSError) as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_exit_code(exc))


def _exit_code(exc: Exception) -> int:
    if isinstance(exc, StoreConflict):
        return EXIT_CONFLICT
    if isinstance(exc, StoreUnavailable):
        return EXIT_UNAVAILABLE
    return EXIT_FAILED


@singledispatch
def run(command: object, context: Context) -> int:
    """Dispatches on the type of a command and runs it.

    :returns: the exit code.
    """
    raise NotImplementedError(type(command).__name__)


@run.register
def _run_check(command: commands.CheckCommand, context: Context) -> int:
    records = porcelain.read_declarations(command.folder)
    context.write_line(f'{len(records)} declarations are valid')
    return 0


@run.register
def _run_diff(command: commands.DiffCommand, context: Context) -> int:
    records = porcelain.read_declarations(command.folder)
    plan = curio.run(porcelain.plan_changes, context.store(), records)
    for change in plan.changes:
        context.write_line(describe_change(change))
    return 0


@run.register
def _run_apply(command: commands.ApplyCommand, context: Context) -> int:
    records = porcelain.read_declarations(command.folder)
    store = context.store()
    plan = curio.run(porcelain.plan_changes, store, records)
    for change in plan.changes:
        context.write_line(describe_change(change))
    store = context.store()
    try:
        version = curio.run(porcelain.apply_changes, store, plan)
    except StoreConflict:
        _show_conflict(context, records)
        raise
    context.write_line(f'{len(plan.changes)} changes written')
    if not command.wait or not version:
        return 0
    behind = curio.run(
        porcelain.wait_in_force,
        context.store(),
        version,
        context.token(),
        command.timeout_s,
    )
    if behind:
        context.write_line(f'not in force on: {", ".join(behind)}')
        return EXIT_NOT_IN_FORCE
    context.write_line('in force on every host')
    return 0


def _show_conflict(context: Context, records: dict[str, Record]) -> None:
    context.write_line(
        'another operator changed the configuration; current differences:'
    )
    plan = curio.run(porcelain.plan_changes, context.store(), records)
    for change in plan.changes:
        context.write_line(describe_change(change))


@run.register
def _run_get(command: commands.GetCommand, context: Context) -> int:
    records = curio.run(
        porcelain.read_objects,
        context.store(),
        command.kind,
    )
    context.print_rows(
        command.kind, [_record_row(record) for record in records]
    )
    return 0


@run.register
def _run_status(command: commands.StatusCommand, context: Context) -> int:
    statuses = curio.run(
        porcelain.read_status,
        context.store(),
        context.token(),
    )
    listing = curio.run(context.store().list_names, BATCH_PREFIX)
    batches = [
        parse_json(BatchManifest, stored.body or '')
        for stored in listing.objects
    ]
    context.print_tables({
        'hosts': [
            _host_row(host, status) for host, status in sorted(statuses.items())
        ],
        'endpoints': porcelain.sum_endpoints(statuses),
        'batches': [_manifest_row(batch) for batch in batches],
    })
    return 0


@run.register
def _run_keys(command: commands.KeysCommand, context: Context) -> int:
    return run(command.command, context)


@run.register
def _run_grant(command: commands.GrantCommand, context: Context) -> int:
    key_id, key = curio.run(
        porcelain.grant_key,
        context.store(),
        command.account,
    )
    context.print_rows('key', [{'key_id': key_id, 'key': key}])
    return 0


@run.register
def _run_withdraw(command: commands.WithdrawCommand, context: Context) -> int:
    hosts = [host for host in command.hosts.split(',') if host]
    token = context.token() if hosts else ''
    notified = curio.run(
        porcelain.withdraw_key,
        context.store(),
        command.key_id,
        hosts,
        token,
    )
    context.write_line(f'withdrawn; {len(notified)} hosts notified directly')
    return 0


@run.register
def _run_list_keys(command: commands.ListKeysCommand, context: Context) -> int:
    records = curio.run(porcelain.list_keys, context.store())
    context.print_rows(
        'keys',
        [
            {
                'key_id': record.key_id,
                'account': record.account,
                'withdrawn': record.withdrawn,
            }
            for record in records
        ],
    )
    return 0


@run.register
def _run_drain(command: commands.DrainCommand, context: Context) -> int:
    leaving = not command.undo
    curio.run(
        porcelain.drain_endpoint(
            context.store(), command.endpoint, leaving=leaving
        )
    )
    context.write_line(
        f'{command.endpoint}: leaving {"yes" if leaving else "no"}'
    )
    return 0


@run.register
def _run_evacuate(command: commands.EvacuateCommand, context: Context) -> int:
    evacuated = not command.undo
    curio.run(
        porcelain.evacuate_data_centre,
        context.store(),
        command.data_centre,
        evacuated,
    )
    context.write_line(
        f'{command.data_centre}: evacuated {"yes" if evacuated else "no"}'
    )
    return 0


@run.register
def _run_blocked(command: commands.BlockedCommand, context: Context) -> int:
    if command.clear:
        curio.run(porcelain.clear_blocked, context.store(), command.clear)
    records = curio.run(porcelain.list_blocked, context.store())
    context.print_rows(
        'blocked',
        [
            {
                'request': record.request,
                'crashes': len(record.crashes),
                'trials': record.trials,
                'endpoints': ', '.join(record.crashes),
            }
            for record in records
        ],
    )
    return 0


@run.register
def _run_explain(command: commands.ExplainCommand, context: Context) -> int:
    timeline = build_timeline(iter_lines(command.files), command.wanted_id)
    if not timeline.lines:
        raise NotFound(detail=f'no log line mentions {command.wanted_id}')
    for line in format_timeline(timeline):
        context.write_line(line)
    return 0


@run.register
def _run_losses(command: commands.LossesCommand, context: Context) -> int:
    report = count_losses(iter_lines(command.files))
    for line in format_losses(report):
        context.write_line(line)
    return 0


@run.register
def _run_batch(command: commands.BatchCommand, context: Context) -> int:
    if not command.front or not command.key_file:
        raise InvalidDeclarations(
            problems=[
                f'--front, --key-file: required, or set {commands.ENV_FRONT} '
                f'and {commands.ENV_KEY}',
            ]
        )
    key = Path(command.key_file).read_text().strip()
    caller = Caller(front=command.front, key=key)
    return run_batch(command.command, context, caller)


@singledispatch
def run_batch(command: object, context: Context, caller: Caller) -> int:
    """Dispatches on the type of a batch command and runs it.

    :returns: the exit code.
    """
    raise NotImplementedError(type(command).__name__)


@run_batch.register
def _run_submit(
    command: commands.SubmitCommand,
    context: Context,
    caller: Caller,
) -> int:
    lines = Path(command.path).read_bytes()
    batch = caller.submit(lines, command.window, command.idempotency_key)
    if command.wait:
        batch = _wait_batch(caller, batch)
    context.print_rows('batch', [_batch_row(batch)])
    return 0


@run_batch.register
def _run_batch_status(
    command: commands.BatchStatusCommand,
    context: Context,
    caller: Caller,
) -> int:
    context.print_rows('batch', [_batch_row(caller.read(command.batch_id))])
    return 0


@run_batch.register
def _run_cancel(
    command: commands.CancelCommand,
    context: Context,
    caller: Caller,
) -> int:
    context.print_rows('batch', [_batch_row(caller.cancel(command.batch_id))])
    return 0


@run_batch.register
def _run_results(
    command: commands.ResultsCommand,
    context: Context,
    caller: Caller,
) -> int:
    for chunk in caller.iter_results(command.batch_id):
        sys.stdout.buffer.write(chunk)
    return 0


def _wait_batch(caller: Caller, batch: dict[str, Any]) -> dict[str, Any]:
    console = Console(stderr=True)
    total = batch['request_counts']['total']
    with Progress(console=console) as progress:
        task = progress.add_task(batch['id'], total=total)
        while batch['status'] == 'in_progress':
            time.sleep(BATCH_POLL_S)
            batch = caller.read(batch['id'])
            counts = batch['request_counts']
            progress.update(
                task,
                completed=counts['completed'] + counts['failed'],
            )
    return batch


def _batch_row(batch: dict[str, Any]) -> dict[str, Any]:
    counts = batch['request_counts']
    return {
        'batch': batch['id'],
        'status': batch['status'],
        'total': counts['total'],
        'completed': counts['completed'],
        'failed': counts['failed'],
        'output file': batch['output_file_id'],
    }


def _host_row(host: str, status: dict[str, Any] | None) -> dict[str, Any]:
    if status is None:
        return {
            'host': host,
            'data centre': '?',
            'ready': 'no answer',
            'revision': '?',
            'shares': '?',
            'batch items': '?',
            'endpoints': '?',
        }
    available = sum(endpoint['available'] for endpoint in status['endpoints'])
    return {
        'host': host,
        'data centre': status['data_centre'],
        'ready': status['ready'],
        'revision': status['revision'],
        'shares': 'confirmed' if status['shares_confirmed'] else 'waiting',
        'batch items': status['batch_running'],
        'endpoints': f'{available} of {len(status["endpoints"])}',
    }


def _record_row(record: Record) -> dict[str, Any]:
    return {
        name: getattr(record, name)
        for name in record.__slots__
        if name != 'write_id'
    }


def _manifest_row(batch: BatchManifest) -> dict[str, Any]:
    return {
        'batch': batch.batch_id,
        'account': batch.account,
        'state': batch.state,
        'lines': batch.lines,
        'seconds to deadline': round(batch.deadline_s - time.time()),
    }
