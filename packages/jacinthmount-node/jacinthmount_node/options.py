"""Command line arguments that are declared outside the command classes."""

from collections.abc import Callable
from typing import Any

import cappa

__all__ = ('flag', 'option', 'subcommands', 'positional', 'positionals')


def positional(name: str, purpose: str) -> cappa.Arg[Any]:
    """Creates a required positional argument."""
    return cappa.Arg(
        field_name=name,
        value_name=name,
        help=purpose,
        required=True,
        parse=str,
        num_args=1,
    )


def positionals(name: str, purpose: str) -> cappa.Arg[Any]:
    """Creates a positional argument that takes any number of values."""
    return cappa.Arg(
        field_name=name,
        value_name=name,
        help=purpose,
        default=[],
        parse=list,
        required=False,
        num_args=-1,
    )


def option(
    name: str,
    purpose: str,
    default: Any = None,
    *,
    parse: Callable[[str], Any] = str,
    required: bool = False,
) -> cappa.Arg[Any]:
    """Creates an option with one value.

    :param name: field name; the option has dashes in place of underscores.
    """
    return cappa.Arg(
        field_name=name,
        value_name=name,
        long=_long(name),
        help=purpose,
        default=default,
        parse=parse,
        num_args=1,
        required=required,
    )


def flag(name: str, purpose: str) -> cappa.Arg[Any]:
    """Creates a boolean option, which is false by default."""
    return cappa.Arg(
        field_name=name,
        long=_long(name),
        help=purpose,
        default=False,
        action=cappa.ArgAction.store_true,
        required=False,
        num_args=0,
    )


def subcommands(*commands: cappa.Command[Any]) -> cappa.Subcommand:
    """Creates a choice of subcommands."""
    return cappa.Subcommand(
        field_name='command',
        required=True,
        options={command.real_name(): command for command in commands},
        types=[command.cmd_cls for command in commands],
    )


def _long(name: str) -> str:
    return f'--{name.replace("_", "-")}'
