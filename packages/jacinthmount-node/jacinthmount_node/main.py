"""Command line of the node process."""

import sys
from pathlib import Path

import attrs
import cappa
from jacinthmount.errors import InvalidDeclarations
from jacinthmount.settings import Settings, parse_settings

from jacinthmount_node.daemon import run_daemon
from jacinthmount_node.logs import open_log
from jacinthmount_node.options import flag, option

__all__ = ('main',)

EXIT_INVALID = 2
EXIT_ADDRESS = 3


@attrs.define(kw_only=True)
class NodeCommand:
    """Options of the node process."""

    settings: str
    check: bool


COMMAND_LINE = cappa.Command(
    NodeCommand,
    name='jacinthmountd',
    help='Node of jacinthmount.',
    arguments=[
        option('settings', 'Path of the settings file.', required=True),
        flag('check', 'Only check the settings.'),
    ],
)


def main() -> None:
    """Parses the command line and runs the node or checks its settings."""
    command = cappa.parse(COMMAND_LINE)
    try:
        settings, token = _read_settings(command.settings)
    except (InvalidDeclarations, OSError) as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(EXIT_INVALID)
    if command.check:
        sys.stdout.write('settings are valid\n')
        return
    open_log(settings.log_file, settings.host)
    try:
        run_daemon(settings, token)
    except OSError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(EXIT_ADDRESS)


def _read_settings(path: str) -> tuple[Settings, str]:
    settings = parse_settings(Path(path).read_text(), path)
    token = Path(settings.admin_token_file).read_text().strip()
    return settings, token
