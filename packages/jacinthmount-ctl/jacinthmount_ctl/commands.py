"""Commands of the command line and their options."""

import os

import attrs
import cappa
from jacinthmount_node.options import (
    flag,
    option,
    positional,
    positionals,
    subcommands,
)

__all__ = ('COMMAND_LINE', 'JacinthmountCommand')

DEFAULT_WAIT_S = 30.0
ENV_PLATFORM = 'JACINTHMOUNT_PLATFORM'
ENV_TOKEN = 'JACINTHMOUNT_ADMIN_TOKEN_FILE'
ENV_FRONT = 'JACINTHMOUNT_FRONT'
ENV_KEY = 'JACINTHMOUNT_KEY_FILE'


@attrs.define(kw_only=True)
class CheckCommand:
    """Validates a folder of INI declarations."""

    folder: str


@attrs.define(kw_only=True)
class DiffCommand:
    """Compares a folder of declarations with the current configuration."""

    folder: str


@attrs.define(kw_only=True)
class ApplyCommand:
    """Applies a folder of declarations."""

    folder: str
    wait: bool
    timeout_s: float


@attrs.define(kw_only=True)
class GetCommand:
    """Shows the current declarations of a kind."""

    kind: str


@attrs.define(kw_only=True)
class StatusCommand:
    """Shows the state of the fleet."""


@attrs.define(kw_only=True)
class GrantCommand:
    """Grants a new key to a client account."""

    account: str


@attrs.define(kw_only=True)
class WithdrawCommand:
    """Withdraws a key permanently."""

    key_id: str
    # Admin addresses of hosts, separated by commas.
    hosts: str


@attrs.define(kw_only=True)
class ListKeysCommand:
    """Lists keys without their secrets."""


@attrs.define(kw_only=True)
class KeysCommand:
    """Groups the key commands."""

    command: object


@attrs.define(kw_only=True)
class SubmitCommand:
    """Uploads a JSONL file and creates a batch from it."""

    path: str
    # Time until the deadline, such as '30m' or '24h'.
    window: str
    idempotency_key: str
    wait: bool


@attrs.define(kw_only=True)
class BatchStatusCommand:
    """Shows the state of a batch."""

    batch_id: str


@attrs.define(kw_only=True)
class CancelCommand:
    """Cancels a batch."""

    batch_id: str


@attrs.define(kw_only=True)
class ResultsCommand:
    """Writes the results of a batch to standard output."""

    batch_id: str


@attrs.define(kw_only=True)
class BatchCommand:
    """Groups the batch commands, which use the public API with a client key."""

    command: object
    front: str
    key_file: str


@attrs.define(kw_only=True)
class DrainCommand:
    """Stops new work to an endpoint, or allows it again."""

    endpoint: str
    undo: bool


@attrs.define(kw_only=True)
class EvacuateCommand:
    """Stops new work to the endpoints of a data centre, or allows it again."""

    data_centre: str
    undo: bool


@attrs.define(kw_only=True)
class BlockedCommand:
    """Lists the requests on which endpoints crashed, or clears one."""

    # Digest of the request to serve again; empty for none.
    clear: str


@attrs.define(kw_only=True)
class ExplainCommand:
    """Lists the log lines that concern a request, an item or a batch."""

    wanted_id: str
    files: list[str]


@attrs.define(kw_only=True)
class LossesCommand:
    """Counts refused, late and lost requests and items by cause."""

    files: list[str]


@attrs.define(kw_only=True)
class JacinthmountCommand:
    """Options that all commands share."""

    command: object
    platform: str
    admin_token_file: str
    output: str


FOLDER = positional('folder', 'Folder with INI declarations.')
BATCH_ID = positional('batch_id', 'Id of the batch.')
LOG_FILES = positionals('files', 'Log files; standard input if none is given.')
UNDO = flag('undo', 'Allow new work again.')

KEYS = cappa.Command(
    KeysCommand,
    name='keys',
    help='Grant, withdraw and list keys.',
    arguments=[
        subcommands(
            cappa.Command(
                GrantCommand,
                name='grant',
                help='Grant a new key to an account.',
                arguments=[positional('account', 'Client account.')],
            ),
            cappa.Command(
                WithdrawCommand,
                name='withdraw',
                help='Withdraw a key permanently.',
                arguments=[
                    positional('key_id', 'Id of the key.'),
                    option(
                        'hosts',
                        'Comma-separated admin addresses to notify directly.',
                        '',
                    ),
                ],
            ),
            cappa.Command(
                ListKeysCommand,
                name='list',
                help='List keys without their secrets.',
            ),
        )
    ],
)

