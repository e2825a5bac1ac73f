"""Command line of the stand-ins, load tool, demo and experiments."""

import json
import sys
from functools import singledispatch
from pathlib import Path

import attrs
import cappa
from jacinthmount_node.options import flag, option, positional, subcommands

from jacinthmount_standin.demo import run_demo, stop_demo
from jacinthmount_standin.engine import run_engine
from jacinthmount_standin.experiments import EXPERIMENTS, run_experiment
from jacinthmount_standin.load_tool import LoadOptions, run_load_tool
from jacinthmount_standin.plain import run_plain
from jacinthmount_standin.platform import run_platform
from jacinthmount_standin.relay import run_relay

__all__ = ()


@attrs.define(kw_only=True)
class PlatformCommand:
    """Options of the platform stand-in."""

    address: str


@attrs.define(kw_only=True)
class EngineCommand:
    """Options of an engine stand-in."""

    address: str
    slots: int
    token_s: float


@attrs.define(kw_only=True)
class PlainCommand:
    """Options of a plain service stand-in."""

    address: str


@attrs.define(kw_only=True)
class RelayCommand:
    """Options of the relay between data centres."""

    address: str
    routes: str


@attrs.define(kw_only=True)
class LoadCommand:
    """Options of the load tool."""

    fronts: str
    key_files: str
    model: str
    rate_per_s: float
    seconds: float
    tokens: int
    batch_lines: int
    seed: int
    folder: str


@attrs.define(kw_only=True)
class DemoCommand:
    """Options of the demo."""

    folder: str
    keep: bool
    stop: bool


@attrs.define(kw_only=True)
class ExperimentCommand:
    """Options of an experiment."""

    name: str
    folder: str


@attrs.define(kw_only=True)
class StandinCommand:
    """The command that was chosen."""

    command: object


DEFAULT_TOKEN_S = 0.005
DEFAULT_RATE_PER_S = 10.0
DEFAULT_SECONDS = 10.0
DEFAULT_TOKENS = 32
ADDRESS = option('address', 'IP:port to listen on.', required=True)

EXPERIMENT = cappa.Command(
    ExperimentCommand,
    name='experiment',
    help='Run an experiment on a fleet of processes.',
    arguments=[
        positional('name', f'One of: {", ".join(EXPERIMENTS)}.'),
        option('folder', 'Folder for logs and figures.', 'run/experiments'),
    ],
)

LOAD = cappa.Command(
    LoadCommand,
    name='load',
    help='Open-loop load against hosts on loopback.',
    arguments=[
        option('fronts', 'IP:port, ... of hosts.', required=True),
        option(
            'key_files', 'Paths, ... of files with one key each.', required=True
        ),
        option('model', 'Model to request.', 'provenance-llm'),
        option(
            'rate_per_s',
            'Mean requests per second.',
            DEFAULT_RATE_PER_S,
            parse=float,
        ),
        option('seconds', 'Duration in seconds.', DEFAULT_SECONDS, parse=float),
        option('tokens', 'Tokens per request.', DEFAULT_TOKENS, parse=int),
        option(
            'batch_lines',
            'Items of a batch that runs concurrently.',
            0,
            parse=int,
        ),
        option('seed', 'Seed of the arrival times.', 1, parse=int),
        option('folder', 'Folder for load.json and load.png.', 'run/load'),
    ],
)

COMMAND_LINE = cappa.Command(
    StandinCommand,
    name='jacinthmount_standin',
    help='Stand-ins for tests.',
    arguments=[
        subcommands(
            cappa.Command(
                PlatformCommand,
                name='platform',
                help='Object API and host list.',
                arguments=[ADDRESS],
            ),
            cappa.Command(
                EngineCommand,
                name='engine',
                help='Model engine.',
                arguments=[
                    ADDRESS,
                    option('slots', 'Concurrent requests.', 8, parse=int),
                    option(
                        'token_s',
                        'Seconds per token.',
                        DEFAULT_TOKEN_S,
                        parse=float,
                    ),
                ],
            ),
            cappa.Command(
                PlainCommand,
                name='plain',
                help='Plain service.',
                arguments=[ADDRESS],
            ),
            cappa.Command(
                RelayCommand,
                name='relay',
                help='Network between data centres.',
                arguments=[
                    ADDRESS,
                    option('routes', 'Path of the route file.', required=True),
                ],
            ),
            EXPERIMENT,
            LOAD,
            cappa.Command(
                DemoCommand,
                name='demo',
                help='Run a fleet that answers a request and runs a batch.',
                arguments=[
                    option(
                        'folder', 'Folder for settings and logs.', required=True
                    ),
                    flag('keep', 'Leave the fleet running.'),
                    flag('stop', 'Stop a fleet that was left running.'),
                ],
            ),
        )
    ],
)


@singledispatch
def run(command: object) -> None:
    """Runs a command.

    :raises NotImplementedError: no function is registered for its type.
    """
    raise NotImplementedError(type(command).__name__)


@run.register
def _run_platform(command: PlatformCommand) -> None:
    run_platform(command.address)


@run.register
def _run_engine(command: EngineCommand) -> None:
    run_engine(command.address, command.slots, command.token_s)


@run.register
def _run_plain(command: PlainCommand) -> None:
    run_plain(command.address)


@run.register
def _run_relay(command: RelayCommand) -> None:
    run_relay(command.address, command.routes)


@run.register
def _run_load(command: LoadCommand) -> None:
    options = LoadOptions(
        fronts=_split(command.fronts),
        keys=[
            Path(path).read_text().strip() for path in _split(command.key_files)
        ],
        model=command.model,
        rate_per_s=command.rate_per_s,
        seconds=command.seconds,
        tokens=command.tokens,
        batch_lines=command.batch_lines,
        seed=command.seed,
    )
    figures = run_load_tool(options, Path(command.folder))
    sys.stdout.write(json.dumps(figures, indent=2))


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(',')]


@run.register
def _run_experiment(command: ExperimentCommand) -> None:
    figures = run_experiment(command.name, Path(command.folder).absolute())
    sys.stdout.write(json.dumps(figures, indent=2))


@run.register
def _run_demo(command: DemoCommand) -> None:
    folder = Path(command.folder).absolute()
    if command.stop:
        stop_demo(folder)
    else:
        run_demo(folder, keep=command.keep)


if __name__ == '__main__':
    run(cappa.parse(COMMAND_LINE).command)