BATCH = cappa.Command(
    BatchCommand,
    name='batch',
    help='Submit, monitor and cancel batches.',
    arguments=[
        option(
            'front',
            f'IP:port of the front of a host; or {ENV_FRONT}.',
            os.environ.get(ENV_FRONT, ''),
        ),
        option(
            'key_file',
            f'File with the key of the client account; or {ENV_KEY}.',
            os.environ.get(ENV_KEY, ''),
        ),
        subcommands(
            cappa.Command(
                SubmitCommand,
                name='submit',
                help='Upload a JSONL file and run it as a batch.',
                arguments=[
                    positional('path', 'JSONL file.'),
                    option(
                        'window',
                        'Time until the deadline, such as 30m or 24h.',
                        '24h',
                    ),
                    option(
                        'idempotency_key',
                        'A command repeated with this key gets the same batch.',
                        '',
                    ),
                    flag('wait', 'Show progress until the batch ends.'),
                ],
            ),
            cappa.Command(
                BatchStatusCommand,
                name='status',
                help='Show a batch.',
                arguments=[BATCH_ID],
            ),
            cappa.Command(
                CancelCommand,
                name='cancel',
                help='Cancel a batch.',
                arguments=[BATCH_ID],
            ),
            cappa.Command(
                ResultsCommand,
                name='results',
                help='Write the results to standard output.',
                arguments=[BATCH_ID],
            ),
        ),
    ],
)

COMMAND_LINE = cappa.Command(
    JacinthmountCommand,
    name='jacinthmount',
    help='Operate a jacinthmount fleet.',
    arguments=[
        option(
            'platform',
            f'IP:port of the platform; or {ENV_PLATFORM}.',
            os.environ.get(ENV_PLATFORM, ''),
        ),
        option(
            'admin_token_file',
            f'File with the operator token; or {ENV_TOKEN}.',
            os.environ.get(ENV_TOKEN, ''),
        ),
        option('output', 'table or json.', 'table'),
        subcommands(
            cappa.Command(
                CheckCommand,
                name='check',
                help='Validate declarations.',
                arguments=[FOLDER],
            ),
            cappa.Command(
                DiffCommand,
                name='diff',
                help='Show what apply would change.',
                arguments=[FOLDER],
            ),
            cappa.Command(
                ApplyCommand,
                name='apply',
                help='Apply declarations.',
                arguments=[
                    FOLDER,
                    flag('wait', 'Wait until every host has applied it.'),
                    option(
                        'timeout_s',
                        'Maximum wait in seconds.',
                        DEFAULT_WAIT_S,
                        parse=float,
                    ),
                ],
            ),
            cappa.Command(
                GetCommand,
                name='get',
                help='Show the current declarations.',
                arguments=[positional('kind', 'Kind, such as account.')],
            ),
            cappa.Command(
                StatusCommand,
                name='status',
                help='Show hosts and open batches.',
            ),
            KEYS,
            BATCH,
            cappa.Command(
                DrainCommand,
                name='drain',
                help='Stop new work to an endpoint.',
                arguments=[
                    positional('endpoint', 'Name of the endpoint.'),
                    UNDO,
                ],
            ),
            cappa.Command(
                EvacuateCommand,
                name='evacuate',
                help='Stop new work to the endpoints of a data centre.',
                arguments=[
                    positional('data_centre', 'Name of the data centre.'),
                    UNDO,
                ],
            ),
            cappa.Command(
                BlockedCommand,
                name='blocked',
                help='List the requests on which endpoints crashed.',
                arguments=[
                    option('clear', 'Serve this request digest again.', ''),
                ],
            ),
            cappa.Command(
                ExplainCommand,
                name='explain',
                help='Show what happened to a request or a batch from logs.',
                arguments=[
                    positional(
                        'wanted_id', 'Id of a request, an item or a batch.'
                    ),
                    LOG_FILES,
                ],
            ),
            cappa.Command(
                LossesCommand,
                name='losses',
                help='Count what callers lost, by cause, from logs.',
                arguments=[
                    LOG_FILES,
                ],
            ),
        ),
    ],
)
